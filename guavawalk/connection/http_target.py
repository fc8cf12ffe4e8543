"""Targets over HTTP/1.1: plain services and model engines.

The engine's interface is described in docs/ENGINE.md.
"""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypedDict

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
from guavawalk.exception import TargetConnectError, TargetError, TargetLost
from guavawalk.request.types import Offer, Usage

__all__ = ["create_http_engine", "create_http_service"]

CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 60.0
CONTROL_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 1_000
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", "content-length")
)
_NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_LOST = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


def _pool() -> httpcore.AsyncConnectionPool:
    # A connection kept alive may be found closed only once the request is on it, and then it
    # can't be known whether the target saw it; a new one for each dispatch can't be.
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=0,
        network_backend=create_untimed_backend(),
    )


@asynccontextmanager
async def _open(
    pool, method: str, url: str, headers: list, body: bytes, read_timeout_s: float | None
):
    timeout = {"connect": CONNECT_TIMEOUT_S, "read": read_timeout_s, "write": WRITE_TIMEOUT_S}
    try:
        stream = pool.stream(
            method, url, headers=headers, content=body, extensions={"timeout": timeout}
        )
        async with stream as response:
            yield response
    except _NOT_CONNECTED as error:
        raise TargetConnectError(f"{type(error).__name__}: {error}") from error
    except _LOST as error:
        raise TargetLost(f"{type(error).__name__}: {error}") from error


def _pairs(headers: tuple[str, ...]) -> list[tuple[str, str]]:
    return list(zip(headers[::2], headers[1::2]))


def _answer_headers(response: httpcore.Response) -> tuple[str, ...]:
    flat: list[str] = []
    for name, value in response.headers:
        if name.decode("latin-1").lower() not in HOP_HEADERS:
            flat += (name.decode("latin-1"), value.decode("latin-1"))
    return tuple(flat)


class HttpService:
    """A plain service."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _pool()

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Pass the call through."""
        headers = _pairs(offer.headers)
        url = self._url + offer.path
        async with _open(self._pool, offer.method, url, headers, offer.body, None) as response:
            parts = _plain_parts(response)
            yield TargetAnswer(response.status, _answer_headers(response), parts)

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing: a plain service can't be told to stop."""


async def _plain_parts(response: httpcore.Response) -> AsyncIterator[AnswerPart]:
    async for data in response.aiter_stream():
        yield AnswerPart(data)


class StateRow(TypedDict):
    """An engine's state as it tells it."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fence: tuple[int, int]
    pending: str


class HttpEngine:
    """A model engine."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _pool()

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Start a streamed generation under the attempt's id."""
        headers = [*_pairs(offer.headers), ("X-Request-Id", offer.attempt_id)]
        url = self._url + offer.path
        async with _open(self._pool, "POST", url, headers, offer.body, None) as response:
            yield TargetAnswer(response.status, _answer_headers(response), _sse_parts(response))

    @asynccontextmanager
    async def resume(self, attempt_id: str, offset: int):
        """Take a stream up again at a byte offset."""
        url = f"{self._url}/v1/streams/{attempt_id}?offset={offset}"
        async with _open(self._pool, "GET", url, [], b"", None) as response:
            yield TargetAnswer(response.status, _answer_headers(response), _sse_parts(response))

    async def cancel(self, attempt_id: str) -> None:
        """Stop a generation."""
        await self._control("DELETE", f"/v1/streams/{attempt_id}")

    async def load(self) -> EngineLoad:
        """Read the load report."""
        found = await self._control("GET", "/v1/load")
        return EngineLoad(
            found["running"], found["waiting"], found["free_slots"], found["cached_tokens"]
        )

    async def cache_events(self, after: int) -> CacheEvents:
        """Read cache events."""
        found = await self._control("GET", f"/v1/cache/events?after={after}")
        events = tuple(
            CacheEvent(e["sequence"], e["stored"], e["prefix_hash"], e["tokens"])
            for e in found["events"]
        )
        return CacheEvents(found["oldest"], events)

    async def state(self) -> EngineState:
        """Read what the engine holds."""
        found = await self._control("GET", "/v1/state")
        try:
            return EngineState(**msgspec.convert(found, StateRow))
        except msgspec.ValidationError as error:
            raise TargetError(f"state: {error}") from error

    async def order(self, order: EngineOrder) -> None:
        """Give an order, with its fencing number in a header."""
        headers = [("X-Fence", f"{order.fence[0]}.{order.fence[1]}")]
        body = json.dumps({"kind": order.kind, "name": order.name}).encode()
        await self._control("POST", "/v1/orders", headers, body)

    async def _control(self, method: str, path: str, headers: list = (), body: bytes = b""):
        async with _open(
            self._pool, method, self._url + path, list(headers), body, CONTROL_TIMEOUT_S
        ) as response:
            content = b"".join([part async for part in response.aiter_stream()])
            if response.status >= 400:
                raise TargetError(f"{method} {path}: HTTP {response.status}")
        try:
            return json.loads(content) if content else {}
        except ValueError as error:
            raise TargetError(f"{method} {path}: not JSON") from error


async def _sse_parts(response: httpcore.Response) -> AsyncIterator[AnswerPart]:
    pending = b""
    async for data in response.aiter_stream():
        pending += data
        end = pending.rfind(b"\n\n") + 2
        if end < 2:
            continue
        events, pending = pending[:end], pending[end:]
        yield AnswerPart(events, _tokens_in(events), _usage_in(events))
    if pending:
        yield AnswerPart(pending)


def _tokens_in(events: bytes) -> int:
    # Engines send one token an event; chat and plain completions name its text differently.
    return events.count(b'"delta"') or events.count(b'"text"')


def _usage_in(events: bytes) -> Usage | None:
    place = events.rfind(b'"usage":')
    if place < 0:
        return None
    start = events.rfind(b"data: ", 0, place)
    line = events[start + 6 : events.find(b"\n", place)]
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
    """Create the client of a plain service at a base URL."""
    return HttpService(url)


def create_http_engine(url: str) -> EngineClient:
    """Create the client of a model engine at a base URL."""
    return HttpEngine(url)
