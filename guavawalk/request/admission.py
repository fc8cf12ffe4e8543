"""Admits a request: finds its route and workspace, and sets its service, deadline and rank."""

import random

import xxhash

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.call import Call, CallFields, SharedPart
from guavawalk.version.routes import Route, RouteTable, WorkspaceAccess, find_route

__all__ = ["admit_call", "refusal_of_caller"]

# Workspace of requests without a known key on anonymous routes, and of all requests while the
# version has no keys.
ANONYMOUS_WORKSPACE = WorkspaceAccess("")
# Retry-after time sent to callers by a gateway that has no routes yet, in milliseconds.
NO_ROUTES_RETRY_MS = 300
# Most leading parts of a prompt that count as shared.
MAX_SHARED_PARTS = 64


def admit_call(
    table: RouteTable, fields: CallFields, method: str, path: bytes, body: bytes, now_s: float
) -> Call:
    """Return the call of a request under one version of the routes.

    Parameters
    ----------
    path : bytes
        Path with its query, as the caller sent it.
    now_s : float
        Arrival of the request, on this process's monotonic clock.

    Raises
    ------
    RequestError
        `NO_CONFIGURATION` if the table is empty (version 0), `NOT_FOUND` if no route matches,
        `UNAUTHENTICATED` if the route needs a key and the caller's is missing or not known.

    Notes
    -----
    The deadline follows from the shorter of the route's and the caller's time limit. The rank is
    the workspace's, or the route's if the workspace has none.
    """
    route, workspace = _find_route(table, fields.host, path, fields.key)
    timeout_s = route.timeout_s
    if fields.caller_timeout_s is not None:
        timeout_s = min(fields.caller_timeout_s, timeout_s)
    service = _choose_service(route)
    return Call(
        fields=fields,
        route=route,
        workspace=workspace,
        service=service,
        method=method,
        path=path,
        body=body,
        arrived_s=now_s,
        deadline_s=now_s + timeout_s,
        rank=route.rank if workspace.rank is None else workspace.rank,
        fingerprint=_fingerprint(workspace, path, body),
        table=table,
        shared_parts=_shared_parts(service, fields),
    )


def refusal_of_caller(table: RouteTable, host: str, path: bytes, key: str) -> RequestError | None:
    """Return the error for which `admit_call` refuses a caller whatever it sends; None if none."""
    try:
        _find_route(table, host, path, key)
    except RequestError as error:
        return error
    return None


def _find_route(
    table: RouteTable, host: str, path: bytes, key: str
) -> tuple[Route, WorkspaceAccess]:
    if not table.version:
        raise RequestError(ResultCode.NO_CONFIGURATION, retry_after_ms=NO_ROUTES_RETRY_MS)
    path_text = path.partition(b"?")[0].decode("latin-1")
    route = find_route(table, host, path_text)
    if route is None:
        raise RequestError(ResultCode.NOT_FOUND, f"no route for {host}{path_text:.80}")
    return route, _find_workspace(table, route, key)


def _find_workspace(table: RouteTable, route: Route, key: str) -> WorkspaceAccess:
    if table.workspaces_by_key is None:
        return ANONYMOUS_WORKSPACE
    workspace = table.workspaces_by_key.get(key)
    if workspace is not None:
        return workspace
    if route.anonymous:
        return ANONYMOUS_WORKSPACE
    raise RequestError(ResultCode.UNAUTHENTICATED, "the key is not known")


def _choose_service(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    return random.choices(route.services, weights)[0].service


def _fingerprint(workspace: WorkspaceAccess, path: bytes, body: bytes) -> int:
    return _hash(workspace.name.encode(), path, body)


def _shared_parts(service: str, fields: CallFields) -> tuple[SharedPart, ...]:
    scope = (service.encode(), fields.model.encode())
    return tuple(
        SharedPart(part.part_id, _hash(*scope, part.part_id.encode()))
        for part in fields.prompt_parts[:-1][:MAX_SHARED_PARTS]
    )


def _hash(*texts: bytes) -> int:
    """Return a 63-bit hash of some texts in order."""
    digest = xxhash.xxh3_64()
    for text in texts:
        digest.update(b"%d:" % len(text))
        digest.update(text)
    return digest.intdigest() >> 1
