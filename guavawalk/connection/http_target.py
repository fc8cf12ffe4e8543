"""HTTP/1.1 clients with which a sidecar calls its target: a plain service or a model engine.

docs/ENGINE.md describes the interface of the engine.
"""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypedDict

import h11
import httpcore
import msgspec

from guavawalk.connection.http_stream import create_untimed_backend
from guavawalk.connection.target import (
    AnswerPart,
    CacheEvent,
    CacheEvents,
    EngineClient,
    EngineLoad,
    EngineOrder,
    EngineState,
    TargetAnswer,
    TargetClient,
)
from guavawalk.exception import AnswerOverLimit, TargetConnectError, TargetError, TargetLost
from guavawalk.request.event_stream import EventStream
from guavawalk.request.types import Offer, Usage

__all__ = ["create_http_engine", "create_http_service"]

CONNECT_TIMEOUT_S = 2.0
# Longest time for one write of a request, in seconds.
WRITE_TIMEOUT_S = 60.0
# Longest wait for each read of an answer from the engine's control interface, in seconds.
CONTROL_TIMEOUT_S = 5.0
# Largest status of an answer.
MAX_STATUS = 599
# Largest answer from the engine's control interface, in bytes: a page of cache events.
MAX_CONTROL_BYTES = 4 * 1024 * 1024
# Most connections open to the target at a time.
MAX_CONNECTIONS = 1_000
# Headers of an answer that concern only the connection to the target or the framing of the body on
# it; they are not forwarded.
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", "content-length")
)
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_TRANSFER_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


def _create_pool() -> httpcore.AsyncConnectionPool:
    # Each request opens a new connection. On a kept-alive one, the target's close may be noticed
    # only after the request was sent; whether the target received the request is then unknown.
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=0,
        network_backend=create_untimed_backend(),
    )


@asynccontextmanager
async def _open_response(
    pool, method: str, url: str, headers: list, body: bytes, read_timeout_s: float | None
):
    timeout = {"connect": CONNECT_TIMEOUT_S, "read": read_timeout_s, "write": WRITE_TIMEOUT_S}
    try:
        stream = pool.stream(
            method, url, headers=headers, content=body, extensions={"timeout": timeout}
        )
        async with stream as response:
            if response.status > MAX_STATUS:
                raise TargetLost(f"status {response.status} is none of an answer")
            response.extensions["network_stream"].end_head()
            yield response
    except _CONNECT_ERRORS as error:
        raise TargetConnectError(f"{type(error).__name__}: {error}") from error
    except (*_TRANSFER_ERRORS, h11.LocalProtocolError) as error:
        # An answer with a status below 100 raises an error of h11 that httpcore does not convert.
        raise TargetLost(f"{type(error).__name__}: {error}") from error


def _pairs(headers: tuple[str, ...]) -> list[tuple[str, str]]:
    return list(zip(headers[::2], headers[1::2]))


def _select_answer_headers(response: httpcore.Response) -> tuple[str, ...]:
    flat: list[str] = []
    for name, value in response.headers:
        if name.decode("latin-1").lower() not in HOP_HEADERS:
            flat += (name.decode("latin-1"), value.decode("latin-1"))
    return tuple(flat)


class HttpService:
    """Client of a plain service; implements `TargetClient`."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _create_pool()

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Send the call and yield the answer, as `TargetClient.run`."""
        headers = _pairs(offer.headers)
        url = self._url + offer.path
        async with _open_response(
            self._pool, offer.method, url, headers, offer.body, None
        ) as response:
            parts = _read_plain_parts(response)
            yield TargetAnswer(response.status, _select_answer_headers(response), parts)

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing: a plain service has no way to cancel a call."""


async def _read_plain_parts(response: httpcore.Response) -> AsyncIterator[AnswerPart]:
    async for data in response.aiter_stream():
        yield AnswerPart(data)


class StateRow(TypedDict):
    """State of an engine as in its answer; the fields are those of `EngineState`."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fence: tuple[int, int]
    pending: str


