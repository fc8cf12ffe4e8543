"""Parses the bytes of a caller's connection as HTTP/1.1 requests, by `httptools`."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import httptools

from guavawalk.connection.http_encoding import Header
from guavawalk.exception import HttpInvalid, RequestError
from guavawalk.version.routes import CallerLimits

__all__ = ["HeadCheck", "ReceivedRequest", "RequestParser", "accept_all"]

# Size of a request and of a header beside their bytes, in memory.
REQUEST_BYTES = 1_024
HEADER_BYTES = 128


class HeadCheck(Protocol):
    """Decides on a request from its head."""

    def __call__(self, target: bytes, headers: Sequence[Header]) -> RequestError | None:
        """Return why the request is refused whatever its body is; None if the body is needed."""
        ...


def accept_all(target: bytes, headers: Sequence[Header]) -> None:
    """Refuse no request."""
    return None


class ReceivedRequest(NamedTuple):
    """A complete request as received.

    Attributes
    ----------
    target : bytes
        Path and query.
    keep_alive : bool
        Whether the connection may stay open for another request.
    refusal : RequestError, optional
        Why the request is refused; its body, which may not have arrived, was discarded then.
    """

    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    keep_alive: bool
    refusal: RequestError | None = None

    @property
    def held_bytes(self) -> int:
        """Size in memory, roughly."""
        return len(self.body) + _head_bytes(self.target, self.headers)


def _head_bytes(target: bytes, headers: Sequence[Header]) -> int:
    texts = sum(len(name) + len(value) for name, value in headers)
    return REQUEST_BYTES + len(target) + texts + HEADER_BYTES * len(headers)


class RequestParser:
    """Callbacks of the `httptools` parser; collects complete requests in `received`.

    Attributes
    ----------
    number : int
        Number of the request that is being received, or was last, from 1 on.
    received_held_bytes, partial_held_bytes : int
        Size in memory of the requests in `received`, and of the one that is being received.
    expected_bytes : int
        Announced size of the latter; 0 if it is not known.
    chunks : int
        Parts of its body that the parser has reported.
    expects_continue : bool
        Whether the caller waits for leave to send the body.
    """

    def __init__(self, limits: CallerLimits, check: HeadCheck) -> None:
        self.limits = limits
        self.received: deque[ReceivedRequest] = deque()
        self.number = 0
        self.is_in_message = False
        self.is_head_complete = False
        self.received_held_bytes = 0
        self.partial_held_bytes = 0
        self.expected_bytes = 0
        self.expects_continue = False
        self.body_bytes = self.chunks = 0
        self.refusal: RequestError | None = None
        self._check = check
        self._head_bytes = 0
        # Bytes received, after the read that began the head, without completing it; later those
        # since the last content of the body.
        self._overhead_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    @property
    def max_held_bytes(self) -> int:
        """Largest size in memory that the request that is being received may reach."""
        head_bytes = self.partial_held_bytes - self.body_bytes + self.limits.head_bytes
        return head_bytes + self.limits.body_bytes

    def feed(self, data: bytes) -> None:
        """Parse some bytes.

        Raises
        ------
        HttpInvalid
            If they are no valid request, or a request exceeds a limit.
        """
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
            if self.refusal is not None:
                self._end_refused()

    def drop(self) -> None:
        """Discard what has arrived of an incomplete request; no more can be fed."""
        self._headers, self._body = [], bytearray()
        self.partial_held_bytes = self.expected_bytes = 0

    def close(self) -> None:
        """Discard all requests; no more can be fed.

        `httptools` refers to this object, so that without this call only the cyclic garbage
        collector frees what was received, and memory grows until it runs.
        """
        self.drop()
        self.received.clear()
        self.received_held_bytes = 0
        del self._parser

    def _end_refused(self) -> None:
        """Hand out a refused request before its body has arrived; the connection then closes."""
        self._append(ReceivedRequest(*self._head(), b"", False, self.refusal))
        self.drop()
        raise HttpInvalid(400, "requests behind an incomplete one are not read")

    def _head(self) -> tuple[str, bytes, Sequence[Header]]:
        return self._parser.get_method().decode("ascii"), self._target, self._headers

    def _append(self, request: ReceivedRequest) -> None:
        self.received.append(request)
        self.received_held_bytes += request.held_bytes

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        self.partial_held_bytes += size
        self._check_head_bytes(self._head_bytes)

    def _check_head_bytes(self, size: int) -> None:
        if size > self.limits.head_bytes:
            raise HttpInvalid(431, f"the head is over {self.limits.head_bytes} bytes")

    def on_message_begin(self) -> None:
        """Called by `httptools` at the first byte of a request, the others at its parts."""
        self.number += 1
        self.is_in_message = True
        self.is_head_complete = False
        self._head_bytes = self.body_bytes = self._overhead_bytes = self.chunks = 0
        self.partial_held_bytes = REQUEST_BYTES
        self.expected_bytes = 0
        self.expects_continue = False
        self.refusal = None
        self._target = b""
        self._headers: list[Header] = []
        self._body = bytearray()

    def on_url(self, part: bytes) -> None:
        """Collect a part of the target."""
        self._target += part
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, or count a trailer."""
        if not self.is_head_complete:
            # Trailers are counted, and discarded: they must not replace headers.
            self._headers.append((name, value))
            self.partial_held_bytes += HEADER_BYTES
        self._count_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Judge a request by its head, before a byte of its body is kept."""
        self.is_head_complete = True
        self._overhead_bytes = 0
        has_body = False
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                size = int(value)
                self._check_body_bytes(size)
                self.expected_bytes = self.partial_held_bytes + size
                has_body = size > 0
            elif lower == b"transfer-encoding":
                has_body = True
            elif lower == b"expect":
                self.expects_continue = value.strip().lower() == b"100-continue"
        if has_body:
            self.refusal = self._check(self._target, self._headers)

    def _check_body_bytes(self, size: int) -> None:
        if size > self.limits.body_bytes:
            raise HttpInvalid(413, f"the body is over {self.limits.body_bytes} bytes")

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body, unless the request is refused."""
        self._overhead_bytes = 0
        self.expects_continue = False
        self.chunks += 1
        self.body_bytes += len(part)
        self._check_body_bytes(self.body_bytes)
        if self.refusal is None:
            self._body += part
            self.partial_held_bytes += len(part)

    def on_message_complete(self) -> None:
        """Add the request to `received`."""
        self.is_in_message = False
        parser = self._parser
        keep_alive = parser.should_keep_alive() and parser.get_http_version() == "1.1"
        head, body = self._head(), bytes(self._body)
        self.drop()
        self._append(ReceivedRequest(*head, body, keep_alive, self.refusal))
