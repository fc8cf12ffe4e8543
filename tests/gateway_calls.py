"""Routes, calls and registrations for tests of the gateway."""

from guavawalk.request.call import Call, CallFields, PromptPart
from guavawalk.version.registrations import Registration
from guavawalk.version.routes import (
    CallerLimits,
    EngineProfile,
    Quota,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    WorkspaceAccess,
    build_route_table,
)

__all__ = [
    "HOST",
    "PLAN",
    "RESUMABLE",
    "SAFE",
    "UNSAFE",
    "make_call",
    "make_parts",
    "make_registration",
    "make_route",
    "make_table",
]

HOST = "a.example"


def make_route(kind=RouteKind.SAFE, service="desk", prefix="/x/", **fields):
    """Return a route to one service."""
    fields = {"timeout_s": 2.0, "latency_goal_s": 0.5, **fields}
    return Route(prefix, HOST, prefix, kind, (ServiceShare(service, 1.0),), **fields)


def make_table(*routes, version=1, quota=Quota(), limits=CallerLimits()):
    """Return a route table with the services `desk` and `model` and the key `k1`."""
    services = (Service("desk"), Service("model", engine=EngineProfile(2, 100_000, 1)))
    access = {"k1": WorkspaceAccess("w", 0, quota)}
    return build_route_table(version, routes, services, limits, access)


def make_call(route=None, arrived_s=0.0, rank=0, body=b"", parts=(), **fields):
    """Return a call that arrived at `arrived_s`; its deadline is its route's `timeout_s` later."""
    route = route or make_route()
    call_fields = CallFields("r1", HOST, "k1", prompt_parts=parts, **fields)
    return Call(
        call_fields,
        route,
        WorkspaceAccess("w", rank),
        route.services[0].service,
        "POST",
        b"/x/1",
        body,
        arrived_s,
        arrived_s + route.timeout_s,
        rank,
        hash(body) & 0xFFFF,
        make_table(route),
    )


def make_registration(target_id="i-1", service="desk", address="127.0.0.1:1", **fields):
    """Return the registration of a target."""
    fields = {"data_centre": "a", "slots": 2, **fields}
    return Registration(target_id, service, address, **fields)


def make_parts(*parts):
    """Return a `PromptPart` for each tuple of its arguments."""
    return tuple(PromptPart(*part) for part in parts)


UNSAFE = make_route(RouteKind.UNSAFE, max_targets=3)
SAFE = make_route(RouteKind.SAFE, max_targets=2)
PLAN = make_route(RouteKind.STREAM, "model")
RESUMABLE = make_route(RouteKind.STREAM, "model", max_targets=2, resumable=True)
