"""HTTP/1.1 messages on a byte stream, parsed by `httptools`.

Readers pull bytes from the stream when a message is asked for, so that a slow reader holds up its
own sender only.
"""

from collections import deque
from collections.abc import Sequence
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream

from guavawalk.exception import HttpInvalid, TargetLost
from guavawalk.version.routes import CallerLimits

__all__ = [
    "LAST_CHUNK",
    "BodyFraming",
    "Header",
    "ReceivedRequest",
    "RequestReader",
    "ResponseHead",
    "ResponseReader",
    "encode_chunk",
    "encode_request",
    "encode_response",
    "encode_response_head",
]

Header = tuple[bytes, bytes]

# One read of a stream, in bytes: a usual socket buffer.
READ_BYTES = 65_536
# Requests of one connection that are parsed ahead of the one being answered; more are left unread.
MAX_PARSED_AHEAD = 16
LAST_CHUNK = b"0\r\n\r\n"
_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
_BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


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

    @property
    def has_begun(self) -> bool:
        """Whether part of a request has been read that hasn't been taken."""
        return bool(self._parser.received) or self._parser.is_inside

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
        except (anyio.EndOfStream, *_BROKEN):
            return False
        try:
            self._parser.feed(data)
        except HttpInvalid as error:
            self._failure = error
        return True


class BodyFraming(Enum):
    """How the end of an answer's body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"
    NONE = "none"


class ResponseHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Sequence[Header]
    framing: BodyFraming
    keep_alive: bool


class ResponseReader:
    """The answers on one connection to a target.

    Attributes
    ----------
    is_complete : bool
        Whether the answer that was begun last has arrived whole.
    is_spoilt : bool
        Whether bytes came that belong to no answer asked for; the connection must be closed.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._heads: deque[ResponseHead] = deque()
        self._parts: list[bytes] = []
        self._framing = BodyFraming.NONE
        self.is_complete = True
        self.is_spoilt = False

    async def head(self) -> ResponseHead:
        """Return the head of the next answer.

        Raises
        ------
        TargetLost
            If the connection ends, or carries what is no answer.
        """
        self._parts.clear()
        while not self._heads:
            if not await self._receive():
                raise TargetLost("closed before an answer")
        return self._heads.popleft()

    async def part(self) -> bytes:
        """Return what has come of the body since the last call; empty at its end.

        Raises
        ------
        TargetLost
            If the connection ends before the body does.
        """
        while not self._parts:
            if self.is_complete:
                return b""
            if not await self._receive():
                if self._framing is not BodyFraming.UNTIL_CLOSE:
                    raise TargetLost("closed before the end of the answer")
                self.is_complete = True
        if len(self._parts) == 1:
            return self._parts.pop()
        whole = b"".join(self._parts)
        self._parts.clear()
        return whole

    async def _receive(self) -> bool:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return False
        except _BROKEN as error:
            raise TargetLost(f"broken: {type(error.__cause__ or error).__name__}") from error
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise TargetLost("an upgrade that was not asked for") from error
        except httptools.HttpParserError as error:
            self.is_spoilt = True
            if not self.is_complete or not self._heads:
                raise TargetLost(f"not HTTP: {error}") from error
        return True

    def on_message_begin(self) -> None:
        """Begin an answer; one that comes while another waits to be read is surplus."""
        if self._heads:
            self.is_spoilt = True
        self._headers: list[Header] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Tell the head to whoever waits for it."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if self.is_spoilt:
            return
        self._framing = _framing(status, self._headers)
        self.is_complete = False
        keep_alive = self._parser.should_keep_alive()
        self._heads.append(ResponseHead(status, self._headers, self._framing, keep_alive))

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        if not self.is_spoilt:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._parser.get_status_code() >= 200:
            self.is_complete = True


def _framing(status: int, headers: Sequence[Header]) -> BodyFraming:
    if status in _BODILESS:
        return BodyFraming.NONE
    names = {name.lower(): value for name, value in headers}
    if b"chunked" in names.get(b"transfer-encoding", b"").lower():
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in names else BodyFraming.UNTIL_CLOSE


def encode_request(
    method: str, target: bytes, headers: Sequence[Header], body: bytes = b""
) -> bytes:
    """Return a request's bytes; a body goes with its length."""
    parts = [method.encode("ascii"), b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in ("POST", "PUT", "PATCH"):
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response_head(status: int, headers: Sequence[Header], framing: Header | None) -> bytes:
    """Return the bytes of a status line and headers.

    Parameters
    ----------
    framing : tuple of bytes, optional
        The header that tells where the body ends.
    """
    try:
        reason = HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        reason = b"Unknown"
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    for name, value in (*headers, *((framing,) if framing else ())):
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_response(status: int, headers: Sequence[Header], body: bytes = b"") -> bytes:
    """Return a whole answer's bytes."""
    length = (b"Content-Length", b"%d" % len(body))
    return encode_response_head(status, headers, length) + body


def encode_chunk(part: bytes) -> bytes:
    """Return a part of a body as one chunk."""
    return b"%x\r\n%s\r\n" % (len(part), part)
