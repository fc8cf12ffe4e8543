"""One version of the routes, services and workspaces that a gateway obeys."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

__all__ = [
    "NO_ROUTES",
    "CallerLimits",
    "EngineProfile",
    "Quota",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceShare",
    "WorkspaceAccess",
    "build_route_table",
    "find_route",
]


class RouteKind(Enum):
    """What a route's requests do to the target that runs them."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and its part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and path prefix go, and what may be done with them.

    Attributes
    ----------
    timeout_s : float
        How long a request may stay unanswered.
    latency_goal_s : float
        Time to the answer, or a stream's first event, that counts as on time.
    rank : int
        Urgency; 0 is the most urgent.
    max_targets : int
        How many targets one request may be sent to.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another target after its last event.
    event_gap_goal_s : float
        Longest pause between events that counts as on time; 0 where none is stated.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_s: float
    latency_goal_s: float
    rank: int = 0
    max_targets: int = 1
    anonymous: bool = False
    resumable: bool = False
    event_gap_goal_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


class EngineProfile(NamedTuple):
    """What the engines of a service have in common.

    Attributes
    ----------
    batch_slots : int
        Requests that run at once.
    cache_tokens : int
        Tokens that running requests and cached prefixes share.
    token_bytes : int
        Size of one cached token.
    tokens_per_event : int
        Tokens in one event of a stream.
    can_move, can_back_up : bool
        Whether a run's memory can be copied to another engine.
    """

    batch_slots: int
    cache_tokens: int
    token_bytes: int
    tokens_per_event: int = 1
    can_move: bool = False
    can_back_up: bool = False


class Service(NamedTuple):
    """A set of targets that serve the same requests.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together.
    engine : EngineProfile, optional
        None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineProfile | None = None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Quota(NamedTuple):
    """A workspace's rate over all gateways; a rate of 0 is no limit.

    Attributes
    ----------
    counts_tokens : bool
        Whether `per_s` and `burst` count tokens; requests without it.
    default_tokens : int
        Tokens that a request counts which states none.
    """

    per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


class WorkspaceAccess(NamedTuple):
    """A workspace, what it may use and how urgent it is.

    Attributes
    ----------
    rank : int, optional
        Goes before the rank of the route.
    """

    name: str
    rank: int | None = None
    quota: Quota = Quota()


class RouteTable(NamedTuple):
    """A whole version.

    Attributes
    ----------
    version : int
        Grows with each change, in uneven steps; 0 before any is known.
    routes_by_host : mapping
        Routes of each host, the longest prefix first.
    workspaces_by_key : mapping
        Workspace that holds an API key; None where keys are not asked for.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    workspaces_by_key: Mapping[str, WorkspaceAccess] | None = None


NO_ROUTES = RouteTable(0, {}, {})


def build_route_table(
    version: int,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    limits: CallerLimits,
    workspaces_by_key: Mapping[str, WorkspaceAccess] | None,
) -> RouteTable:
    """Index a version's routes by host and its services by name."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version,
        {host: tuple(found) for host, found in by_host.items()},
        {service.name: service for service in services},
        limits,
        workspaces_by_key,
    )


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of a host whose prefix begins a path, the longest one; None without.

    Parameters
    ----------
    host : str
        As the caller sent it, with or without a port.
    path : str
        Path without its query.
    """
    for route in table.routes_by_host.get(host.partition(":")[0].lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
