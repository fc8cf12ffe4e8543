"""The queued queue of a sidecar."""

from itertools import count
from typing import NamedTuple, Protocol

from guavawalk.process.sidecar.backlog import TierBacklog, create_tier_backlog
from guavawalk.process.sidecar.lane import UNITS_PER_WEIGHT, QueuedAttempt
from guavawalk.request.attempt import Attempt
from guavawalk.request.cost import offer_cost_tokens

__all__ = [
    "DEFAULT_CAPACITY_TOKENS",
    "MAX_RANKS",
    "Queue",
    "QueueTotals",
    "clamp_rank",
    "create_tier_queue",
]

MAX_RANKS = 16
MAX_WEIGHT = 1_000_000.0
DEFAULT_CAPACITY_TOKENS = 16_000_000


class QueueTotals(NamedTuple):
    """What waits, for a load report."""

    waiting_by_rank: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    output_by_rank: tuple[int, ...] = ()


class Queue(Protocol):
    """Attempts that wait for dispatch."""

    def push(self, attempt: Attempt) -> list[Attempt]:
        """Add an attempt; return those shed for it, or only itself if it is the one refused."""
        ...

    def pop(self, with_long: bool = True) -> Attempt | None:
        """Take the next attempt to dispatch."""
        ...

    def peek(self, with_long: bool = True) -> Attempt | None:
        """Return what `pop` would take."""
        ...

    def remove(self, attempt: Attempt) -> bool:
        """Take out an attempt; False if it does not wait here."""
        ...

    def expire(self, now_s: float) -> list[Attempt]:
        """Take out the attempts whose deadline has passed."""
        ...

    def drain(self) -> list[Attempt]:
        """Take out all attempts."""
        ...

    def lane_length(self, is_long: bool) -> int:
        """Count the long attempts that wait, or the others."""
        ...

    def cost_ahead_tokens(self, attempt: Attempt) -> int:
        """Return the queued cost of its length that would go out before an attempt."""
        ...

    def totals(self) -> QueueTotals:
        """Return what waits."""
        ...

    def __len__(self) -> int: ...


