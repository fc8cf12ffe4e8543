"""HTTP/1.1 protocol for uvicorn that answers unreadable requests with result codes.

A body is read piece by piece, each once the application asks for more, so that neither memory nor
the time of one parse depends on what a caller sends.
"""

import asyncio
import json
import sys
from collections import deque
from collections.abc import Callable

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from guavawalk.codes import ResultCode, describe_code
from guavawalk.connection.bounded_reads import create_bounded_reads
from guavawalk.connection.http_answer import error_body
from guavawalk.request.types import Outcome

__all__ = ["HEAD_TIMEOUT_S", "MAX_CONNECTIONS", "create_h11_protocol"]

# Longest time, in seconds, for a request head to arrive completely.
HEAD_TIMEOUT_S = 10.0
HEADERS_TOO_LARGE_STATUS = 431
# Most connections at one address. A usual limit on descriptors is 1,024, and callers that reuse
# connections have far fewer.
MAX_CONNECTIONS = 512
# A request without new bytes for this time, in seconds, is ended for a new connection if all are in
# use.
STALLED_S = 2.0
# Time and bytes for which the rest of a refused request is read and discarded after its answer.
# Closing with unread bytes would reset the connection, and the caller could lose the answer.
LINGER_S = 1.0
LINGER_BYTES = 16 * 1024 * 1024
# Most bytes of one read: of a head or a body of small chunks, of another body, and of bytes that
# are discarded. The parser is written in Python, and parses a chunk in microseconds.
SHORT_READ_BYTES = 4_096
BODY_READ_BYTES = 16_384
DISCARD_READ_BYTES = 65_536
# Bytes behind a request from which on no more are read while it runs. uvicorn reads on whenever the
# application awaits the caller's next message or its end, and the parser keeps what it gets.
MAX_AHEAD_BYTES = 4_096
# Most new connections that wait for another to end, and for how long, in seconds. A caller that
# leaves during its request is noticed only when the request ends.
MAX_HELD_CONNECTIONS = 64
HOLD_S = 1.0
# Time after which a caller may retry a request that gave way to a new connection, in milliseconds.
REPLACED_RETRY_MS = 1_000

RejectionHandler = Callable[[ResultCode], None]
# Creates the protocol of a connection, as uvicorn calls it.
ProtocolFactory = Callable[..., asyncio.BaseProtocol]


class _LingeringTransport:
    """A transport that may first close its sending side only."""

    def __init__(self, transport: asyncio.Transport, must_linger: Callable[[], bool]) -> None:
        self._transport = transport
        self._must_linger = must_linger
        self._left_bytes = LINGER_BYTES
        self.is_lingering = False

    def __getattr__(self, name: str) -> object:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        return self.is_lingering or self._transport.is_closing()

    def close(self) -> None:
        if self.is_closing() or not self._must_linger():
            self._transport.close()
            return
        self.is_lingering = True
        self._transport.write_eof()
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def write(self, data: bytes) -> None:
        """Send bytes; without effect while lingering."""
        if not self.is_lingering:
            self._transport.write(data)

    def discard(self, data: bytes) -> None:
        """Count bytes that are received while lingering; too many close the connection."""
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self._transport.close()


class _BoundedFlow(FlowControl):
    """Flow control that doesn't read on while enough waits behind the running request."""

    def __init__(self, transport: asyncio.Transport, ahead_bytes: Callable[[], int]) -> None:
        super().__init__(transport)
        self._ahead_bytes = ahead_bytes

    def resume_reading(self) -> None:
        if self._ahead_bytes() < MAX_AHEAD_BYTES:
            super().resume_reading()


