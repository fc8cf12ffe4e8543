"""The bytes of one answer, held so that a broken link can be resumed."""

import anyio

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError

__all__ = ["Answer", "create_answer"]


class Answer:
    """An answer as it grows; readers take it from any offset.

    Notes
    -----
    Chunks are kept as they came and joined when read, so a slow reader gets few large messages.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.status = 0
        self.headers: tuple[str, ...] = ()
        self.started = False
        self.ended = False
        self.dropped = False
        self._data = bytearray()
        self._grown = anyio.Event()

    @property
    def length(self) -> int:
        """Bytes so far."""
        return len(self._data)

    def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Set the status line and headers."""
        self.status = status
        self.headers = headers
        self.started = True
        self._wake()

    def append(self, data: bytes) -> None:
        """Add bytes at the end.

        Raises
        ------
        RequestError
            `ANSWER_TOO_LARGE` if it would pass `max_bytes`.
        """
        if len(self._data) + len(data) > self.max_bytes:
            raise RequestError(ResultCode.ANSWER_TOO_LARGE)
        self._data += data
        self._wake()

    def end(self) -> None:
        """Say that no more bytes will come."""
        self.ended = True
        self._wake()

    def drop(self) -> None:
        """Forget the bytes; a reader must be told so."""
        self.dropped = True
        self._data = bytearray()
        self._wake()

    def read_from(self, offset: int) -> bytes:
        """Return the bytes from `offset` on that are there now."""
        return bytes(memoryview(self._data)[offset:])

    async def wait_past(self, offset: int, started: bool = True) -> None:
        """Wait until there are bytes past `offset`, or the start if it was not seen, or the end."""
        while not self.ended and len(self._data) <= offset and (started or not self.started):
            await self._grown.wait()

    def _wake(self) -> None:
        self._grown.set()
        self._grown = anyio.Event()


def create_answer(max_bytes: int) -> Answer:
    """Create an empty answer that takes up to `max_bytes`."""
    return Answer(max_bytes)
