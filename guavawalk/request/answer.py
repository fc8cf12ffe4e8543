"""Buffers the bytes of one answer, so that a reader whose link broke can resume at an offset."""

import anyio

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError

__all__ = ["Answer", "create_answer"]


class Answer:
    """A growing answer that any number of readers read from offsets of their own.

    Attributes
    ----------
    max_bytes : int
        Largest body that is accepted.
    status : int
        HTTP status; 0 before the start.
    headers : tuple of str
        Names and values, alternating.
    started, ended : bool
        Whether the status is set, and whether the body is complete.
    dropped : bool
        Whether the bytes were discarded and can no longer be read.

    Notes
    -----
    A read returns all bytes after its offset at once, so a slow reader gets few large messages.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.status = 0
        self.headers: tuple[str, ...] = ()
        self.started = False
        self.ended = False
        self.dropped = False
        self._data = bytearray()
        self._changed = anyio.Event()

    @property
    def length(self) -> int:
        """Number of bytes in the buffer; 0 after `drop`."""
        return len(self._data)

    def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Set the status and headers."""
        self.status = status
        self.headers = headers
        self.started = True
        self._notify_readers()

    def append(self, data: bytes) -> None:
        """Append bytes to the body.

        Raises
        ------
        RequestError
            `ANSWER_TOO_LARGE` if the body would exceed `max_bytes`; nothing is appended then.
        """
        if len(self._data) + len(data) > self.max_bytes:
            raise RequestError(ResultCode.ANSWER_TOO_LARGE)
        self._data += data
        self._notify_readers()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._notify_readers()

    def drop(self) -> None:
        """Discard the bytes to free memory, once no reader needs them."""
        self.dropped = True
        self._data = bytearray()
        self._notify_readers()

    def read_from(self, offset: int) -> bytes:
        """Return the buffered bytes from `offset` on; empty if there are none."""
        return bytes(memoryview(self._data)[offset:])

    async def wait_past(self, offset: int, started: bool = True) -> None:
        """Wait until there are bytes past `offset` or the answer has ended.

        Parameters
        ----------
        started : bool
            Whether the reader has seen the start; if not, the start ends the wait too.
        """
        while not self.ended and len(self._data) <= offset and (started or not self.started):
            await self._changed.wait()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def create_answer(max_bytes: int) -> Answer:
    """Create an empty answer of at most `max_bytes`."""
    return Answer(max_bytes)
