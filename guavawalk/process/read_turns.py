"""Orders the reads of bodies, so that their parsing shares the processor with all else.

Load handled: many callers send bodies whose bytes cost much to parse, such as chunks of one byte.
Each pass of the event loop would parse a piece of every such body, and an ordinary request needs
several passes. Here a pass parses pieces up to a total cost. Requests that have cost the least go
first, so that small and new ones overtake costly ones.
"""

from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

import anyio
import anyio.lowlevel

__all__ = ["ReadTurns", "create_read_turns"]

# Cost of the reads that are made in one turn, in chunks parsed; a costlier one is made alone.
TURN_COST = 1_024


class _Waiter(NamedTuple):
    spent: int
    # Orders requests of like cost by their arrival.
    number: int
    cost: int
    granted: anyio.Event
    # The wait, which ends with the request's time.
    scope: anyio.CancelScope


class ReadTurns:
    """Gives turns to the requests of all connections of a process.

    Attributes
    ----------
    refused : int
        Requests refused since the start, most since their turn did not come in time.
    """

    def __init__(self) -> None:
        self.refused = 0
        self._waiting: list[_Waiter] = []
        self._numbers = count()
        # One of those whose turn it is, which begins the next turn; None if no turn is under way.
        self._leader: _Waiter | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their turn."""
        return len(self._waiting)

    async def wait(self, spent: int, cost: int, timeout_s: float) -> bool:
        """Wait until a request may be read on; without other requests that is at once.

        Parameters
        ----------
        spent, cost : int
            Cost of all reads of the request, and of its last one, in chunks parsed; the next read
            is expected to cost as much.
        timeout_s : float
            Longest time to wait, in seconds; infinity for no limit.

        Returns
        -------
        bool
            False if the turn did not come in time, or the request was refused.
        """
        scope = anyio.CancelScope(deadline=anyio.current_time() + timeout_s)
        waiter = _Waiter(spent, next(self._numbers), cost, anyio.Event(), scope)
        heappush(self._waiting, waiter)
        if self._leader is None:
            self._begin_turn()
        try:
            with scope:
                await waiter.granted.wait()
            if waiter is self._leader:
                # Tasks of other requests run before the next turn.
                await anyio.lowlevel.checkpoint()
        finally:
            if not waiter.granted.is_set():
                self._remove(waiter)
            elif waiter is self._leader:
                self._begin_turn()
        self.refused += not waiter.granted.is_set()
        return waiter.granted.is_set()

    def refuse_costliest(self) -> bool:
        """Refuse the request that has cost most of those that wait, if there is one."""
        if not self._waiting:
            return False
        costliest = max(self._waiting)
        self._remove(costliest)
        costliest.scope.cancel()
        return True

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            heapify(self._waiting)

    def _begin_turn(self) -> None:
        self._leader = None
        left = TURN_COST
        while self._waiting and left > 0:
            waiter = heappop(self._waiting)
            waiter.granted.set()
            self._leader = self._leader or waiter
            left -= waiter.cost


def create_read_turns() -> ReadTurns:
    """Create turns for which no request waits."""
    return ReadTurns()
