"""Reading a call from a request: its route, its workspace, its deadline."""

import random

import xxhash

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.call import Call, CallFields
from guavawalk.version.routes import Route, RouteTable, WorkspaceAccess, find_route

__all__ = ["admit_call"]

NOBODY = WorkspaceAccess("")
# Time until a caller may come back to a gateway that has no routes yet, in milliseconds.
NO_ROUTES_RETRY_MS = 300


def admit_call(
    table: RouteTable, fields: CallFields, method: str, path: bytes, body: bytes, now_s: float
) -> Call:
    """Return the call that a request makes under a version of the routes.

    Raises
    ------
    RequestError
        If no route takes it, its key is not known, or no routes are known yet.
    """
    if not table.version:
        raise RequestError(ResultCode.NO_CONFIGURATION, retry_after_ms=NO_ROUTES_RETRY_MS)
    plain_path = path.partition(b"?")[0].decode("latin-1")
    route = find_route(table, fields.host, plain_path)
    if route is None:
        raise RequestError(ResultCode.NOT_FOUND, f"no route for {fields.host}{plain_path:.80}")
    workspace = _workspace(table, route, fields)
    patience_s = route.timeout_s
    if fields.caller_timeout_s is not None:
        patience_s = min(fields.caller_timeout_s, patience_s)
    return Call(
        fields=fields,
        route=route,
        workspace=workspace,
        service=_service(route),
        method=method,
        path=path,
        body=body,
        arrived_s=now_s,
        deadline_s=now_s + patience_s,
        rank=route.rank if workspace.rank is None else workspace.rank,
        fingerprint=_fingerprint(workspace, path, body),
        table=table,
    )


def _workspace(table: RouteTable, route: Route, fields: CallFields) -> WorkspaceAccess:
    if table.workspaces_by_key is None:
        return NOBODY
    workspace = table.workspaces_by_key.get(fields.key)
    if workspace is not None:
        return workspace
    if route.anonymous:
        return NOBODY
    raise RequestError(ResultCode.UNAUTHENTICATED, "the key is not known")


def _service(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    return random.choices(route.services, weights)[0].service


def _fingerprint(workspace: WorkspaceAccess, path: bytes, body: bytes) -> int:
    digest = xxhash.xxh3_64()
    for part in (workspace.name.encode(), path, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.intdigest() >> 1
