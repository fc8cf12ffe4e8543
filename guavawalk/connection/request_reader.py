"""Reads HTTP/1.1 requests from a caller's connection, parsed by `httptools`.

Bytes are received only on demand, so that a slow gateway exerts back pressure on its own callers
only.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream

from guavawalk.connection.http_encoding import Header
from guavawalk.connection.streams import STREAM_ERRORS, has_input
from guavawalk.exception import HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["ReceivedRequest", "RequestReader"]

# Most bytes of one read from a stream: the size of a usual socket buffer.
READ_BYTES = 65_536
# Longest time for a last read after a wait was ended, in seconds; a queue is read at once.
LAST_READ_S = 0.005
# Most requests of one connection that are parsed while an earlier one is answered; later ones
# stay in the socket buffer.
MAX_PARSED_AHEAD = 16


class ReceivedRequest(NamedTuple):
    """A complete request as received.

    Attributes
    ----------
    target : bytes
        Path and query.
    keep_alive : bool
        Whether the connection may stay open for another request.
    """

    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    keep_alive: bool


class _RequestParser:
    """Callbacks of the `httptools` parser; collects complete requests in `received`."""

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits
        self.received: deque[ReceivedRequest] = deque()
        self.is_in_message = False
        self.is_head_complete = False
        self._head_bytes = 0
        self._body_bytes = 0
        # Bytes received, after the read that began the head, without completing it; later those
        # since the last content of the body.
        self._overhead_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        if self.is_in_message:
            self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpInvalid(400, "upgrades are not supported") from error
        except httptools.HttpParserCallbackError as error:
            # The context is the `HttpInvalid` that a callback raised.
            raise error.__context__ or error from None
        except httptools.HttpParserError as error:
            raise HttpInvalid(400, str(error)) from error
        # The parser makes no callback for an incomplete line of the head, for chunk extensions and
        # for lines of trailers; without this check, endless ones would never reach the limit.
        if self.is_in_message:
            self._check_head_bytes(self._overhead_bytes)

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        self._check_head_bytes(self._head_bytes)

    def _check_head_bytes(self, size: int) -> None:
        if size > self.limits.head_bytes:
            raise HttpInvalid(431, f"the head is over {self.limits.head_bytes} bytes")

    def on_message_begin(self) -> None:
        self.is_in_message = True
        self.is_head_complete = False
        self._head_bytes = self._body_bytes = self._overhead_bytes = 0
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_head_complete:
            # Trailers are counted, and discarded: they must not replace headers.
            self._headers.append((name, value))
        self._count_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.is_head_complete = True
        self._overhead_bytes = 0

    def on_body(self, part: bytes) -> None:
        self._overhead_bytes = 0
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.body_bytes:
            raise HttpInvalid(413, f"the body is over {self.limits.body_bytes} bytes")
        self._body.append(part)

    def on_message_complete(self) -> None:
        self.is_in_message = False
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
    """Reader of the requests on one caller's connection, in order."""

    def __init__(self, stream: ByteStream, limits: CallerLimits) -> None:
        self._stream = stream
        self._parser = _RequestParser(limits)
        self._failure: HttpInvalid | None = None

    def is_receiving(self) -> bool:
        """Return whether a part of the next request has been read."""
        return self._parser.is_in_message or bool(self._parser.received)

    def has_arrived(self) -> bool:
        """Return whether a part of the next request has been read, or waits to be read.

        While the process is short of processor time, a request may have waited for long.
        """
        return self.is_receiving() or has_input(self._stream)

    async def look_again(self) -> bool:
        """Return whether a part of the next request has arrived, once a wait for it was ended.

        Notes
        -----
        Of bytes that a stream has read ahead, unlike `TcpStream`, nothing but a further read tells.
        """
        with anyio.move_on_after(LAST_READ_S):
            if not self.is_receiving():
                await self._receive()
        return self.has_arrived()

    async def next(self, limits: CallerLimits) -> ReceivedRequest | None:
        """Return the next request; None if the caller closes or sends none in the idle timeout.

        Parameters
        ----------
        limits : CallerLimits
            Limits in force now; they hold for all bytes that arrive before the next call.

        Raises
        ------
        HttpInvalid
            If the bytes are no valid request, or the request exceeds a limit or arrives too slowly.
        """
        parser = self._parser
        parser.limits = limits
        while not parser.received:
            if self._failure is not None:
                raise self._failure
            wait_s = limits.idle_timeout_s
            if parser.is_in_message and not parser.is_head_complete:
                wait_s = limits.head_timeout_s
            with anyio.move_on_after(wait_s):
                if not await self._receive():
                    return None
                continue
            if not parser.is_in_message:
                return None
            raise HttpInvalid(408, "the request did not arrive whole in time")
        return parser.received.popleft()

    async def wait_closed(self) -> None:
        """Return once the caller closes; requests that arrive meanwhile are kept for `next`.

        After an invalid request, or `MAX_PARSED_AHEAD` requests, it reads no more and waits until
        it is cancelled.
        """
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
