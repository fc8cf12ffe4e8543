"""Placement policy that minimises the expected time to completion plus weighted penalties.

Penalties are for the prefill work, for crossings between data centres, and for long outputs beyond
their share of a target's slots.
"""

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

# Expected output tokens from which a request is long.
LONG_OUTPUT_TOKENS = 200
# Share of a target's slots that long requests may hold, and the penalty of one beyond that share.
LONG_SHARE_OF_SLOTS = 0.5
LONG_PENALTY_S = 10.0
# Penalty in seconds for each second of prefill: of all tiers but the most urgent, and of that one.
PREFILL_WEIGHT = 4.0
URGENT_PREFILL_WEIGHT = 0.5
# Penalty for each unit of a crossing's price, in seconds.
CROSSING_PRICE_S = 0.002
# Share of the prefix hashed for affinity that counts as cached at the first target in its order.
AFFINITY_CREDIT_SHARE = 0.5
# Requests at a target, running and queued, for each of its slots, from which on it gets no credit
# for affinity.
AFFINITY_MAX_LOAD = 1.25
# Seconds by which the expected wait falls for each second since the report, as the queue drains.
DRAIN_PER_S = 0.5
# Share of the generation time in a full batch that is saved in an empty one.
IDLE_BATCH_SPEEDUP = 0.5
# Report age from which on the expected wait falls no further.
MAX_REPORT_AGE_S = 3_600.0
# Age below which the rates and the first-token time of a report are used.
RECENT_REPORT_S = 2.0
# Largest reported decoding rate that is used, as a multiple of the configured one.
MAX_SPEEDUP = 2.0
# Number of capable targets up to which all are scored; above it, a sample is.
SCAN_ALL_UP_TO = 12
# Largest sample, and how many of its targets are random ones in the local data centre, and those
# with the longest cached prefixes.
SAMPLE_TARGETS = 6
SAMPLE_LOCAL = 1
SAMPLE_CACHED = 2
# Assumed duration of one call of a plain service.
SERVICE_CALL_S = 0.05
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
# Stands in for targets without a generation: their tokens take no time.
SERVICE_GENERATION = Generation("", 1e9, 1e9, 8)
# Stands in for a crossing that is not configured: no delay and no price.
NO_CROSSING = Crossing("", "", 0.0)


class CostEstimate(NamedTuple):
    """Expected times and penalties of a request at one target, in seconds.

    Attributes
    ----------
    wait_s : float
        Time in the queues of the sidecar and the engine.
    prefill_s : float
        Prefill time of the part of the prompt that is not cached.
    finish_s : float
        Time until the answer is complete: wait, prefill, generation and crossing.
    penalty_s : float
        Weighted prefill, price of the crossing, and long work beyond its share of slots.
    """

    wait_s: float
    prefill_s: float
    finish_s: float
    penalty_s: float


def is_long(work: Work) -> bool:
    """Return whether the expected answer has at least `LONG_OUTPUT_TOKENS`."""
    return work.expected_output_tokens >= LONG_OUTPUT_TOKENS


def estimate_cost(
    work: Work,
    local_data_centre: str,
    target: Target,
    view: TargetView,
    credit_tokens: int = 0,
    slot_share: float = 1.0,
) -> CostEstimate:
    """Estimate the times and penalties of a request at a target.

    Parameters
    ----------
    local_data_centre : str
        Data centre of the entry.
    view : TargetView
        State of the target as the entry knows it.
    credit_tokens : int
        Length in tokens of the prefix that other entries are expected to have cached there; not
        used while the target is full.
    slot_share : float
        Share of the slots that the request's tier may use, from 0 to 1.
    """
    configuration = work.configuration
    generation = configuration.generations.get(target.generation, SERVICE_GENERATION)
    _, prefill_rate, decode_rate, slots, _ = generation
    load = view.load
    is_recent = view.report_age_s < RECENT_REPORT_S
    if 0 < load.window < slots:
        slots = load.window
    if is_recent and load.decode_tokens_per_s:
        decode_rate = min(load.decode_tokens_per_s, MAX_SPEEDUP * decode_rate)
    cached = view.cached_tokens
    if credit_tokens > cached and _has_capacity(view, slots):
        cached = credit_tokens
    prefill_s = max(work.prompt_tokens - cached, 0) / prefill_rate
    speedup = IDLE_BATCH_SPEEDUP * max(0.0, 1.0 - (load.running + 1) / slots)
    decode_s = work.expected_output_tokens / decode_rate * (1.0 - speedup)
    wait_s = _wait_s(work, view, slots, slot_share, slots * decode_rate)
    if is_recent:
        # What the time to the first token exceeds the prefill by is the wait in the engine's queue.
        wait_s += max(0.0, load.first_token_ms / 1000 - prefill_s)
    finish_s = wait_s + prefill_s + decode_s
    penalty_s = (PREFILL_WEIGHT if work.tier.rank else URGENT_PREFILL_WEIGHT) * prefill_s
    if local_data_centre != target.data_centre:
        crossing = configuration.crossings.get((local_data_centre, target.data_centre), NO_CROSSING)
        finish_s += 2 * crossing.delay_ms / 1000
        penalty_s += CROSSING_PRICE_S * crossing.price
    if is_long(work) and view.own_long >= max(1.0, LONG_SHARE_OF_SLOTS * slots):
        penalty_s += LONG_PENALTY_S
    return CostEstimate(wait_s, prefill_s, finish_s, penalty_s)


def _has_capacity(view: TargetView, slots: int) -> bool:
    load = view.load
    return (
        load.running + sum(load.queued_by_rank) + view.own_since_report < AFFINITY_MAX_LOAD * slots
    )


