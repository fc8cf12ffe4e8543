"""The answer to one request, written to its caller's connection."""

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
    """Writes one answer, whole or part by part.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection takes another request after a whole answer.
    has_begun : bool
        Whether part of the answer was sent.
    is_complete : bool
        Whether all of it was sent.
    status : int
        Status sent; 0 before any.
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
        """Send an answer with its length."""
        self.status = status
        self.has_begun = True
        await self._send(encode_response(status, self._with_close(headers), body))
        self.is_complete = True

    async def begin(self, status: int, headers: Sequence[Header], first: bytes) -> None:
        """Send the head of an answer whose end isn't known, and the first part of its body."""
        self.status = status
        self.has_begun = True
        head = encode_response_head(status, self._with_close(headers), CHUNKED)
        await self._send(head + encode_chunk(first) if first else head)

    async def send_part(self, part: bytes) -> None:
        """Send a further part."""
        await self._send(encode_chunk(part))

    async def finish(self) -> None:
        """Tell that the answer is whole."""
        await self._send(LAST_CHUNK)
        self.is_complete = True

    def _with_close(self, headers: Sequence[Header]) -> Sequence[Header]:
        return headers if self.keep_alive else (*headers, CLOSE)

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except STREAM_ERRORS as error:
            raise CallerGone(type(error).__name__) from error
