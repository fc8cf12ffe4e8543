"""Placement by expected completion and the prefill that it takes."""

import random
from collections.abc import Sequence
from itertools import islice
from typing import NamedTuple

from guavawalk.request.affinity import affinity_key, affinity_order, affinity_tokens
from guavawalk.request.placement import Candidate, TargetViews, group_of
from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.request.target_view import TargetView
from guavawalk.request.types import Work
from guavawalk.version.group import create_target_group
from guavawalk.version.types import Crossing, Generation, Target, TargetGroup

__all__ = ["CostEstimate", "ExpectedCost", "create_expected_cost", "estimate_cost", "is_long"]

LONG_OUTPUT_TOKENS = 200
LONG_SHARE_OF_SLOTS = 0.5
LONG_PENALTY_S = 10.0
PREFILL_WEIGHT = 4.0
URGENT_PREFILL_WEIGHT = 0.5
PRICE_S = 0.002
AFFINITY_CREDIT = 0.5
AFFINITY_LOAD_BOUND = 1.25
DRAIN_SHARE = 0.5
IDLE_BATCH_SPEEDUP = 0.5
MAX_AGE_S = 3_600.0
FRESH_S = 2.0
MAX_SPEEDUP = 2.0
SCAN_ALL_UP_TO = 12
MAX_SCANNED = 6
SCANNED_NEAR = 1
SCANNED_CACHED = 2
CALL_S = 0.05
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
SERVICE_SPEED = Generation("", 1e9, 1e9, 8)
NO_CROSSING = Crossing("", "", 0.0)


class CostEstimate(NamedTuple):
    """What a request is expected to take at one target, in seconds.

    Attributes
    ----------
    wait_s : float
        In the sidecar's queue and the engine's.
    prefill_s : float
        Of the part of the prompt that is not cached.
    finish_s : float
        Until the answer is whole, with generation and the crossing.
    penalty_s : float
        Price of the crossing, weight of the prefill, and long work over its share.
    """

    wait_s: float
    prefill_s: float
    finish_s: float
    penalty_s: float


def is_long(work: Work) -> bool:
    """Say whether an answer is expected to hold a slot for long."""
    return work.expected_output_tokens >= LONG_OUTPUT_TOKENS


def estimate_cost(
    work: Work,
    local_data_centre: str,
    target: Target,
    view: TargetView,
    credit_tokens: int = 0,
    share: float = 1.0,
) -> CostEstimate:
    """Work out what a request takes at a target.

    Parameters
    ----------
    local_data_centre : str
        Data centre of the entry.
    credit_tokens : int
        Prefix that other entries are expected to have cached there.
    share : float
        Part of the slots that the request's tier may hold.
    """
    configuration = work.configuration
    generation = configuration.generations.get(target.generation, SERVICE_SPEED)
    _, prefill_rate, decode_rate, slots, _ = generation
    load = view.load
    is_fresh = view.report_age_s < FRESH_S
    if 0 < load.window < slots:
        slots = load.window
    if is_fresh and load.decode_tokens_per_s:
        decode_rate = min(load.decode_tokens_per_s, MAX_SPEEDUP * decode_rate)
    cached = view.cached_tokens
    if credit_tokens > cached and _has_room(view, slots):
        cached = credit_tokens
    prefill_s = max(work.prompt_tokens - cached, 0) / prefill_rate
    speedup = IDLE_BATCH_SPEEDUP * max(0.0, 1.0 - (load.running + 1) / slots)
    decode_s = work.expected_output_tokens / decode_rate * (1.0 - speedup)
    wait_s = _wait_s(work, view, slots, share, slots * decode_rate)
    if is_fresh:
        wait_s += max(0.0, load.first_token_ms / 1000 - prefill_s)
    finish_s = wait_s + prefill_s + decode_s
    penalty_s = (PREFILL_WEIGHT if work.tier.rank else URGENT_PREFILL_WEIGHT) * prefill_s
    if local_data_centre != target.data_centre:
        crossing = configuration.crossings.get((local_data_centre, target.data_centre), NO_CROSSING)
        finish_s += 2 * crossing.delay_ms / 1000
        penalty_s += PRICE_S * crossing.price
    if is_long(work) and view.own_long >= max(1.0, LONG_SHARE_OF_SLOTS * slots):
        penalty_s += LONG_PENALTY_S
    return CostEstimate(wait_s, prefill_s, finish_s, penalty_s)


