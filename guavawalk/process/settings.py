"""Reads and checks the settings files of the daemons, which are JSON with comments."""

import ssl
from pathlib import Path
from typing import NamedTuple, TypeVar

from guavawalk.exception import SettingsError
from guavawalk.process.admin_settings import AdminKeySettings, check_admin_keys
from guavawalk.process.json_file import build_checked, read_json_object
from guavawalk.process.observe.log import LOG_LEVELS
from guavawalk.process.sidecar.queue import DEFAULT_CAPACITY_TOKENS
from guavawalk.process.sidecar.window import DEFAULT_WINDOW, WINDOWS
from guavawalk.request.policies import DEFAULT_PLACEMENT, PLACEMENTS

__all__ = [
    "EntrySettings",
    "SidecarSettings",
    "StatsdSettings",
    "TlsSettings",
    "client_tls_context",
    "read_role",
    "read_settings",
    "server_tls_context",
]

S = TypeVar("S")
# Kinds of daemons, as settings files name them.
SETTINGS_ROLES = ("entry", "sidecar", "gateway")


class StatsdSettings(NamedTuple):
    """Address of the statsd daemon and prefix of metric names; an empty host sends no metrics."""

    host: str = ""
    port: int = 8125
    prefix: str = "guavawalk"


class TlsSettings(NamedTuple):
    """Paths of the PEM files for mutual TLS between processes; empty for no TLS."""

    certificate_file: str = ""
    key_file: str = ""
    authority_file: str = ""


class EntrySettings(NamedTuple):
    """Settings of `guavawalk entry`.

    Attributes
    ----------
    listen : str
        Address for callers, `IP:port`.
    platform_url : str
        Base URL of the platform, which publishes the configuration.
    peer_listen : str
        Address for peers, `IP:port`; empty to accept no links from peers.
    peers : tuple of str
        Addresses of peers, `IP:port`, from which to fetch the configuration as long as no others
        are known.
    start_jitter_ms : int
        Longest random delay before the first read of the platform, in milliseconds.
    fleet_secret : str
        Secret with which processes of the fleet authenticate to each other; empty for none.
    allow_open : bool
        Whether the process may run with neither a fleet secret nor TLS.
    body_limit_bytes, header_limit_bytes : int
        Maximum sizes of a request body and of a request head, in bytes.
    head_timeout_ms, body_timeout_ms : int
        Times within which a request head and a request body must arrive, in milliseconds.
    max_memory_mb : int
        Memory that the process may use, in MB; it bounds the bodies of callers.
    placement : str
        Name of the policy that places requests at targets, one of `PLACEMENTS`.
    entry_instances : int
        Number of entries that share the limits of workspaces, as long as the platform lists none.
    drain_notice_ms : int
        Time to keep answering after a shutdown signal while reported as not ready, in
        milliseconds.
    admin_listen : str
        Address of the administration API, `IP:port`; empty to serve none.
    admin_keys : tuple of AdminKeySettings
        Keys of the administration API; at least one if `admin_listen` is set.
    log_level : str
        Lowest level that is logged, one of `LOG_LEVELS`.
    """

    instance: str
    data_centre: str
    listen: str
    platform_url: str
    role: str = "entry"
    peer_listen: str = ""
    peers: tuple[str, ...] = ()
    start_jitter_ms: int = 2_000
    fleet_secret: str = ""
    allow_open: bool = False
    body_limit_bytes: int = 8 * 1024 * 1024
    header_limit_bytes: int = 64 * 1024
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 30_000
    max_memory_mb: int = 200
    placement: str = DEFAULT_PLACEMENT
    entry_instances: int = 1
    drain_notice_ms: int = 1_000
    admin_listen: str = ""
    admin_keys: tuple[AdminKeySettings, ...] = ()
    log_level: str = "INFO"
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings = TlsSettings()


