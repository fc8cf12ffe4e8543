"""Queues attempts by tier until dispatch, and sheds the least urgent ones when full."""

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

# Number of ranks kept apart; less urgent tiers share the last one.
MAX_RANKS = 16
# Bound on the weight of a workspace; a weight that is not positive counts as 1.0.
MAX_WEIGHT = 1_000_000.0
# Bound on the total cost of the waiting attempts, unless the settings give another.
DEFAULT_CAPACITY_TOKENS = 16_000_000


class QueueTotals(NamedTuple):
    """Totals of the waiting attempts, for a load report.

    Attributes
    ----------
    waiting_by_rank : tuple of int
        Number of attempts of each rank, up to the least urgent rank in use.
    prompt_tokens, output_tokens : int
        Prompt tokens and expected output tokens of all attempts.
    output_by_rank : tuple of int
        Expected output tokens of each rank.
    """

    waiting_by_rank: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    output_by_rank: tuple[int, ...] = ()


class Queue(Protocol):
    """Attempts that wait for dispatch."""

    def push(self, attempt: Attempt) -> list[Attempt]:
        """Add an attempt; return those shed to make room, or only itself if it is refused."""
        ...

    def pop(self, with_long: bool = True) -> Attempt | None:
        """Remove and return the next attempt to dispatch, or None if there is none.

        Parameters
        ----------
        with_long : bool
            Whether the next attempt may be a long one.
        """
        ...

    def peek(self, with_long: bool = True) -> Attempt | None:
        """Return the attempt that `pop` would remove, or None if there is none."""
        ...

    def remove(self, attempt: Attempt) -> bool:
        """Remove an attempt; return whether it was waiting here."""
        ...

    def expire(self, now_s: float) -> list[Attempt]:
        """Remove and return the attempts whose deadline has passed."""
        ...

    def drain(self) -> list[Attempt]:
        """Remove and return all attempts."""
        ...

    def lane_length(self, is_long: bool) -> int:
        """Return the number of waiting attempts that are long, or of those that are not."""
        ...

    def cost_ahead_tokens(self, attempt: Attempt) -> int:
        """Estimate the waiting cost ahead of an attempt, in lanes of its kind (long or short)."""
        ...

    def totals(self) -> QueueTotals:
        """Return the totals of the waiting attempts."""
        ...

    def __len__(self) -> int: ...


class TierQueue:
    """Queue with strict priority of tiers, and deadlines within fair shares in each tier.

    Attributes
    ----------
    capacity : int
        Bound on the number of waiting attempts.
    capacity_tokens : int
        Bound on their total cost.

    Notes
    -----
    Over its bounds it sheds from the least urgent tier that has waiting attempts, and moves to the
    next tier only when that one is empty. A single attempt is kept whatever it costs.
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
        """Add an attempt and shed until the bounds hold, or refuse this one alone.

        Notes
        -----
        When the new attempt itself is next to be shed, those shed before it are restored.
        """
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
        """Remove and return the next attempt of the most urgent tier, or None if there is none."""
        first = self._first(with_long)
        if first is None:
            return None
        self._tiers[first.rank].remove_dispatched(first)
        self._untrack(first)
        return first.attempt

    def peek(self, with_long: bool = True) -> Attempt | None:
        """Return the next attempt of the most urgent tier, or None if there is none."""
        first = self._first(with_long)
        return first.attempt if first else None

    def remove(self, attempt: Attempt) -> bool:
        """Remove an attempt; return whether it was waiting here."""
        queued = self._waiting.get(attempt)
        if queued is None:
            return False
        self._remove(queued)
        return True

    def expire(self, now_s: float) -> list[Attempt]:
        """Remove and return the attempts whose deadline has passed, by tier and deadline."""
        expired = []
        for tier in self._tiers:
            while (first := tier.earliest()) is not None and first.deadline_s <= now_s:
                self._remove(first)
                expired.append(first.attempt)
        return expired

    def drain(self) -> list[Attempt]:
        """Remove and return all attempts, by tier and deadline."""
        drained = [queued for tier in self._tiers for queued in tier.by_deadline()]
        for queued in drained:
            self._remove(queued)
        return [queued.attempt for queued in drained]

    def lane_length(self, is_long: bool) -> int:
        """Return the total length of the long or of the short lanes."""
        return sum(tier.lane_length(is_long) for tier in self._tiers)

    def cost_ahead_tokens(self, attempt: Attempt) -> int:
        """Return the cost of more urgent tiers and of earlier deadlines in the same tier.

        Notes
        -----
        Only lanes of the attempt's kind (long or short) count. The cost of earlier deadlines in the
        same tier is an estimate.
        """
        rank = clamp_rank(attempt.offer.tier_rank)
        ahead = sum(tier.lane_cost_tokens(attempt.is_long) for tier in self._tiers[:rank])
        if rank < len(self._tiers):
            ahead += self._tiers[rank].earlier_cost_tokens(attempt.deadline_s, attempt.is_long)
        return ahead

    def totals(self) -> QueueTotals:
        """Return the totals, which every change keeps up to date."""
        counts = [len(tier) for tier in self._tiers]
        outputs = tuple(self._output_by_rank)
        return QueueTotals(tuple(counts), self._prompt_tokens, self._output_tokens, outputs)

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
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
    """Return a rank limited to 0 through `MAX_RANKS` - 1."""
    return min(max(rank, 0), MAX_RANKS - 1)


def _weight_units(weight: float) -> int:
    if not weight > 0:
        return UNITS_PER_WEIGHT
    return max(round(min(weight, MAX_WEIGHT) * UNITS_PER_WEIGHT), 1)


def create_tier_queue(capacity: int, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS) -> Queue:
    """Create a queue of at most `capacity` attempts with a total cost of `capacity_tokens`."""
    return TierQueue(capacity, capacity_tokens)