def create_h11_protocol(
    on_rejected: RejectionHandler,
    head_timeout_s: float = HEAD_TIMEOUT_S,
    max_connections: int = MAX_CONNECTIONS,
) -> ProtocolFactory:
    """Create a protocol factory for `uvicorn.Config(http=…)`.

    Parameters
    ----------
    on_rejected : callable
        Called with the result code of each connection that is closed for an unreadable, too large
        or too slow request head.
    head_timeout_s : float
        Longest time, in seconds, for a request head to arrive completely, counted from the
        connection's start or from the first bytes of a further request. An idle connection
        between requests is not limited by it.
    max_connections : int
        Most connections; beyond, a new one replaces an idle one or one that makes no progress. If
        there is none, up to `MAX_HELD_CONNECTIONS` wait for a connection to end; others are closed.
    """
    held: deque[H11Protocol] = deque()

    class RejectingH11Protocol(H11Protocol):
        """Answers unreadable or slow request heads with a result code and closes the connection."""

        _head_timer = None
        _hold_timer = None
        _held_data = b""
        _received_s = 0.0
        _is_dense = False

        def connection_made(self, transport) -> None:
            transport = _LingeringTransport(transport, self._has_unread_input)
            super().connection_made(transport)
            self.flow = _BoundedFlow(transport, self._ahead_bytes)
            self._received_s = self.loop.time()
            if len(self.connections) - len(held) > max_connections and not self._replace_other():
                if len(held) < MAX_HELD_CONNECTIONS:
                    self._hold()
                else:
                    transport.abort()
                return
            self._arm_head_timer()

        def data_received(self, data: bytes) -> None:
            if self.transport.is_lingering:
                self.transport.discard(data)
                return
            if self in held:
                self._held_data += data
                self.flow.pause_reading()
                return
            self._received_s = self.loop.time()
            cycle, size = self.cycle, len(self.cycle.body) if self.cycle else 0
            super().data_received(data)
            if self._is_in_body() and not self.transport.is_closing():
                grown = len(self.cycle.body) - (size if self.cycle is cycle else 0)
                self._is_dense = grown >= len(data) // 2
                self.flow.pause_reading()
            if self.conn.their_state is h11.IDLE and self.conn.trailing_data[0]:
                self._arm_head_timer()
            else:
                self._disarm_head_timer()

        def read_bytes(self) -> int:
            """Return the most bytes of the next read."""
            if self.transport.is_lingering:
                return DISCARD_READ_BYTES
            return BODY_READ_BYTES if self._is_in_body() and self._is_dense else SHORT_READ_BYTES

        def on_response_complete(self) -> None:
            if self.conn.their_state is h11.SEND_BODY and not self.transport.is_closing():
                # The rest of a refused body, which may have no end, is not parsed.
                self.transport.close()
            super().on_response_complete()
            if held and self.is_idle():
                self.transport.close()
            # The next request has been taken from what waited, if it has arrived as a whole.
            if not self.transport.is_closing():
                self.flow.resume_reading()

        def connection_lost(self, exc: Exception | None) -> None:
            self._disarm_head_timer()
            if self in held:
                self._end_hold()
            super().connection_lost(exc)
            if held and len(self.connections) - len(held) < max_connections:
                held[0]._serve_held()

        def send_400_response(self, msg: str) -> None:
            # uvicorn calls this while it handles the exception from h11, which holds the status.
            status = getattr(sys.exc_info()[1], "error_status_hint", 400)
            too_large = status == HEADERS_TOO_LARGE_STATUS
            code = ResultCode.HEADERS_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
            self._reject(code)

        def _ahead_bytes(self) -> int:
            is_received = self.conn.their_state is h11.DONE
            return len(self.conn.trailing_data[0]) if is_received else 0

        def _has_unread_input(self) -> bool:
            return self.conn.their_state in (h11.SEND_BODY, h11.ERROR)

        def _is_in_body(self) -> bool:
            return (
                self.conn.their_state is h11.SEND_BODY and self.conn.our_state is h11.SEND_RESPONSE
            )

        def _replace_other(self) -> bool:
            """End the longest idle connection, else one whose request makes no progress.

            Without these, one ends whose body waits to be read.
            """
            others = [other for other in self.connections if other is not self]
            idle = [other for other in others if other.is_idle()]
            since_s = self.loop.time() - STALLED_S
            stalled = [other for other in others if other.is_stalled(since_s)]
            waiting = [other for other in others if other.is_waiting()]
            candidates = idle or stalled or waiting
            ended = min(candidates, key=lambda other: other._received_s, default=None)
            if ended is None:
                return False
            if ended.is_idle():
                ended.transport.close()
            elif ended.is_waiting():
                ended._reject(ResultCode.QUEUE_FULL, REPLACED_RETRY_MS)
            else:
                ended._reject(ResultCode.REQUEST_TIMEOUT)
            return True

        def _hold(self) -> None:
            held.append(self)
            self._hold_timer = self.loop.call_later(HOLD_S, self._hold_timed_out)

        def _end_hold(self) -> None:
            held.remove(self)
            self._hold_timer.cancel()

        def _hold_timed_out(self) -> None:
            self._end_hold()
            self._reject(ResultCode.QUEUE_FULL, REPLACED_RETRY_MS)

        def _serve_held(self) -> None:
            self._end_hold()
            self._arm_head_timer()
            self.flow.resume_reading()
            if self._held_data:
                data, self._held_data = self._held_data, b""
                self.data_received(data)

        def is_idle(self) -> bool:
            """Return whether no request is running, or arriving beyond its head."""
            is_idle = self.conn.their_state is h11.IDLE and not self.transport.is_closing()
            return is_idle and self not in held

        def is_stalled(self, since_s: float) -> bool:
            """Return whether a body is awaited of which nothing has arrived since a time."""
            return (
                self._is_in_body()
                and not self.flow.read_paused
                and not self.transport.is_closing()
                and self._received_s < since_s
            )

        def is_waiting(self) -> bool:
            """Return whether a body is not read on, since the application does not ask for more."""
            return self._is_in_body() and self.flow.read_paused and not self.transport.is_closing()

        def _arm_head_timer(self) -> None:
            if self._head_timer is None:
                self._head_timer = self.loop.call_later(head_timeout_s, self._head_timed_out)

        def _disarm_head_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _head_timed_out(self) -> None:
            self._head_timer = None
            self._reject(ResultCode.REQUEST_TIMEOUT)

        def _reject(self, code: ResultCode, retry_after_ms: int = 0) -> None:
            on_rejected(code)
            if not self.transport.is_closing():
                self.transport.write(encode_rejection(code, retry_after_ms))
                self.transport.close()

    def create(*args, **kwargs) -> asyncio.BaseProtocol:
        return create_bounded_reads(RejectingH11Protocol(*args, **kwargs))

    return create


def encode_rejection(code: ResultCode, retry_after_ms: int = 0) -> bytes:
    """Return a complete HTTP response that reports a code and closes the connection."""
    info = describe_code(code)
    body = json.dumps(error_body(Outcome(code, retry_after_ms=retry_after_ms))).encode()
    head = (
        f"HTTP/1.1 {info.http_status} {code.name}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        f"x-guavawalk-code: {int(code)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