class SidecarSettings(NamedTuple):
    """Settings of `guavawalk sidecar`.

    Attributes
    ----------
    listen : str
        Address for entries, `IP:port`.
    target : str
        Name of the sidecar's target in the configuration.
    target_kind : str
        `model` or `service`.
    target_url : str
        Base URL of the target.
    window : str
        How the dispatch window is sized: `adaptive`, which adapts to the engine's speed, or
        `fixed`. The window of a service is always fixed.
    load_slot_ms : int
        Time between two loads of the same weights in the fleet, in milliseconds.
    window_slots : int
        Maximum number of attempts that run at the target at once; an adaptive window may be
        smaller.
    queue_slots, queue_cost_tokens : int
        Maximum number of queued attempts, and of their cost in prompt tokens; an output token
        costs as much as 4 prompt tokens.
    answer_limit_bytes : int
        Maximum size of an answer, in bytes.
    record_slots : int
        Maximum number of idempotency records.
    peers, start_jitter_ms, fleet_secret, allow_open, admin_listen, admin_keys, log_level
        As in `EntrySettings`.
    """

    instance: str
    data_centre: str
    listen: str
    platform_url: str
    target: str
    target_kind: str
    target_url: str
    role: str = "sidecar"
    peers: tuple[str, ...] = ()
    load_slot_ms: int = 1_000
    start_jitter_ms: int = 2_000
    fleet_secret: str = ""
    allow_open: bool = False
    window: str = DEFAULT_WINDOW
    window_slots: int = 16
    queue_slots: int = 1_000
    queue_cost_tokens: int = DEFAULT_CAPACITY_TOKENS
    answer_limit_bytes: int = 4 * 1024 * 1024
    record_slots: int = 100_000
    admin_listen: str = ""
    admin_keys: tuple[AdminKeySettings, ...] = ()
    log_level: str = "INFO"
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings = TlsSettings()


def read_settings(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        File of JSON with comments (JSON5).
    kind : type
        `EntrySettings` or `SidecarSettings`.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is not allowed; the error names the file and the path
        of the field, what was found and what is allowed.
    """
    source = str(path)
    settings = build_checked(source, "$", read_json_object(path), kind)
    _check_values(source, settings)
    return settings


def read_role(path: Path) -> str:
    """Return the role in a settings file: `entry`, `sidecar` or `gateway`.

    Raises
    ------
    SettingsError
        If the file can't be read, or names no role or another one.
    """
    role = read_json_object(path).get("role")
    if role not in SETTINGS_ROLES:
        allowed = ", ".join(SETTINGS_ROLES)
        raise SettingsError(str(path), "$.role", f"found {role!r}, allowed is one of {allowed}")
    return role


def _check_values(source: str, settings) -> None:
    for name, value in settings._asdict().items():
        path = f"$.{name}"
        if isinstance(value, int) and not isinstance(value, bool) and value < 1:
            raise SettingsError(source, path, f"found {value}, allowed is 1 or more")
    _check_address(source, "$.listen", settings.listen)
    _check_admin(source, settings)
    if settings.log_level not in LOG_LEVELS:
        problem = f"found {settings.log_level!r}, allowed is one of {', '.join(LOG_LEVELS)}"
        raise SettingsError(source, "$.log_level", problem)
    if getattr(settings, "peer_listen", ""):
        _check_address(source, "$.peer_listen", settings.peer_listen)
    for index, address in enumerate(settings.peers):
        _check_address(source, f"$.peers[{index}]", address)
    placement = getattr(settings, "placement", DEFAULT_PLACEMENT)
    if placement not in PLACEMENTS:
        problem = f"found {placement!r}, allowed is one of {', '.join(PLACEMENTS)}"
        raise SettingsError(source, "$.placement", problem)
    window = getattr(settings, "window", DEFAULT_WINDOW)
    if window not in WINDOWS:
        problem = f"found {window!r}, allowed is one of {', '.join(WINDOWS)}"
        raise SettingsError(source, "$.window", problem)
    if getattr(settings, "target_kind", "model") not in ("model", "service"):
        problem = f"found {settings.target_kind!r}, allowed is model or service"
        raise SettingsError(source, "$.target_kind", problem)
    if not (settings.fleet_secret or settings.tls.authority_file or settings.allow_open):
        problem = (
            "neither fleet_secret nor tls is set; set allow_open to run without authentication"
        )
        raise SettingsError(source, "$.fleet_secret", problem)


def _check_admin(source: str, settings) -> None:
    if settings.admin_listen:
        _check_address(source, "$.admin_listen", settings.admin_listen)
    check_admin_keys(source, settings.admin_listen, settings.admin_keys)


def _check_address(source: str, path: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise SettingsError(source, path, f"found {address!r}, allowed is IP:port")


def server_tls_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context for accepted links, or None without a certificate file.

    Clients must present a certificate of the same authority.
    """
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=settings.authority_file)
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


def client_tls_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context for outgoing links, or None without a certificate file."""
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=settings.authority_file)
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context
