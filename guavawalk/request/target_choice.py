"""Choosing the target that runs a call next.

The cost of a target is the share of the call's worth that is expected to be lost there: by a late
first event, by a failure, by crossing between data centres, and by filling the target for others.
"""

from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.request.call import Call
from guavawalk.request.engine_time import nominal_event_gap_s, nominal_first_event_s

__all__ = [
    "TargetChoice",
    "TargetSnapshot",
    "choose_target",
    "expected_first_event_s",
    "unfinished_share",
]

# Share of a call's worth that the traffic between two data centres costs, after the deployments'
# price of bytes and the usual size of requests and answers.
CROSSING_COST = 0.04
# Cost of a target whose slots are all taken against an empty one: what the call's tokens slow down.
LOAD_COST = 0.10
# Of its goal, the part that a first event may take without a risk of being late, and the part from
# which it is late for certain; the estimates are that exact.
SAFE_PART = 0.55
LATE_PART = 1.25
# Share of the worth that a late answer loses.
LATE_COST = 0.7
# Further loss for each goal's length that the first event is later still.
LATER_COST = 0.1
# Of the time that a call has left, the part that its answer may take at a target without a risk of
# not ending in time, and the part from which it is not expected to; hints are that exact.
ENDING_PART = 0.6
UNENDING_PART = 1.4
# Time that a call waits behind each one over the target's slots, as a part of a run's usual time.
QUEUED_RUN_S = 0.8


class TargetSnapshot(NamedTuple):
    """What is believed of one target, for one call.

    Attributes
    ----------
    running : int
        Requests that all gateways have there.
    prefill_tokens : int
        Prompt tokens of those that have given no event yet.
    slowness : float
        Its times as a multiple of the nominal ones.
    answer_s : float
        Usual time to an answer of a plain service.
    failure_share : float
        Share of lately sent requests that it failed.
    overdue : int
        Requests there that have given nothing for far longer than expected.
    cached_tokens : int
        Tokens of the call's prompt that it is believed to hold.
    is_engine : bool
        Whether it runs a model; else a plain service.
    """

    target_id: str
    data_centre: str
    slots: int
    running: int = 0
    prefill_tokens: int = 0
    slowness: float = 1.0
    answer_s: float = 0.05
    failure_share: float = 0.0
    overdue: int = 0
    cached_tokens: int = 0
    is_engine: bool = True


class TargetChoice(NamedTuple):
    """A target with the time and cost expected there."""

    target_id: str
    first_event_s: float
    cost: float


def expected_first_event_s(call: Call, snapshot: TargetSnapshot) -> float:
    """Return the time until the first event, or the answer of a plain service, in seconds."""
    over = snapshot.running - snapshot.slots + 1
    if not snapshot.is_engine:
        wait_s = max(over, 0) * snapshot.answer_s / max(snapshot.slots, 1)
        return snapshot.answer_s + wait_s
    first_event_s = nominal_first_event_s(
        call.fields.prompt_tokens, snapshot.cached_tokens, snapshot.prefill_tokens
    )
    wait_s = max(over, 0) * QUEUED_RUN_S / max(snapshot.slots, 1)
    return snapshot.slowness * (first_event_s + wait_s)


def unfinished_share(call: Call, snapshot: TargetSnapshot, now_s: float) -> float:
    """Return the risk that an answer does not end before the call's deadline, from 0 to 1."""
    run_s = snapshot.slowness * nominal_event_gap_s(
        call.fields.hinted_output_tokens, snapshot.running
    )
    part = run_s / max(call.deadline_s - now_s, 0.001)
    return min(max((part - ENDING_PART) / (UNENDING_PART - ENDING_PART), 0.0), 1.0)


def target_cost(
    call: Call, local_data_centre: str, snapshot: TargetSnapshot, now_s: float
) -> TargetChoice:
    """Return the share of a call's worth that is expected to be lost at a target."""
    first_event_s = expected_first_event_s(call, snapshot)
    part = (now_s + first_event_s - call.arrived_s) / max(call.route.latency_goal_s, 0.001)
    late = min(max((part - SAFE_PART) / (LATE_PART - SAFE_PART), 0.0), 1.0)
    cost = LATE_COST * late + LATER_COST * max(part - LATE_PART, 0.0)
    cost += snapshot.failure_share + 0.5 * min(snapshot.overdue, 2)
    cost += unfinished_share(call, snapshot, now_s)
    cost += LOAD_COST * snapshot.running / max(snapshot.slots, 1)
    if snapshot.data_centre != local_data_centre:
        cost += CROSSING_COST
    return TargetChoice(snapshot.target_id, first_event_s, cost)


def choose_target(
    call: Call, local_data_centre: str, snapshots: Iterable[TargetSnapshot], now_s: float
) -> TargetChoice | None:
    """Return the target with the least expected loss; None if there is none."""
    costs = (target_cost(call, local_data_centre, snapshot, now_s) for snapshot in snapshots)
    return min(costs, key=lambda choice: choice.cost, default=None)
