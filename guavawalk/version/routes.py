"""One version of the routes, services and workspaces by which a gateway forwards requests."""

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
    """Whether a route's requests may run more than once, and whether they are streams.

    `SAFE`: idempotent. `UNSAFE`: must not run more than once. `STREAM`: answered by an event
    stream; idempotent if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests to a host and path prefix.

    Attributes
    ----------
    services : tuple of ServiceShare
        Services that run the requests; one is drawn at random by weight.
    timeout_s : float
        Longest time from the arrival of a request to the end of its answer, in seconds.
    latency_goal_s : float
        Longest time to the answer, or a stream's first event, that counts as on time, in seconds.
    rank : int
        Urgency; 0 is the most urgent.
    max_targets : int
        Number of targets to which one request may be sent.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a broken stream may be resumed at another target after its last event.
    event_gap_goal_s : float
        Longest gap between events that counts as on time, in seconds; 0 if not stated.
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
    """Properties of all engines of a service.

    Attributes
    ----------
    batch_slots : int
        Requests that an engine runs at once.
    cache_tokens : int
        Capacity of the cache that running requests and cached prefixes share, in tokens.
    token_bytes : int
        Size of one cached token, in bytes.
    tokens_per_event : int
        Tokens in one event of a stream.
    can_move, can_back_up : bool
        Whether the cache of a running request can be moved, or backed up, to another engine.
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
    health_path : str
        Path of the targets' health check.
    max_connections : int
        Connections that one target accepts from all clients together.
    engine : EngineProfile, optional
        None for a plain service.
    warmup_s : float
        Time for which a target is cold after it starts, in seconds; 0 for none.
    warmup_per_s : float
        Calls per second that a cold target can handle; 0 if not stated, so that calls to it are
        not limited.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineProfile | None = None
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on the size and duration of what a caller sends.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Largest head and body of a request.
    head_timeout_s : float
        Longest time for the head of a request, in seconds.
    idle_timeout_s : float
        Longest time without a request on an open connection, in seconds.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Quota(NamedTuple):
    """Limit on a workspace's rate over all gateways together.

    Attributes
    ----------
    per_s : float
        Rate in requests or tokens per second; 0 for no limit.
    burst : float
        Largest number of requests or tokens admitted at once.
    counts_tokens : bool
        Whether `per_s` and `burst` are in tokens; otherwise they are in requests.
    default_tokens : int
        Tokens charged for a request that states none.
    """

    per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


class WorkspaceAccess(NamedTuple):
    """Quota and urgency of a workspace.

    Attributes
    ----------
    name : str
        Empty for requests without a workspace.
    rank : int, optional
        Urgency of its requests, 0 being the most urgent; None for the rank of the route.
    """

    name: str
    rank: int | None = None
    quota: Quota = Quota()


class RouteTable(NamedTuple):
    """A complete version of the routes.

    Attributes
    ----------
    version : int
        Increases with each change, not always by 1; 0 before the first version is known.
    routes_by_host : mapping
        Routes by host in lower case, the longest prefix first.
    workspaces_by_key : mapping, optional
        Workspace of each API key; None if requests need no keys.
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
    """Index a version's routes by host and its services by name.

    Parameters
    ----------
    workspaces_by_key : mapping, optional
        None if requests need no keys.
    """
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version,
        {host: tuple(host_routes) for host, host_routes in by_host.items()},
        {service.name: service for service in services},
        limits,
        workspaces_by_key,
    )


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix; None if no route matches.

    Parameters
    ----------
    host : str
        As the caller sent it, with or without a port; the case doesn't count.
    path : str
        Path without its query.
    """
    for route in table.routes_by_host.get(host.partition(":")[0].lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
