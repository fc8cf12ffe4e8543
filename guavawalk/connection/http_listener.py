"""HTTP/1.1 protocol for uvicorn that answers unreadable requests with result codes."""

import json
import sys
from collections.abc import Callable

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from guavawalk.codes import ResultCode, describe_code
from guavawalk.connection.http_answer import error_body
from guavawalk.request.types import Outcome

__all__ = ["HEAD_TIMEOUT_S", "create_h11_protocol"]

# Longest time, in seconds, for a request head to arrive completely.
HEAD_TIMEOUT_S = 10.0
HEADERS_TOO_LARGE_STATUS = 431

RejectionHandler = Callable[[ResultCode], None]


def create_h11_protocol(
    on_rejected: RejectionHandler, head_timeout_s: float = HEAD_TIMEOUT_S
) -> type[H11Protocol]:
    """Create a protocol class for `uvicorn.Config(http=…)`.

    Parameters
    ----------
    on_rejected : callable
        Called with the result code of each connection that is closed for an unreadable, too large
        or too slow request head.
    head_timeout_s : float
        Longest time, in seconds, for a request head to arrive completely, counted from the
        connection's start or from the first bytes of a further request. An idle connection
        between requests is not limited by it.
    """

    class RejectingH11Protocol(H11Protocol):
        """Answers unreadable or slow request heads with a result code and closes the connection."""

        _head_timer = None

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            self._arm_head_timer()

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if self.conn.their_state is h11.IDLE and self.conn.trailing_data[0]:
                self._arm_head_timer()
            else:
                self._disarm_head_timer()

        def connection_lost(self, exc: Exception | None) -> None:
            self._disarm_head_timer()
            super().connection_lost(exc)

        def send_400_response(self, msg: str) -> None:
            # uvicorn calls this while it handles the exception from h11, which holds the status.
            status = getattr(sys.exc_info()[1], "error_status_hint", 400)
            too_large = status == HEADERS_TOO_LARGE_STATUS
            code = ResultCode.HEADERS_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
            self._reject(code)

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

        def _reject(self, code: ResultCode) -> None:
            on_rejected(code)
            if not self.transport.is_closing():
                self.transport.write(encode_rejection(code))
                self.transport.close()

    return RejectingH11Protocol


def encode_rejection(code: ResultCode) -> bytes:
    """Return a complete HTTP response that reports a code and closes the connection."""
    info = describe_code(code)
    body = json.dumps(error_body(Outcome(code))).encode()
    head = (
        f"HTTP/1.1 {info.http_status} {code.name}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        f"x-guavawalk-code: {int(code)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
