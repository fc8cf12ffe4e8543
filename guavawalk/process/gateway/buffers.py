"""Limits the memory of answers that are buffered until they are complete."""

from collections.abc import Iterator
from contextlib import contextmanager

from guavawalk.exception import AnswerOverLimit

__all__ = ["BufferBudget", "BufferedAnswer", "create_buffer_budget"]

# Largest buffered answer, in bytes.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Most bytes of all buffered answers of a process: a share of the memory of the smallest machines
# that leaves room for the process itself.
MAX_TOTAL_BYTES = 32 * 1024 * 1024
# Size up to which an answer may be buffered although all together are over their limit, in bytes:
# targets that send without end use up the limit, and must not fail the small answers of others.
SMALL_ANSWER_BYTES = 64 * 1024


class BufferedAnswer:
    """The bytes received so far of one answer, counted in a `BufferBudget`."""

    def __init__(self, budget: "BufferBudget") -> None:
        self._budget = budget
        self._body = bytearray()

    def append(self, part: bytes) -> None:
        """Add bytes.

        Raises
        ------
        AnswerOverLimit
            If the answer is over `MAX_ANSWER_BYTES`, or it is over `SMALL_ANSWER_BYTES` and all
            answers are over `MAX_TOTAL_BYTES`.
        """
        self._body += part
        self._budget.used_bytes += len(part)
        if len(self._body) > MAX_ANSWER_BYTES:
            raise AnswerOverLimit(f"the body of the answer is over {MAX_ANSWER_BYTES} bytes")
        if self._budget.used_bytes > MAX_TOTAL_BYTES and len(self._body) > SMALL_ANSWER_BYTES:
            raise AnswerOverLimit(f"all buffered answers are over {MAX_TOTAL_BYTES} bytes")

    def __len__(self) -> int:
        """Return the number of bytes received."""
        return len(self._body)

    def __bytes__(self) -> bytes:
        """Return the bytes received."""
        return bytes(self._body)


class BufferBudget:
    """Counts the bytes of all answers that are being buffered.

    Attributes
    ----------
    used_bytes : int
        Bytes buffered now.
    """

    def __init__(self) -> None:
        self.used_bytes = 0

    @contextmanager
    def answer(self) -> Iterator[BufferedAnswer]:
        """Buffer an answer within the block; its bytes no longer count after it."""
        buffered = BufferedAnswer(self)
        try:
            yield buffered
        finally:
            self.used_bytes -= len(buffered)


def create_buffer_budget() -> BufferBudget:
    """Create a budget of which nothing is used."""
    return BufferBudget()
