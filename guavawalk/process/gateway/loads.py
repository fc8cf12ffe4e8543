"""Loads of targets as gateways report them, and how they count at the targets."""

from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.bounded import Count
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.gateway.tracked_target import TrackedTarget
from guavawalk.request.call import PromptPart

__all__ = [
    "AddedLoads",
    "TargetLoad",
    "add_loads",
    "add_missing_loads",
    "add_sent_parts",
    "measure_load",
    "subtract_loads",
    "sum_loads",
]


class TargetLoad(NamedTuple):
    """What one gateway, or all of a data centre, run at one target, and have observed of it.

    Attributes
    ----------
    running : int
        Calls at the target.
    prefill_tokens : int
        Prompt tokens to be processed for those calls that have had no event yet.
    slowness_percent : int
        Time between two events at the target, in percent of the nominal one; 0 if it has not been
        observed.
    failed, ended : int
        Number of failed and of all ended attempts, weighted by age, in tenths of an attempt.
    """

    target_id: str
    running: Count
    prefill_tokens: Count
    slowness_percent: Count = 0
    failed: Count = 0
    ended: Count = 0


# Loads that count at targets, each with its target.
AddedLoads = tuple[tuple[TrackedTarget, TargetLoad], ...]


def measure_load(target: TrackedTarget, now_s: float) -> TargetLoad:
    """Return what this gateway runs at a target and has observed of it."""
    failed, ended = target.failures.weighted_counts(now_s)
    return TargetLoad(
        target.registration.target_id,
        target.running,
        target.prefill_tokens,
        round(100 * target.slowness.value) if target.slowness.count else 0,
        round(10 * failed),
        round(10 * ended),
    )


def sum_loads(loads: Iterable[TargetLoad]) -> tuple[TargetLoad, ...]:
    """Return one load for each target; its slowness is that of the gateway that runs most there."""
    sums: dict[str, TargetLoad] = {}
    most_running: dict[str, int] = {}
    for load in loads:
        target_id = load.target_id
        known = sums.get(target_id, TargetLoad(target_id, 0, 0))
        slowness_percent = known.slowness_percent
        if load.slowness_percent and load.running >= most_running.get(target_id, 0):
            slowness_percent = load.slowness_percent
            most_running[target_id] = load.running
        sums[target_id] = TargetLoad(
            target_id,
            known.running + load.running,
            known.prefill_tokens + load.prefill_tokens,
            slowness_percent,
            known.failed + load.failed,
            known.ended + load.ended,
        )
    return tuple(sums.values())


def add_loads(targets: TargetTable, loads: Iterable[TargetLoad]) -> AddedLoads:
    """Add other gateways' loads to the targets that are known; return what was added."""
    added = []
    for load in loads:
        target = targets.get(load.target_id)
        if target is None:
            continue
        target.peer_running += load.running
        target.peer_prefill_tokens += load.prefill_tokens
        target.add_peer_attempts(load.failed, load.ended)
        # Until this gateway has observed the target itself, another's observation counts.
        if load.slowness_percent and not target.slowness.count:
            target.slowness.value = load.slowness_percent / 100
        added.append((target, load))
    return tuple(added)


def add_missing_loads(
    targets: TargetTable, loads: Iterable[TargetLoad], added: AddedLoads
) -> AddedLoads:
    """Add those loads that `add_loads` left out; return all that have been added.

    Notes
    -----
    A target that has started again since `add_loads` is none of them: what was reported of its
    earlier start does not count.
    """
    added_ids = {load.target_id for _, load in added}
    return added + add_loads(targets, (load for load in loads if load.target_id not in added_ids))


def subtract_loads(added: AddedLoads) -> None:
    """Subtract what `add_loads` added.

    Notes
    -----
    It is subtracted from the targets that it was added to: a target that has been registered, or
    has started again, since then keeps its load.
    """
    for target, load in added:
        target.add_peer_attempts(-load.failed, -load.ended)
        target.peer_running -= load.running
        target.peer_prefill_tokens -= load.prefill_tokens


def add_sent_parts(
    targets: TargetTable, sent_parts: Iterable[tuple[str, str]], now_s: float
) -> None:
    """Record prompt parts that other gateways have sent: pairs of target id and part id."""
    for target_id, part_id in sent_parts:
        target = targets.get(target_id)
        if target is not None:
            target.record_cached_parts((PromptPart(part_id, 0),), now_s)
