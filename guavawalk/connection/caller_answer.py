"""Writes the answer to one HTTP/1.1 request on its caller's connection."""

from collections.abc import Sequence

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


class CallerAnswer:
    """Writer of one answer, either complete or in chunks.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open for another request after a complete answer.
    has_begun : bool
        Whether sending the answer has begun.
    is_complete : bool
        Whether all of the answer has been sent.
    status : int
        HTTP status sent; 0 before the answer begins.
    """

    def __init__(self, stream: ByteStream, keep_alive: bool) -> None:
        self._stream = stream
        self.keep_alive = keep_alive
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
            If the connection is broken; the other methods that send raise it too.
        """
        self.status = status
        self.has_begun = True
        await self._send(encode_response(status, self._with_close(headers), body))
        self.is_complete = True

    async def begin(self, status: int, headers: Sequence[Header], first_part: bytes) -> None:
        """Send the head of a chunked answer and the first part of its body, if not empty."""
        self.status = status
        self.has_begun = True
        head = encode_response_head(status, self._with_close(headers), CHUNKED)
        await self._send(head + encode_chunk(first_part) if first_part else head)

    async def send_part(self, part: bytes) -> None:
        """Send a further part of the body as one chunk; it must not be empty, which ends a body."""
        await self._send(encode_chunk(part))

    async def finish(self) -> None:
        """Send the last chunk, which marks the answer as complete."""
        await self._send(LAST_CHUNK)
        self.is_complete = True

    def _with_close(self, headers: Sequence[Header]) -> Sequence[Header]:
        return headers if self.keep_alive else (*headers, CLOSE)

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except STREAM_ERRORS as error:
            raise CallerGone(type(error).__name__) from error
