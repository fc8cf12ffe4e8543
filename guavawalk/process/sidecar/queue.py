"""The waiting queue of a sidecar."""

from typing import NamedTuple, Protocol

from sortedcontainers import SortedKeyList

from guavawalk.request.attempt import Attempt

__all__ = ["Queue", "QueueTotals", "create_tier_queue"]


class QueueTotals(NamedTuple):
    """What waits, for a load report."""

    waiting_by_rank: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int


class Queue(Protocol):
    """Attempts that wait for dispatch."""

    def push(self, attempt: Attempt) -> list[Attempt]:
        """Add an attempt; return those shed for it, which may be itself."""
        ...

    def pop(self) -> Attempt | None:
        """Take the next attempt to dispatch."""
        ...

    def peek(self) -> Attempt | None:
        """Return what `pop` would take."""
        ...

    def remove(self, attempt: Attempt) -> bool:
        """Take out an attempt; False if it does not wait here."""
        ...

    def drain(self) -> list[Attempt]:
        """Take out all attempts."""
        ...

    def totals(self) -> QueueTotals:
        """Return what waits."""
        ...

    def __len__(self) -> int: ...


def _order(attempt: Attempt) -> tuple[int, float, float, str]:
    offer = attempt.offer
    return (offer.tier_rank, attempt.deadline_s, attempt.offered_s, offer.attempt_id)


class TierQueue:
    """Tiers in strict order, deadlines in order within a tier."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._waiting = SortedKeyList(key=_order)

    def push(self, attempt: Attempt) -> list[Attempt]:
        """Add an attempt; when over capacity, the last in order is shed."""
        self._waiting.add(attempt)
        if len(self._waiting) > self.capacity:
            return [self._waiting.pop()]
        return []

    def pop(self) -> Attempt | None:
        """Take the first in order."""
        return self._waiting.pop(0) if self._waiting else None

    def peek(self) -> Attempt | None:
        """Return the first in order."""
        return self._waiting[0] if self._waiting else None

    def remove(self, attempt: Attempt) -> bool:
        """Take out an attempt."""
        if attempt not in self._waiting:
            return False
        self._waiting.remove(attempt)
        return True

    def drain(self) -> list[Attempt]:
        """Take out all attempts."""
        drained = list(self._waiting)
        self._waiting.clear()
        return drained

    def totals(self) -> QueueTotals:
        """Count what waits by rank."""
        counts: list[int] = []
        for attempt in self._waiting:
            rank = attempt.offer.tier_rank
            counts += [0] * (rank + 1 - len(counts))
            counts[rank] += 1
        prompt = sum(attempt.offer.prompt_tokens for attempt in self._waiting)
        output = sum(attempt.offer.expected_output_tokens for attempt in self._waiting)
        return QueueTotals(tuple(counts), prompt, output)

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._waiting)


def create_tier_queue(capacity: int) -> Queue:
    """Create a queue of at most `capacity` attempts."""
    return TierQueue(capacity)
