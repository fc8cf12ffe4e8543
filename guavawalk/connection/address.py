"""Converts between `IP:port` texts and pairs of IP address and port."""

__all__ = ["format_address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port` into the IP address, without the brackets of IPv6, and the port.

    Raises
    ------
    ValueError
        If the port is no number.

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
    """Join an IP address and a port as `IP:port`; an IPv6 address gets brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
