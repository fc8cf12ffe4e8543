"""Reads and checks the settings of a gateway, a JSON file with comments."""

from pathlib import Path
from typing import NamedTuple

from guavawalk.connection.address import split_address
from guavawalk.exception import SettingsError
from guavawalk.process.admin_settings import AdminKeySettings, check_admin_keys
from guavawalk.process.json_file import build_checked, read_json_object
from guavawalk.process.observe.log import LOG_LEVELS

__all__ = ["GatewaySettings", "read_gateway_settings"]

# Settings whose 0 means that the amount is not stated.
OPTIONAL_AMOUNTS = (
    "warmup_overrun",
    "warmup_slack",
    "evacuate_ms",
    "max_memory_mb",
    "cpu_share",
    "core_speed",
    "link_mbps",
)


class GatewaySettings(NamedTuple):
    """Settings of `guavawalk gateway`.

    Attributes
    ----------
    instance : str
        Name of the process in its log.
    data_centre : str
        Data centre in which the gateway runs.
    listen : str
        Address for callers, `IP:port`.
    readiness_listen : str
        Address at which the load balancer asks whether new connections are accepted, `IP:port`.
    peer_listen : str
        Address for other gateways, for datagrams and connections, `IP:port`.
    registry : str
        Address of the registry that holds the configuration and the targets' entries, `IP:port`.
    role : str
        Kind of process that the file is for, as `read_role` returns it.
    metrics_port : int
        Port of the metrics page, at the host of `peer_listen`.
    peers : tuple of str
        Addresses of some other gateways, `IP:port`; they may be gone.
    grace_ms : int
        Time from a termination signal until the process is killed, in milliseconds.
    drain_ms : int
        Time for which a leaving target goes on serving, in milliseconds.
    contact_ms : int
        Time after an outage of the registry within which all of its changes are in force here, in
        milliseconds. It bounds how long a watch waits: the shorter, the more calls.
    retry_ratio, retry_slack, retry_window_s
        Limit on retries at each service, over all gateways; see `RetryBounds`.
    quota_window_s : float
        Length of the sliding window over which quotas count, in seconds.
    is_first_start : bool
        Whether no gateway of the system has run before, so that no quota was used.
    max_descriptors : int
        Most files and sockets that the process may have open.
    warmup_overrun, warmup_slack
        Factor on the calls a second that a cold target bears, and calls beyond that in one second,
        which all gateways together may send it; without a factor cold targets are not spared.
    evacuate_ms : int
        Time after the operator's request within which an evacuation is in force, in milliseconds;
        0 if not stated.
    max_memory_mb : int
        Memory that the process may use, in MB; 0 if not stated.
    cpu_share, core_speed
        Share of a core that the process may use, and the speed of that core as a multiple of the
        usual one; 0 if not stated.
    link_mbps : float
        Bandwidth of the machine's link, in Mbit/s; 0 if not stated.
    log_level : str
        One of `LOG_LEVELS`.
    admin_listen : str
        Address of the administration API, `IP:port`; empty to serve none.
    admin_keys : tuple of AdminKeySettings
        Keys of the administration API; at least one if `admin_listen` is set.
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
    contact_ms: int = 3_000
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    quota_window_s: float = 8.0
    is_first_start: bool = False
    max_descriptors: int = 1_024
    warmup_overrun: float = 0.0
    warmup_slack: float = 0.0
    evacuate_ms: int = 0
    max_memory_mb: int = 0
    cpu_share: float = 0.0
    core_speed: float = 0.0
    link_mbps: float = 0.0
    log_level: str = "INFO"
    admin_listen: str = ""
    admin_keys: tuple[AdminKeySettings, ...] = ()


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read, or a field is unknown, missing or has a wrong type or value;
        with the field, what was found and what is allowed.
    """
    source = str(path)
    settings = build_checked(source, "$", read_json_object(path), GatewaySettings)
    for name in ("listen", "readiness_listen", "peer_listen", "registry"):
        _check_address(source, name, getattr(settings, name))
    if settings.admin_listen:
        _check_address(source, "admin_listen", settings.admin_listen)
    check_admin_keys(source, settings.admin_listen, settings.admin_keys)
    for peer in settings.peers:
        _check_address(source, "peers", peer)
    for name in ("grace_ms", "drain_ms", "contact_ms", "max_descriptors", "metrics_port"):
        if getattr(settings, name) <= 0:
            found = getattr(settings, name)
            raise SettingsError(
                source, f"$.{name}", f"found {found}, allowed is an integer above 0"
            )
    for name in OPTIONAL_AMOUNTS:
        if getattr(settings, name) < 0:
            found = getattr(settings, name)
            raise SettingsError(source, f"$.{name}", f"found {found}, allowed is 0 or more")
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
