"""Placement by expected completion and the prefill that it takes."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from guavawalk.request.affinity import affinity_key, affinity_order, affinity_tokens
from guavawalk.request.placement import Candidate, TargetViews
from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.request.target_view import TargetView
from guavawalk.request.types import Work
from guavawalk.version.types import Configuration, Generation, Target

__all__ = ["CostParts", "ExpectedCost", "cost_parts", "create_expected_cost", "is_long"]

LONG_OUTPUT_TOKENS = 200
LONG_SHARE_OF_SLOTS = 0.5
LONG_PENALTY_S = 10.0
PREFILL_WEIGHT = 3.0
PRICE_S = 0.002
AFFINITY_CREDIT = 0.5
AFFINITY_LOAD_BOUND = 1.25
DRAIN_SHARE = 0.5
IDLE_BATCH_SPEEDUP = 0.5
MAX_SCANNED = 14
SCANNED_NEAR = 4
CALL_S = 0.05
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
SERVICE_SPEED = Generation("", 1e9, 1e9, 8)


class CostParts(NamedTuple):
    """What a request is expected to take at one target, in seconds.

    Attributes
    ----------
    wait_s : float
        In the sidecar's queue and the engine's.
    prefill_s : float
        Of the part of the prompt that is not cached.
    penalty_s : float
        Price of the crossing, weight of the prefill, and long work over its share.
    """

    wait_s: float
    prefill_s: float
    decode_s: float
    crossing_s: float
    penalty_s: float

    @property
    def finish_s(self) -> float:
        """Expected time until the answer is whole."""
        return self.wait_s + self.prefill_s + self.decode_s + self.crossing_s

    @property
    def cost_s(self) -> float:
        """What placement minimises."""
        return self.finish_s + self.penalty_s


def is_long(work: Work) -> bool:
    """Say whether an answer is expected to hold a slot for long."""
    return work.expected_output_tokens >= LONG_OUTPUT_TOKENS


def cost_parts(
    work: Work, here: str, target: Target, view: TargetView, credit_tokens: int = 0
) -> CostParts:
    """Work out what a request takes at a target.

    Parameters
    ----------
    here : str
        Data centre of the entry.
    credit_tokens : int
        Prefix that other entries are expected to have cached there.
    """
    configuration = work.configuration
    generation = configuration.generations.get(target.generation, SERVICE_SPEED)
    load = view.load
    slots = min(load.window, generation.batch_slots) if load.window else generation.batch_slots
    rate = slots * generation.decode_tokens_per_s
    cached = max(view.cached_tokens, credit_tokens if _has_room(view, slots) else 0)
    uncached = work.prompt_tokens - cached
    prefill_s = max(uncached, 0) / generation.prefill_tokens_per_s
    crossing_s, price = _crossing(configuration, here, target.data_centre)
    filled = min(1.0, (load.running + 1) / slots)
    speedup = 1.0 - IDLE_BATCH_SPEEDUP * (1.0 - filled)
    decode_s = work.expected_output_tokens / generation.decode_tokens_per_s * speedup
    penalty_s = PREFILL_WEIGHT * prefill_s + PRICE_S * price
    if is_long(work) and view.own_long >= max(1.0, LONG_SHARE_OF_SLOTS * slots):
        penalty_s += LONG_PENALTY_S
    wait_s = _wait_s(work, view, slots, rate)
    return CostParts(wait_s, prefill_s, decode_s, crossing_s, penalty_s)


def _has_room(view: TargetView, slots: int) -> bool:
    load = view.load
    return load.running + sum(load.queued_by_rank) + view.own_new < AFFINITY_LOAD_BOUND * slots


def _crossing(configuration: Configuration, here: str, there: str) -> tuple[float, float]:
    if here == there:
        return 0.0, 0.0
    crossing = configuration.crossings.get((here, there))
    return (2 * crossing.delay_ms / 1000, crossing.price) if crossing else (0.0, 0.0)


def _wait_s(work: Work, view: TargetView, slots: int, rate: float) -> float:
    """Return the time until a slot is free, by the tokens that go before this request."""
    load = view.load
    if not work.model:
        return CALL_S * (load.running + sum(load.queued_by_rank) + view.own_new) / slots
    rank = work.tier.rank
    ahead = sum(load.queued_by_rank[: rank + 1]) + view.own_new
    if load.running + ahead < slots:
        return 0.0
    tokens = _queued_tokens(view, rank) + view.own_output_tokens
    tokens += max(0, load.running - slots) * view.mean_output_tokens
    tokens -= DRAIN_SHARE * rate * min(view.report_age_s, 3600.0)
    return (max(0.0, tokens) + view.remaining_tokens) / rate


def _queued_tokens(view: TargetView, rank: int) -> float:
    load = view.load
    if load.queued_output_by_rank:
        return sum(load.queued_output_by_rank[: rank + 1])
    total = sum(load.queued_by_rank)
    if not total:
        return 0.0
    return load.queued_output_tokens * sum(load.queued_by_rank[: rank + 1]) / total


class ExpectedCost:
    """Take the target with the least expected cost.

    Notes
    -----
    With many capable targets a sample is looked at: those first by rendezvous hashing of the
    prompt's prefix, those believed to hold a prefix of it, a few near ones and a few others.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def rank(
        self, work: Work, here: str, targets: Sequence[Target], views: TargetViews
    ) -> list[Candidate]:
        """Order targets by cost, the sampled ones only."""
        key = affinity_key(work.prefix_hashes)
        order = affinity_order(key, tuple([t.name for t in targets])) if key else ()
        credit = int(AFFINITY_CREDIT * affinity_tokens(work.prefix_hashes, BLOCK_TOKENS))
        first = order[0] if order else ""
        if len(targets) > MAX_SCANNED:
            targets = self._sample(here, targets, {*order[:2], *views.cached})
        ranked = []
        for target in targets:
            view = views[target.name]
            if view.usable:
                parts = cost_parts(work, here, target, view, credit if target.name == first else 0)
                ranked.append(Candidate(target, parts.cost_s * 1000, parts.finish_s))
        ranked.sort(key=_cost)
        return ranked

    def _sample(self, here: str, targets: Sequence[Target], wanted: set[str]) -> list[Target]:
        chosen = [target for target in targets if target.name in wanted]
        near = [target for target in targets if target.data_centre == here]
        chosen += self._draw(near, SCANNED_NEAR, wanted)
        return chosen + self._draw(targets, MAX_SCANNED - len(chosen), wanted)

    def _draw(self, targets: Sequence[Target], count: int, taken: set[str]) -> list[Target]:
        drawn = []
        for _ in range(min(count, len(targets))):
            target = targets[int(self._rng.random() * len(targets))]
            if target.name not in taken:
                taken.add(target.name)
                drawn.append(target)
        return drawn


def _cost(candidate: Candidate) -> float:
    return candidate.cost_ms


def create_expected_cost(seed: int | None = None) -> ExpectedCost:
    """Create the policy; `seed` repeats its samples."""
    return ExpectedCost(random.Random(seed))
