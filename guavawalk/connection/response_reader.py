"""Reads HTTP/1.1 answers from a connection to a target, parsed by `httptools`."""

from collections import deque
from collections.abc import Sequence
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream

from guavawalk.connection.http_encoding import Header
from guavawalk.connection.streams import STREAM_ERRORS
from guavawalk.exception import AnswerInvalid, AnswerOverLimit, TargetLost

__all__ = ["BodyFraming", "ResponseHead", "ResponseReader"]

# Most bytes of one read from a stream: the size of a usual socket buffer.
READ_BYTES = 65_536
# Most bytes without a complete head and without content of a body: a head with the interim answers
# before it, or chunk sizes, chunk extensions and trailers. The parser discards interim answers,
# extensions and trailers, and keeps headers, whatever their size. A target's own heads have some
# hundred bytes. The limit is checked after each read, so up to `READ_BYTES` more may arrive.
MAX_OVERHEAD_BYTES = 65_536
# Most interim answers before an answer: a target that works on a request for long may send one now
# and then.
MAX_INTERIM_ANSWERS = 32
_BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class BodyFraming(Enum):
    """How the body of an answer is delimited."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"
    NONE = "none"


class ResponseHead(NamedTuple):
    """Status and headers of an answer.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection may stay open for another request.
    """

    status: int
    headers: Sequence[Header]
    framing: BodyFraming
    keep_alive: bool


class _Answer:
    """One answer of which the head has arrived."""

    def __init__(self, head: ResponseHead) -> None:
        self.head = head
        # Content that has arrived and was not returned yet.
        self.parts: list[bytes] = []
        self.is_complete = False
        self.ended_by_close = False


class ResponseReader:
    """Reader of the answers on one connection to a target, in the order of their arrival.

    Attributes
    ----------
    is_request_cut : bool
        Whether the connection broke while the request was being sent. The kernel reports a reset
        only once, to the sender; what the reader sees then looks like an orderly end.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        # Answers whose head was not returned yet.
        self._unread: deque[_Answer] = deque()
        # The answer whose head was returned last, and the one that is arriving.
        self._current: _Answer | None = None
        self._arriving: _Answer | None = None
        self._headers: list[Header] = []
        self._is_in_head = False
        self._is_in_message = False
        self._is_invalid = False
        # Why what arrived last is no answer; empty if it is one.
        self._problem = ""
        self._interim_answers = 0
        self.is_request_cut = False
        # Bytes received since the last head or content of a body.
        self._overhead_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the answer whose head was returned last has arrived completely.

        True before the first.
        """
        return self._current is None or self._current.is_complete

    @property
    def ended_by_close(self) -> bool:
        """Whether only the end of the connection says that the answer is complete."""
        return self._current is not None and self._current.ended_by_close

    @property
    def must_close(self) -> bool:
        """Whether bytes arrived that belong to no requested answer.

        The connection must not be used for another request then. What it says is valid after a
        complete answer.
        """
        return self._is_invalid or self._is_in_message or bool(self._unread)

    async def read_head(self) -> ResponseHead:
        """Return the head of the next answer.

        Raises
        ------
        TargetLost
            If the connection ends, or carries bytes that are no HTTP answer; `AnswerOverLimit` if
            no head is complete within `MAX_OVERHEAD_BYTES`.
        """
        self._current = None
        while not self._unread:
            if not await self._receive():
                raise TargetLost("connection closed before the answer began")
        self._current = self._unread.popleft()
        return self._current.head

    async def read_part(self) -> bytes:
        """Return the next bytes of the body, waiting for some; empty at its end.

        Raises
        ------
        TargetLost
            If the connection ends before the body does; `AnswerOverLimit` if over
            `MAX_OVERHEAD_BYTES` arrive without content.
        """
        answer = self._current
        if answer is None:
            return b""
        while not answer.parts:
            if answer.is_complete:
                return b""
            if not await self._receive():
                if answer.head.framing is not BodyFraming.UNTIL_CLOSE:
                    raise TargetLost("connection closed before the end of the answer")
                if self.is_request_cut:
                    raise AnswerInvalid("connection broken before the end of the answer")
                answer.is_complete = answer.ended_by_close = True
        if len(answer.parts) == 1:
            return answer.parts.pop()
        joined = b"".join(answer.parts)
        answer.parts.clear()
        return joined

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        TargetLost
            If the connection ends before the body does; `AnswerOverLimit` if the rest is over
            `limit_bytes`.
        """
        body = bytearray()
        while part := await self.read_part():
            body += part
            if len(body) > limit_bytes:
                raise AnswerOverLimit(f"the body of the answer is over {limit_bytes} bytes")
        return bytes(body)

    async def _receive(self) -> bool:
        """Receive and parse some bytes; return False at the end of the connection."""
        if self._problem:
            raise AnswerInvalid(self._problem)
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return False
        except STREAM_ERRORS as error:
            cause = error.__cause__ or error
            is_silent = isinstance(cause, TimeoutError)
            raise TargetLost(f"connection broken: {type(cause).__name__}", is_silent) from error
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise TargetLost("the answer announces an upgrade that was not requested") from error
        except httptools.HttpParserError as error:
            self._is_invalid = True
            if not self._has_arrived():
                raise AnswerInvalid(f"the answer is not valid HTTP: {error}") from error
        if self._problem and not self._has_arrived():
            raise AnswerInvalid(self._problem)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._is_invalid = True
            raise AnswerOverLimit(f"over {MAX_OVERHEAD_BYTES} bytes without content")
        return True

    def _reject(self, problem: str) -> None:
        """Take nothing more from the connection, since what arrives is no answer."""
        self._is_invalid = True
        self._problem = self._problem or problem

    def _has_arrived(self) -> bool:
        """Return whether what the caller waits for has arrived: a head, or a part of the body."""
        if self._current is None:
            return bool(self._unread)
        return bool(self._current.parts) or self._current.is_complete

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._is_in_message = True
        self._is_in_head = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the answer; discard a trailer."""
        if self._is_in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the answer for `read_head`; skip interim answers (1xx)."""
        self._is_in_head = False
        status = self._parser.get_status_code()
        if not 100 <= status <= 599 or status == HTTPStatus.SWITCHING_PROTOCOLS:
            self._reject(f"status {status:03} is none of an answer")
        if self._problem:
            return
        if status < 200:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._reject(f"over {MAX_INTERIM_ANSWERS} interim answers")
            return
        self._interim_answers = 0
        framing = _find_framing(status, self._headers)
        keep_alive = self._parser.should_keep_alive()
        self._overhead_bytes = 0
        self._arriving = _Answer(ResponseHead(status, self._headers, framing, keep_alive))
        self._unread.append(self._arriving)

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._overhead_bytes = 0
        if self._arriving is not None:
            self._arriving.parts.append(part)

    def on_message_complete(self) -> None:
        """Mark the answer as complete, unless it is an interim one."""
        self._is_in_message = False
        if self._arriving is not None:
            self._arriving.is_complete = True
            self._arriving = None


def _find_framing(status: int, headers: Sequence[Header]) -> BodyFraming:
    if status in _BODILESS:
        return BodyFraming.NONE
    value_of = {name.lower(): value for name, value in headers}
    if b"chunked" in value_of.get(b"transfer-encoding", b"").lower():
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in value_of else BodyFraming.UNTIL_CLOSE