def _has_room(view: TargetView, slots: int) -> bool:
    load = view.load
    return (
        load.running + sum(load.queued_by_rank) + view.own_since_report
        < AFFINITY_LOAD_BOUND * slots
    )


def _wait_s(work: Work, view: TargetView, slots: int, share: float, rate: float) -> float:
    """Return the time until a slot is free, by the tokens that go before this request."""
    load = view.load
    if not work.model:
        return CALL_S * (load.running + sum(load.queued_by_rank) + view.own_since_report) / slots
    rank = work.tier.rank
    waiting = sum(load.queued_by_rank[: rank + 1]) + view.own_since_report
    long = is_long(work)
    held_up = long and load.long_full
    if load.running + waiting < share * slots and not held_up:
        return 0.0
    # Long work holds part of the slots at most, and does not hold up short work in the queue.
    ahead = _tokens_ahead(view, rank)
    if long:
        rate *= LONG_SHARE_OF_SLOTS
        tokens = ahead.long + (view.remaining_tokens if held_up else view.mean_output_tokens)
    else:
        rate *= 1.0 - LONG_SHARE_OF_SLOTS if load.long_full else 1.0
        tokens = ahead.short + view.mean_output_tokens
    tokens += view.own_output_tokens
    return max(0.0, tokens / rate - DRAIN_SHARE * min(view.report_age_s, MAX_AGE_S))


def available_slot_share(work: Work) -> float:
    """Return the part of a target's slots that is not kept for more urgent tiers."""
    rank = work.tier.rank
    tiers = work.configuration.tiers.values()
    return 1.0 - sum([tier.reserved_share for tier in tiers if tier.rank < rank])


class TokensAhead(NamedTuple):
    """Output tokens that wait in a request's tier and more urgent ones."""

    short: float
    long: float


def _tokens_ahead(view: TargetView, rank: int) -> TokensAhead:
    load = view.load
    total = sum(load.queued_by_rank)
    if not total:
        return NOTHING_AHEAD
    by_rank = load.queued_output_by_rank
    if not by_rank:
        share = sum(load.queued_by_rank[: rank + 1]) / total
        return TokensAhead(load.queued_output_tokens * share, 0.0)
    short = long = 0.0
    for count, tokens in zip(load.queued_by_rank[: rank + 1], by_rank):
        if tokens >= LONG_OUTPUT_TOKENS * count:
            long += tokens
        else:
            short += tokens
    return TokensAhead(short, long)


NOTHING_AHEAD = TokensAhead(0.0, 0.0)


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
        self, work: Work, local_data_centre: str, targets: Sequence[Target], views: TargetViews
    ) -> list[Candidate]:
        """Order targets by cost, the sampled ones only."""
        group = group_of(work, work.configuration)
        if targets is not group.targets:
            group = create_target_group(targets, work.configuration.generations)
        key = affinity_key(work.prefix_hashes)
        order = affinity_order(key, group.names, group.weights) if key else ()
        first = order[0] if order else ""
        credit = int(AFFINITY_CREDIT * affinity_tokens(work.prefix_hashes, BLOCK_TOKENS))
        if len(targets) > SCAN_ALL_UP_TO:
            targets = self._sample(
                local_data_centre, group, {*order[:1], *islice(views.cached, SCANNED_CACHED)}
            )
        share = available_slot_share(work)
        ranked = []
        for target in targets:
            view = views[target.name]
            if view.usable:
                tokens = credit if target.name == first else 0
                parts = estimate_cost(work, local_data_centre, target, view, tokens, share)
                cost_s = parts.finish_s + parts.penalty_s
                ranked.append(Candidate(target, cost_s * 1000, parts.finish_s))
        ranked.sort(key=_cost)
        return ranked

    def _sample(self, local_data_centre: str, group: TargetGroup, wanted: set[str]) -> list[Target]:
        index = group.index
        chosen = [group.targets[index[name]] for name in wanted if name in index]
        chosen += self._draw(group.near.get(local_data_centre, ()), SCANNED_NEAR, wanted)
        return chosen + self._draw(group.targets, MAX_SCANNED - len(chosen), wanted)

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
