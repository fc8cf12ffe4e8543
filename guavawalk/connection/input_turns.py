"""Paces the reads of one request's body by what they cost to parse."""

import math
from typing import Protocol

__all__ = ["InputTurns", "RequestPace", "UnlimitedTurns"]

# Cost of a read itself, and bytes that cost as much as one chunk, in chunks parsed.
READ_COST = 128
BYTES_PER_COST = 2_048
# Cost that a request may have before its reads take turns; ordinary requests have less.
FREE_COST = 1_024
# Longest time to wait for one turn, in seconds.
MAX_WAIT_S = 4.0


class InputTurns(Protocol):
    """Order in which bodies are read on; `ReadTurns` documents the members."""

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their turn."""
        ...

    async def wait(self, spent: int, cost: int, timeout_s: float) -> bool:
        """Wait for the turn of a request; return False if it doesn't come in time."""
        ...


class UnlimitedTurns:
    """Turns that are never waited for; implements `InputTurns`."""

    waiting = 0

    async def wait(self, spent: int, cost: int, timeout_s: float) -> bool:
        """Return True at once."""
        return True


class RequestPace:
    """What the reads of a request have cost, in chunks parsed.

    Attributes
    ----------
    spent : int
        Cost of all reads of the request.
    last_cost : int
        Cost of its last read.
    """

    def __init__(self, turns: InputTurns) -> None:
        self.spent = self.last_cost = 0
        self._turns = turns

    @property
    def is_contended(self) -> bool:
        """Whether other requests wait for their turns."""
        return self._turns.waiting > 0

    def begin(self) -> None:
        """Begin the next request."""
        self.spent = self.last_cost = 0

    def count_read(self, size_bytes: int, chunks: int) -> None:
        """Count a read of the request's bytes, and the chunks that were parsed in it."""
        self.last_cost = READ_COST + chunks + size_bytes // BYTES_PER_COST
        self.spent += self.last_cost

    async def wait_turn(self, is_awaited: bool = True) -> bool:
        """Wait until the request may be read on; return whether it may be.

        Parameters
        ----------
        is_awaited : bool
            Whether the request is wanted now; one that isn't waits without a limit.
        """
        if self.spent <= FREE_COST:
            return True
        timeout_s = MAX_WAIT_S if is_awaited else math.inf
        return await self._turns.wait(self.spent, self.last_cost, timeout_s)
