"""Addresses of an IP number and a port."""

__all__ = ["format_address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port`.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Join an IP number and a port."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