def _wait_s(
    work: Work, view: TargetView, slots: int, slot_share: float, tokens_per_s: float
) -> float:
    """Return the expected time until a slot is free, in seconds.

    For a model, it is 0 while a slot is free; otherwise it is the time in which all slots, at
    `tokens_per_s` together, generate the output tokens ahead of the request. For a plain service,
    it is the time of the calls ahead, spread over the slots.
    """
    load = view.load
    if not work.model:
        return (
            SERVICE_CALL_S
            * (load.running + sum(load.queued_by_rank) + view.own_since_report)
            / slots
        )
    rank = work.tier.rank
    waiting = sum(load.queued_by_rank[: rank + 1]) + view.own_since_report
    long = is_long(work)
    is_blocked = long and load.long_full
    if load.running + waiting < slot_share * slots and not is_blocked:
        return 0.0
    # Long requests hold at most a share of the slots, and do not block short ones in the queue.
    ahead = _tokens_ahead(view, rank)
    if long:
        tokens_per_s *= LONG_SHARE_OF_SLOTS
        tokens = ahead.long + (view.remaining_tokens if is_blocked else view.mean_output_tokens)
    else:
        tokens_per_s *= 1.0 - LONG_SHARE_OF_SLOTS if load.long_full else 1.0
        tokens = ahead.short + view.mean_output_tokens
    tokens += view.own_output_tokens
    return max(0.0, tokens / tokens_per_s - DRAIN_PER_S * min(view.report_age_s, MAX_REPORT_AGE_S))


def available_slot_share(work: Work) -> float:
    """Return the share of a target's slots that is not reserved for more urgent tiers."""
    rank = work.tier.rank
    tiers = work.configuration.tiers.values()
    return 1.0 - sum([tier.reserved_share for tier in tiers if tier.rank < rank])


class TokensAhead(NamedTuple):
    """Queued output tokens of short and long requests, in a request's tier and more urgent ones."""

    short: float
    long: float


def _tokens_ahead(view: TargetView, rank: int) -> TokensAhead:
    load = view.load
    total = sum(load.queued_by_rank)
    if not total:
        return NO_TOKENS_AHEAD
    by_rank = load.queued_output_by_rank
    if not by_rank:
        # The report has no tokens by tier: split the total in proportion to the queued requests.
        share = sum(load.queued_by_rank[: rank + 1]) / total
        return TokensAhead(load.queued_output_tokens * share, 0.0)
    short = long = 0.0
    # The report has no lengths of single requests: the mean length decides for a whole tier.
    for count, tokens in zip(load.queued_by_rank[: rank + 1], by_rank):
        if tokens >= LONG_OUTPUT_TOKENS * count:
            long += tokens
        else:
            short += tokens
    return TokensAhead(short, long)


NO_TOKENS_AHEAD = TokensAhead(0.0, 0.0)


class ExpectedCost:
    """Placement that orders targets by expected cost.

    Notes
    -----
    If more than `SCAN_ALL_UP_TO` targets are capable, at most `SAMPLE_TARGETS` of them are scored:
    the first by rendezvous hashing of the prompt's prefix, those with the longest cached prefixes,
    a random one in the local data centre, and random others.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def rank(
        self, work: Work, local_data_centre: str, targets: Sequence[Target], views: TargetViews
    ) -> list[Candidate]:
        """Return the usable ones of the scored targets, least cost first."""
        group = group_of(work, work.configuration)
        if targets is not group.targets:
            group = create_target_group(targets, work.configuration.generations)
        key = affinity_key(work.prefix_hashes)
        order = affinity_order(key, group.names, group.weights) if key else ()
        first = order[0] if order else ""
        credit_tokens = int(
            AFFINITY_CREDIT_SHARE * affinity_tokens(work.prefix_hashes, BLOCK_TOKENS)
        )
        if len(targets) > SCAN_ALL_UP_TO:
            targets = self._sample(
                local_data_centre, group, {*order[:1], *islice(views.cached, SAMPLE_CACHED)}
            )
        slot_share = available_slot_share(work)
        ranked = []
        for target in targets:
            view = views[target.name]
            if view.usable:
                tokens = credit_tokens if target.name == first else 0
                estimate = estimate_cost(work, local_data_centre, target, view, tokens, slot_share)
                cost_s = estimate.finish_s + estimate.penalty_s
                ranked.append(Candidate(target, cost_s * 1000, estimate.finish_s))
        ranked.sort(key=_cost_ms)
        return ranked

    def _sample(
        self, local_data_centre: str, group: TargetGroup, preferred: set[str]
    ) -> list[Target]:
        index = group.index
        sample = [group.targets[index[name]] for name in preferred if name in index]
        sample += self._draw_random(
            group.by_data_centre.get(local_data_centre, ()), SAMPLE_LOCAL, preferred
        )
        return sample + self._draw_random(group.targets, SAMPLE_TARGETS - len(sample), preferred)

    def _draw_random(
        self, targets: Sequence[Target], count: int, excluded: set[str]
    ) -> list[Target]:
        # At most `count` are drawn: a target that is excluded, or drawn before, is not replaced.
        drawn = []
        for _ in range(min(count, len(targets))):
            target = targets[int(self._rng.random() * len(targets))]
            if target.name not in excluded:
                excluded.add(target.name)
                drawn.append(target)
        return drawn


def _cost_ms(candidate: Candidate) -> float:
    return candidate.cost_ms


def create_expected_cost(seed: int | None = None) -> ExpectedCost:
    """Create the policy; a `seed` makes its samples repeatable, None draws new ones."""
    return ExpectedCost(random.Random(seed))