class HttpEngine:
    """Client of a model engine; implements `EngineClient`."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _create_pool()

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Start a streamed generation with the attempt id as request id."""
        headers = [*_pairs(offer.headers), ("X-Request-Id", offer.attempt_id)]
        url = self._url + offer.path
        async with _open_response(self._pool, "POST", url, headers, offer.body, None) as response:
            yield TargetAnswer(
                response.status, _select_answer_headers(response), _read_event_parts(response)
            )

    @asynccontextmanager
    async def resume(self, attempt_id: str, offset: int):
        """Resume a stream from a byte offset."""
        url = f"{self._url}/v1/streams/{attempt_id}?offset={offset}"
        async with _open_response(self._pool, "GET", url, [], b"", None) as response:
            yield TargetAnswer(
                response.status, _select_answer_headers(response), _read_event_parts(response)
            )

    async def cancel(self, attempt_id: str) -> None:
        """Cancel a generation."""
        await self._send_control_request("DELETE", f"/v1/streams/{attempt_id}")

    async def load(self) -> EngineLoad:
        """Fetch the load report."""
        report = await self._send_control_request("GET", "/v1/load")
        return EngineLoad(
            report["running"], report["waiting"], report["free_slots"], report["cached_tokens"]
        )

    async def cache_events(self, after: int) -> CacheEvents:
        """Fetch the cache events after a sequence number."""
        page = await self._send_control_request("GET", f"/v1/cache/events?after={after}")
        events = tuple(
            CacheEvent(e["sequence"], e["stored"], e["prefix_hash"], e["tokens"])
            for e in page["events"]
        )
        return CacheEvents(page["oldest"], events)

    async def state(self) -> EngineState:
        """Fetch the engine's state."""
        document = await self._send_control_request("GET", "/v1/state")
        try:
            return EngineState(**msgspec.convert(document, StateRow))
        except msgspec.ValidationError as error:
            raise TargetError(f"state: {error}") from error

    async def order(self, order: EngineOrder) -> None:
        """Send an order, with its fencing number in the `X-Fence` header."""
        headers = [("X-Fence", f"{order.fence[0]}.{order.fence[1]}")]
        body = json.dumps({"kind": order.kind, "name": order.name}).encode()
        await self._send_control_request("POST", "/v1/orders", headers, body)

    async def _send_control_request(
        self, method: str, path: str, headers: list = (), body: bytes = b""
    ):
        async with _open_response(
            self._pool, method, self._url + path, list(headers), body, CONTROL_TIMEOUT_S
        ) as response:
            content = await _read_control_answer(response)
            if response.status >= 400:
                raise TargetError(f"{method} {path}: HTTP {response.status}")
        try:
            return json.loads(content) if content else {}
        except ValueError as error:
            raise TargetError(f"{method} {path}: not JSON") from error


async def _read_control_answer(response: httpcore.Response) -> bytes:
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > MAX_CONTROL_BYTES:
            raise AnswerOverLimit(f"the answer is over {MAX_CONTROL_BYTES} bytes")
    return bytes(content)


async def _read_event_parts(response: httpcore.Response) -> AsyncIterator[AnswerPart]:
    stream = EventStream()
    async for data in response.aiter_stream():
        if events := stream.feed(data):
            yield AnswerPart(events, _count_tokens(events), _find_usage(events))
    if _ends_by_close(response) and (missing := stream.missing_at_close()):
        raise TargetLost(missing)
    if rest := stream.pop_partial():
        yield AnswerPart(rest)


def _ends_by_close(response: httpcore.Response) -> bool:
    """Return whether only the end of the connection says that an answer is complete."""
    names = {name.lower() for name, _ in response.headers}
    return not names & {b"content-length", b"transfer-encoding"}


def _count_tokens(events: bytes) -> int:
    # Engines send one token per event, as `delta` in chat completions and `text` in plain ones.
    return events.count(b'"delta"') or events.count(b'"text"')


def _find_usage(events: bytes) -> Usage | None:
    usage_at = events.rfind(b'"usage":')
    if usage_at < 0:
        return None
    start = events.rfind(b"data: ", 0, usage_at)
    line = events[start + 6 : events.find(b"\n", usage_at)]
    try:
        usage = json.loads(line).get("usage") or {}
    except ValueError:
        return None
    details = usage.get("prompt_tokens_details") or {}
    return Usage(
        usage.get("prompt_tokens", 0),
        details.get("cached_tokens", 0),
        usage.get("completion_tokens", 0),
    )


def create_http_service(url: str) -> TargetClient:
    """Create a client of the plain service at a base URL."""
    return HttpService(url)


def create_http_engine(url: str) -> EngineClient:
    """Create a client of the model engine at a base URL."""
    return HttpEngine(url)
