"""HTTP front end of the administration API."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from guavawalk import events
from guavawalk.codes import ResultCode, describe_code
from guavawalk.connection.http_answer import error_body
from guavawalk.exception import RequestError
from guavawalk.process.admin.access import find_caller, require_role
from guavawalk.process.admin.openapi import describe_api
from guavawalk.process.admin.operations import OPERATIONS, Operation
from guavawalk.process.http_server import serve_asgi
from guavawalk.request.types import Outcome

if TYPE_CHECKING:
    from guavawalk.process.admin.node import CommonNode
    from guavawalk.process.admin_settings import AdminKeySettings

__all__ = ["create_admin_app", "serve_admin"]

BODY_LIMIT_BYTES = 16 * 1024
BODY_TIMEOUT_S = 10.0
# Most connections, so that those of callers, links and targets have descriptors.
MAX_CONNECTIONS = 48

Endpoint = Callable[[Request], Awaitable[Response]]


async def serve_admin(node: CommonNode, keys: Sequence[AdminKeySettings], address: str) -> None:
    """Serve the administration API until cancelled.

    Parameters
    ----------
    keys : sequence of AdminKeySettings
        Keys of the API, each with its role and workspaces.
    address : str
        Where to listen, `IP:port`; if it is empty, the API is off and this returns at once.
    """
    if address:
        app = create_admin_app(node, keys)
        await serve_asgi(app, address, max_connections=MAX_CONNECTIONS)


def create_admin_app(node: CommonNode, keys: Sequence[AdminKeySettings]) -> Starlette:
    """Create the ASGI application of a process's administration API.

    It serves the operations of the process's role and `/openapi.json`. Every other path gets
    `NOT_FOUND`.
    """
    operations = [operation for operation in OPERATIONS if node.role in operation.node_roles]
    description = describe_api(operations, f"guavawalk {node.role} administration")

    async def openapi(request: Request) -> Response:
        find_caller(keys, request.headers.get("authorization", ""))
        return JSONResponse(description)

    async def not_found(request: Request) -> Response:
        raise RequestError(ResultCode.NOT_FOUND, f"{request.method} {request.url.path[:80]}")

    routes = [
        Route(
            operation.path,
            _with_error_handling(node, _endpoint(node, keys, operation)),
            methods=[operation.method],
        )
        for operation in operations
    ]
    routes.append(Route("/openapi.json", _with_error_handling(node, openapi)))
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    routes.append(Route("/{path:path}", _with_error_handling(node, not_found), methods=methods))
    return Starlette(routes=routes)


def _endpoint(node: CommonNode, keys: Sequence[AdminKeySettings], operation: Operation) -> Endpoint:
    async def endpoint(request: Request) -> Response:
        caller = find_caller(keys, request.headers.get("authorization", ""))
        require_role(caller, operation.required_role)
        body = await _read_body(request, operation.body) if operation.body else None
        return JSONResponse(await operation.run(node, caller, body))

    return endpoint


def _with_error_handling(node: CommonNode, endpoint: Endpoint) -> Endpoint:
    async def safe_endpoint(request: Request) -> Response:
        try:
            return await endpoint(request)
        except RequestError as error:
            return _refusal_response(node, request, error)
        except ClientDisconnect:
            return Response()
        except Exception as error:
            node.log.emit(events.TASK_FAILED, path=request.url.path, reason=type(error).__name__)
            return _refusal_response(node, request, RequestError(ResultCode.INTERNAL_ERROR))

    return safe_endpoint


def _refusal_response(node: CommonNode, request: Request, error: RequestError) -> Response:
    node.log.emit(
        events.ADMIN_REFUSED,
        code=int(error.code),
        method=request.method,
        path=request.url.path[:80],
    )
    outcome = Outcome(error.code, error.detail)
    return JSONResponse(error_body(outcome), describe_code(error.code).http_status)


async def _read_body(request: Request, kind: type) -> object:
    content = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for part in request.stream():
                content += part
                if len(content) > BODY_LIMIT_BYTES:
                    detail = f"allowed are {BODY_LIMIT_BYTES} bytes"
                    raise RequestError(ResultCode.BODY_TOO_LARGE, detail)
    except TimeoutError as error:
        raise RequestError(ResultCode.REQUEST_TIMEOUT) from error
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(ResultCode.BAD_REQUEST, str(error)) from error
