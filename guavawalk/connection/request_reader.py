"""Requests of HTTP/1.1 on a caller's connection, parsed by `httptools`.

The reader pulls bytes from the stream when a request is asked for, so that a slow gateway holds up
its own callers only.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream

from guavawalk.connection.http_encoding import Header
from guavawalk.connection.streams import STREAM_ERRORS
from guavawalk.exception import HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["ReceivedRequest", "RequestReader"]

# One read of a stream, in bytes: a usual socket buffer.
READ_BYTES = 65_536
# Requests of one connection that are parsed ahead of the one being answered; more are left unread.
MAX_PARSED_AHEAD = 16


class ReceivedRequest(NamedTuple):
    """A whole request as a caller sent it.

    Attributes
    ----------
    target : bytes
        Path and query.
    keep_alive : bool
        Whether the caller leaves the connection open.
    """

    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    keep_alive: bool


class _RequestParser:
    """Callbacks of `httptools`; collects requests until they are taken."""

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits
        self.received: deque[ReceivedRequest] = deque()
        self.is_inside = False
        self.is_head_whole = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        continues_head = self.is_inside and not self.is_head_whole
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpInvalid(400, "upgrades are not supported") from error
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None
        except httptools.HttpParserError as error:
            raise HttpInvalid(400, str(error)) from error
        if continues_head and not self.is_head_whole:
            # A long line of a head that hasn't ended is told by no callback yet.
            self._count_head(len(data))

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.head_bytes:
            raise HttpInvalid(431, f"the head is over {self.limits.head_bytes} bytes")

    def on_message_begin(self) -> None:
        self.is_inside = True
        self.is_head_whole = False
        self._head_bytes = self._body_bytes = 0
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.is_head_whole = True

    def on_body(self, part: bytes) -> None:
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.body_bytes:
            raise HttpInvalid(413, f"the body is over {self.limits.body_bytes} bytes")
        self._body.append(part)

    def on_message_complete(self) -> None:
        self.is_inside = False
        parser = self._parser
        self.received.append(
            ReceivedRequest(
                parser.get_method().decode("ascii"),
                self._target,
                self._headers,
                b"".join(self._body),
                parser.should_keep_alive() and parser.get_http_version() == "1.1",
            )
        )


class RequestReader:
    """The requests of one caller's connection, in order."""

    def __init__(self, stream: ByteStream, limits: CallerLimits) -> None:
        self._stream = stream
        self._parser = _RequestParser(limits)
        self._failure: HttpInvalid | None = None

    async def next(self, limits: CallerLimits) -> ReceivedRequest | None:
        """Return the next request; None when the caller has closed or stayed idle too long.

        Raises
        ------
        HttpInvalid
            For what is no request, one over the limits, or one that comes too slowly.
        """
        parser = self._parser
        parser.limits = limits
        while not parser.received:
            if self._failure is not None:
                raise self._failure
            wait_s = limits.idle_timeout_s
            if parser.is_inside and not parser.is_head_whole:
                wait_s = limits.head_timeout_s
            with anyio.move_on_after(wait_s):
                if not await self._receive():
                    return None
                continue
            if not parser.is_inside:
                return None
            raise HttpInvalid(408, "the request did not arrive whole in time")
        return parser.received.popleft()

    async def wait_closed(self) -> None:
        """Return when the caller closes; requests that come meanwhile are kept for `next`."""
        while self._failure is None and len(self._parser.received) < MAX_PARSED_AHEAD:
            if not await self._receive():
                return
        await anyio.sleep_forever()

    async def _receive(self) -> bool:
        try:
            data = await self._stream.receive(READ_BYTES)
        except (anyio.EndOfStream, *STREAM_ERRORS):
            return False
        try:
            self._parser.feed(data)
        except HttpInvalid as error:
            self._failure = error
        return True
