"""Settings of a gateway: JSON with comments, every field checked."""

from pathlib import Path
from typing import NamedTuple

from guavawalk.connection.address import split_address
from guavawalk.exception import SettingsError
from guavawalk.process.json_file import build_checked, read_json_object
from guavawalk.process.observe.log import LOG_LEVELS

__all__ = ["GatewaySettings", "read_gateway_settings"]


class GatewaySettings(NamedTuple):
    """Settings of `guavawalk gateway`.

    Attributes
    ----------
    listen : str
        Address for callers, `IP:port`.
    readiness_listen : str
        Address that the balancer asks whether new connections are welcome.
    peer_listen : str
        Address for other gateways, datagrams and connections.
    metrics_port : int
        Port of the metrics on the same IP number.
    registry : str
        Address of the registry that holds the configuration and the targets' entries.
    peers : tuple of str
        Addresses of some gateways, perhaps old ones.
    grace_ms : int
        Time from a signal to end until the process is killed.
    drain_ms : int
        How long a leaving target goes on serving.
    retry_ratio, retry_slack, retry_window_s
        Bound on repeats at a service, over all gateways.
    quota_window_s : float
        Span over which quotas count.
    is_first_start : bool
        Whether no process of the system has run before.
    max_descriptors : int
        Files and sockets that the process may have open.
    """

    instance: str
    data_centre: str
    listen: str
    readiness_listen: str
    peer_listen: str
    registry: str
    role: str = "gateway"
    metrics_port: int = 9464
    peers: tuple[str, ...] = ()
    grace_ms: int = 8_000
    drain_ms: int = 2_000
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    quota_window_s: float = 8.0
    is_first_start: bool = False
    max_descriptors: int = 1_024
    log_level: str = "INFO"


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With the field and what was found, for a file that can't be obeyed.
    """
    source = str(path)
    settings = build_checked(source, "$", read_json_object(path), GatewaySettings)
    for name in ("listen", "readiness_listen", "peer_listen", "registry"):
        _check_address(source, name, getattr(settings, name))
    for peer in settings.peers:
        _check_address(source, "peers", peer)
    for name in ("grace_ms", "drain_ms", "max_descriptors", "metrics_port"):
        if getattr(settings, name) <= 0:
            found = getattr(settings, name)
            raise SettingsError(source, f"$.{name}", f"found {found}, allowed is above 0")
    if settings.log_level not in LOG_LEVELS:
        allowed = ", ".join(LOG_LEVELS)
        raise SettingsError(source, "$.log_level", f"allowed are {allowed}")
    return settings


def _check_address(source: str, name: str, address: str) -> None:
    try:
        host, port = split_address(address)
    except ValueError:
        host, port = "", 0
    if not host or not 0 < port < 65_536:
        raise SettingsError(source, f"$.{name}", f"found {address!r:.60}, allowed is IP:port")
