"""The task of a connection that fetches small pages: readiness, metrics, routes and targets."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.request_parser import ReceivedRequest
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.streams import close_stream, enable_dead_peer_detection
from guavawalk.exception import CallerGone, HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["PageAnswer", "PageConnections", "create_page_connections", "serve_pages"]

# Pages are fetched without a body; heads are as large as those of other callers.
PAGE_LIMITS = CallerLimits(body_bytes=4 * 1024)
# Most connections at one address. The descriptors that callers leave include those of three.
MAX_CONNECTIONS = 48
NOT_FOUND_STATUS = 404
# Longest time to send a page, in seconds; the largest ones have some MB.
SEND_TIMEOUT_S = 10.0


class PageAnswer(NamedTuple):
    """An HTTP status and a body; the body is empty if there is none."""

    status: int
    body: bytes = b""


class PageConnections:
    """The open connections at one address; if they are many, the longest idle one closes."""

    def __init__(self) -> None:
        self._scopes: dict[anyio.CancelScope, None] = {}

    @contextmanager
    def connection(self) -> Iterator[Callable[[], None]]:
        """Serve a connection within the block, until another one replaces it.

        The block gets a function to call after each request.
        """
        with anyio.CancelScope() as scope:
            if len(self._scopes) >= MAX_CONNECTIONS:
                longest_idle = next(iter(self._scopes))
                del self._scopes[longest_idle]
                longest_idle.cancel()
            self._scopes[scope] = None
            try:
                yield partial(self._use, scope)
            finally:
                self._scopes.pop(scope, None)

    def _use(self, scope: anyio.CancelScope) -> None:
        if scope in self._scopes:
            del self._scopes[scope]
            self._scopes[scope] = None


def create_page_connections() -> PageConnections:
    """Create a record of connections that has none."""
    return PageConnections()


async def serve_pages(
    pages: dict[bytes, Callable[[], PageAnswer]],
    stream: ByteStream,
    connections: PageConnections | None = None,
) -> None:
    """Serve a fixed set of pages on one connection until it closes.

    Parameters
    ----------
    pages : dict
        Functions that create the pages, by path. Any other path is answered with status 404.
    connections : PageConnections, optional
        Connections at the same address; by default their number isn't limited.
    """
    try:
        enable_dead_peer_detection(stream)
        with (
            (connections or PageConnections()).connection() as use,
            closing(RequestReader(stream, PAGE_LIMITS)) as reader,
        ):
            while (request := await reader.next(PAGE_LIMITS)) is not None:
                use()
                if not await _answer(pages, stream, request):
                    break
    except (CallerGone, HttpInvalid, anyio.ClosedResourceError, OSError):
        # No error is answered: the client sees the closed connection and repeats its request.
        return
    finally:
        await close_stream(stream)


async def _answer(
    pages: dict[bytes, Callable[[], PageAnswer]], stream: ByteStream, request: ReceivedRequest
) -> bool:
    """Send a page; return whether the connection stays open."""
    create_page = pages.get(request.target.partition(b"?")[0])
    page = PageAnswer(NOT_FOUND_STATUS) if create_page is None else create_page()
    answer = CallerAnswer(stream, partial(bool, request.keep_alive))
    answer.deadline_s = anyio.current_time() + SEND_TIMEOUT_S
    await answer.send_complete(page.status, (), page.body)
    return answer.keep_alive
