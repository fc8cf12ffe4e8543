"""Writes the answer to one HTTP/1.1 request on its caller's connection."""

import math
from collections.abc import Callable, Sequence

import anyio.lowlevel
from anyio.abc import ByteStream

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    Header,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.streams import STREAM_ERRORS
from guavawalk.exception import CallerGone

__all__ = ["CallerAnswer"]

CLOSE = (b"Connection", b"close")
CHUNKED = (b"Transfer-Encoding", b"chunked")

# Time after its deadline for which an answer that is ready is still sent, in seconds.
SEND_MARGIN_S = 0.2


class CallerAnswer:
    """Writer of one answer, either complete or in chunks.

    Parameters
    ----------
    may_keep_alive : callable
        Returns whether the connection may stay open after the answer; called when its head is sent.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open for another request after a complete answer; it is known
        from the head on.
    deadline_s : float
        When the answer should have been sent, on the event loop's clock in seconds; infinite for an
        answer of which a cancellation ends the sending at once.
    has_begun : bool
        Whether a byte of the answer may have been sent.
    is_complete : bool
        Whether all of the answer has been sent.
    status : int
        HTTP status sent; 0 before the answer begins.

    Notes
    -----
    What completes an answer is sent even if the task is cancelled, until `SEND_MARGIN_S` after the
    deadline if the caller reads slowly. A cancellation ends the sending of other parts at once.
    """

    def __init__(self, stream: ByteStream, may_keep_alive: Callable[[], bool]) -> None:
        self._stream = stream
        self._may_keep_alive = may_keep_alive
        self._sending: anyio.CancelScope | None = None
        self.keep_alive = True
        self.deadline_s = math.inf
        self.has_begun = False
        self.is_complete = False
        self.status = 0

    async def send_complete(
        self, status: int, headers: Sequence[Header], body: bytes = b""
    ) -> None:
        """Send a complete answer with its `Content-Length`.

        Raises
        ------
        CallerGone
            If the connection is broken, or the caller doesn't read the answer in time; the other
            methods that send raise it too.
        """
        self.status = status
        self.has_begun = True
        await self._send_last(encode_response(status, self._with_close(headers), body))

    async def begin(self, status: int, headers: Sequence[Header], first_part: bytes) -> None:
        """Send the head of a chunked answer and the first part of its body, if not empty."""
        # A cancellation before the first byte leaves the answer unbegun.
        await anyio.lowlevel.checkpoint_if_cancelled()
        self.status = status
        self.has_begun = True
        head = encode_response_head(status, self._with_close(headers), CHUNKED)
        await self._send(head + encode_chunk(first_part) if first_part else head)

    async def send_part(self, part: bytes) -> None:
        """Send a further part of the body as one chunk; it must not be empty, which ends a body."""
        await self._send(encode_chunk(part))

    async def finish(self) -> None:
        """Send the last chunk, which marks the answer as complete."""
        await self._send_last(LAST_CHUNK)

    def abandon(self) -> None:
        """Stop sending, since the caller has left."""
        if self._sending is not None:
            self._sending.cancel()

    def _with_close(self, headers: Sequence[Header]) -> Sequence[Header]:
        self.keep_alive = self._may_keep_alive()
        return headers if self.keep_alive else (*headers, CLOSE)

    async def _send_last(self, data: bytes) -> None:
        until_s = max(self.deadline_s, anyio.current_time()) + SEND_MARGIN_S
        has_deadline = until_s < math.inf
        with anyio.CancelScope(deadline=until_s, shield=has_deadline) as self._sending:
            await self._send(data)
            self.is_complete = True
        self._sending = None
        if not self.is_complete:
            raise CallerGone("the caller did not read the answer in time")

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except STREAM_ERRORS as error:
            raise CallerGone(type(error).__name__) from error