class TierQueue:
    """Tiers in strict order; within one, deadline order kept fair between workspaces.

    Notes
    -----
    Over its bounds it sheds from the lowest tier that waits, and goes on to the next tier only
    when that one is empty. A single attempt is held whatever it costs.
    """

    def __init__(self, capacity: int, capacity_tokens: int) -> None:
        self.capacity = capacity
        self.capacity_tokens = capacity_tokens
        self._sequence = count()
        self._tiers: list[TierBacklog] = []
        self._waiting: dict[Attempt, QueuedAttempt] = {}
        self._cost_tokens = 0
        self._prompt_tokens = 0
        self._output_tokens = 0
        self._output_by_rank: list[int] = []

    def push(self, attempt: Attempt) -> list[Attempt]:
        """Add an attempt; shed until the rest fits, or refuse this one alone."""
        added = self._create_queued(attempt)
        self._add(added)
        shed: list[QueuedAttempt] = []
        while self._exceeds_capacity() and len(self._waiting) > 1:
            victim = self._first_to_shed()
            self._remove(victim)
            if victim is added:
                self._restore(shed)
                return [attempt]
            shed.append(victim)
        return [victim.attempt for victim in shed]

    def pop(self, with_long: bool = True) -> Attempt | None:
        """Take the first of the most urgent tier."""
        first = self._first(with_long)
        if first is None:
            return None
        self._tiers[first.rank].remove_dispatched(first)
        self._untrack(first)
        return first.attempt

    def peek(self, with_long: bool = True) -> Attempt | None:
        """Return the first of the most urgent tier."""
        first = self._first(with_long)
        return first.attempt if first else None

    def remove(self, attempt: Attempt) -> bool:
        """Take out an attempt."""
        queued = self._waiting.get(attempt)
        if queued is None:
            return False
        self._remove(queued)
        return True

    def expire(self, now_s: float) -> list[Attempt]:
        """Take out the attempts whose deadline has passed, by tier and deadline."""
        expired = []
        for tier in self._tiers:
            while (first := tier.earliest()) is not None and first.deadline_s <= now_s:
                self._remove(first)
                expired.append(first.attempt)
        return expired

    def drain(self) -> list[Attempt]:
        """Take out all attempts, by tier and deadline."""
        drained = [queued for tier in self._tiers for queued in tier.by_deadline()]
        for queued in drained:
            self._remove(queued)
        return [queued.attempt for queued in drained]

    def lane_length(self, is_long: bool) -> int:
        """Count the lanes of that length."""
        return sum(tier.lane_length(is_long) for tier in self._tiers)

    def cost_ahead_tokens(self, attempt: Attempt) -> int:
        """Add up the tiers above, and what has an earlier deadline in the same tier."""
        rank = clamp_rank(attempt.offer.tier_rank)
        ahead = sum(tier.lane_cost_tokens(attempt.is_long) for tier in self._tiers[:rank])
        if rank < len(self._tiers):
            ahead += self._tiers[rank].earlier_cost_tokens(attempt.deadline_s, attempt.is_long)
        return ahead

    def totals(self) -> QueueTotals:
        """Return the counts and sums, which are kept up to date."""
        counts = [len(tier) for tier in self._tiers]
        outputs = tuple(self._output_by_rank)
        return QueueTotals(tuple(counts), self._prompt_tokens, self._output_tokens, outputs)

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._waiting)

    def _create_queued(self, attempt: Attempt) -> QueuedAttempt:
        offer = attempt.offer
        return QueuedAttempt(
            deadline_s=attempt.deadline_s,
            sequence=next(self._sequence),
            attempt=attempt,
            rank=clamp_rank(offer.tier_rank),
            cost_tokens=offer_cost_tokens(offer),
            weight_units=_weight_units(offer.workspace_weight),
        )

    def _exceeds_capacity(self) -> bool:
        return len(self._waiting) > self.capacity or self._cost_tokens > self.capacity_tokens

    def _first_to_shed(self) -> QueuedAttempt:
        lowest = next(tier for tier in reversed(self._tiers) if tier)
        return lowest.first_to_shed()

    def _first(self, with_long: bool) -> QueuedAttempt | None:
        for tier in self._tiers:
            if tier and (first := tier.peek(with_long)) is not None:
                return first
        return None

    def _restore(self, shed: list[QueuedAttempt]) -> None:
        for queued in shed:
            self._add(queued)

    def _add(self, queued: QueuedAttempt) -> None:
        while len(self._tiers) <= queued.rank:
            self._tiers.append(create_tier_backlog())
            self._output_by_rank.append(0)
        self._tiers[queued.rank].add(queued)
        self._waiting[queued.attempt] = queued
        self._count(queued, 1)

    def _remove(self, queued: QueuedAttempt) -> None:
        self._tiers[queued.rank].remove(queued)
        self._untrack(queued)

    def _untrack(self, queued: QueuedAttempt) -> None:
        del self._waiting[queued.attempt]
        self._count(queued, -1)

    def _count(self, queued: QueuedAttempt, sign: int) -> None:
        offer = queued.attempt.offer
        self._cost_tokens += sign * queued.cost_tokens
        self._prompt_tokens += sign * offer.prompt_tokens
        self._output_tokens += sign * offer.expected_output_tokens
        self._output_by_rank[queued.rank] += sign * offer.expected_output_tokens


def clamp_rank(rank: int) -> int:
    """Return a rank within those that a sidecar keeps apart."""
    return min(max(rank, 0), MAX_RANKS - 1)


def _weight_units(weight: float) -> int:
    if not weight > 0:
        return UNITS_PER_WEIGHT
    return max(round(min(weight, MAX_WEIGHT) * UNITS_PER_WEIGHT), 1)


def create_tier_queue(capacity: int, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS) -> Queue:
    """Create a queue of at most `capacity` attempts that cost at most `capacity_tokens`."""
    return TierQueue(capacity, capacity_tokens)
