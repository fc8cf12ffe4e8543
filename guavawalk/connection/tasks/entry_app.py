"""HTTP front end of an entry: reads callers' requests and processes each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from guavawalk import events
from guavawalk.codes import ResultCode, describe_code
from guavawalk.connection.http_answer import create_http_caller, error_body
from guavawalk.connection.http_request import (
    MODEL_PATHS,
    RawRequest,
    find_workspace,
    read_headers,
    read_trace_id,
    read_work,
)
from guavawalk.connection.request_reader import InputRoom
from guavawalk.connection.tasks.process_request import process_request
from guavawalk.connection.tasks.read_body import read_body
from guavawalk.connection.tasks.ticket import fetch_ticket
from guavawalk.exception import RequestError
from guavawalk.process.entry.observed import record_invalid
from guavawalk.request.ticket import refusal_code
from guavawalk.request.types import Outcome

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["create_entry_app"]

ANY_METHOD = ("GET", "POST", "PUT", "PATCH", "DELETE")


def create_entry_app(entry: Entry) -> Starlette:
    """Create the ASGI application of an entry.

    `/healthz` and `/readyz` report on the process, `POST /v1/tickets` issues an idempotency ticket,
    and every other path is a request for a model or a service.
    """

    async def healthz(request: Request) -> Response:
        return JSONResponse({"status": "ok"})

    async def readyz(request: Request) -> Response:
        ready = entry.active.configuration is not None and not entry.request_tracker.draining
        return JSONResponse({"ready": ready}, 200 if ready else 503)

    routes = [
        Route("/healthz", healthz),
        Route("/readyz", readyz),
        Route("/v1/tickets", _ticket_endpoint(entry), methods=list(ANY_METHOD)),
        Route("/{path:path}", _WorkEndpoint(entry)),
    ]
    return Starlette(routes=routes)


class _WorkEndpoint:
    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        # The body counts as long as it is in memory.
        with self._entry.input.connection() as room:
            await self._serve(room, scope, receive, send)

    async def _serve(self, room: InputRoom, scope: Scope, receive: Receive, send: Send) -> None:
        entry = self._entry
        arrived_s = entry.clock.now_s()
        request = Request(scope, receive)
        try:
            raw = await _read_raw(entry, request, room)
            configuration = entry.active.configuration
            if configuration is None:
                raise RequestError(ResultCode.NO_CONFIGURATION, retry_after_ms=1000)
            work = read_work(raw, configuration, arrived_s, entry.limits.max_deadline_ms)
        except ClientDisconnect:
            return
        except RequestError as error:
            await _error_response(entry, request, error)(scope, receive, send)
            return
        except Exception as error:
            entry.log.emit(events.TASK_FAILED, path=request.url.path, reason=repr(error))
            internal = RequestError(ResultCode.INTERNAL_ERROR)
            await _error_response(entry, request, internal)(scope, receive, send)
            return
        buffers_answer = bool(work.model) and not work.stream
        chat = work.path == MODEL_PATHS[0]
        caller = create_http_caller(receive, send, work.trace_id, buffers_answer, chat)
        try:
            await process_request(entry, work, caller)
        except Exception as error:
            entry.log.emit(events.TASK_FAILED, trace_id=work.trace_id, reason=repr(error))
            raise


async def _read_raw(entry: Entry, request: Request, room: InputRoom) -> RawRequest:
    size = sum(len(name) + len(value) for name, value in request.scope["headers"])
    if size > entry.limits.header_bytes:
        raise RequestError(ResultCode.HEADERS_TOO_LARGE)
    configuration = entry.active.configuration
    if configuration is not None:
        # The body of a caller whose key is not known is not read.
        find_workspace(configuration, read_headers(dict(request.headers)).api_key)
    limits = entry.limits
    body = await read_body(
        request, room, limits.body_bytes, limits.body_timeout_s, entry.read_turns
    )
    path = request.scope["raw_path"].decode("ascii")
    query = request.scope["query_string"].decode("latin-1")
    if query:
        path = f"{path}?{query}"
    return RawRequest(request.method, path, dict(request.headers), bytes(body))


def _error_response(entry: Entry, request: Request, error: RequestError) -> Response:
    record_invalid(entry, error, request.url.path, _trace_id(request))
    code = refusal_code(error.code, request.headers.get("idempotency-key", ""))
    outcome = Outcome(code, error.detail, error.retry_after_ms or 0)
    headers = {"x-guavawalk-code": str(int(code))}
    return JSONResponse(error_body(outcome), describe_code(code).http_status, headers)


def _trace_id(request: Request) -> str:
    try:
        return read_trace_id(request.headers.get("x-request-id", ""))
    except RequestError:
        return ""


def _ticket_endpoint(entry: Entry):
    async def tickets(request: Request) -> Response:
        try:
            if request.method != "POST":
                raise RequestError(ResultCode.BAD_REQUEST, "/v1/tickets takes POST only")
            with entry.input.connection() as room:
                raw = await _read_raw(entry, request, room)
            headers = read_headers(raw.headers)
            configuration = entry.active.configuration
            if configuration is None:
                raise RequestError(ResultCode.NO_CONFIGURATION, retry_after_ms=1000)
            workspace = find_workspace(configuration, headers.api_key)
            ticket = await fetch_ticket(entry, configuration, workspace, raw.body)
        except RequestError as error:
            return _error_response(entry, request, error)
        document = {"ticket": ticket.ticket, "expires_in_ms": ticket.expires_in_ms}
        return JSONResponse(document, 201)

    return tickets
