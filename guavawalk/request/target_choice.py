"""Chooses the target for a call's next attempt by least expected cost.

The cost of a target is the expected loss as a share of the call's value: from a late first event,
from a failure, from an answer that is unfinished at the deadline, from traffic between data
centres, and from the load that the call adds for other calls at the target.
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

# Cost of traffic between two data centres, as a share of a call's value, from the deployments'
# price for each byte and the usual size of requests and answers.
CROSSING_COST = 0.04
# Extra cost of a target with all slots in use over an idle one, as a share of a call's value: the
# call slows down the others there.
LOAD_COST = 0.10
# Time from arrival to the expected first event, as a share of the latency goal: up to the first
# value the risk of being late is 0, from the second on it is 1, and between them it rises linearly.
# The width covers the error of the estimates.
SAFE_GOAL_SHARE = 0.55
LATE_GOAL_SHARE = 1.25
# Cost of a late first event or answer, as a share of a call's value.
LATE_COST = 0.7
# Additional cost, as a share of a call's value, for each length of the latency goal by which the
# first event is expected later than `LATE_GOAL_SHARE`.
EXTRA_LATE_COST = 0.1
# Expected run time as a share of the time to the deadline: up to the first value the risk of not
# finishing is 0, from the second on it is 1, and between them it rises linearly. The width covers
# the error of callers' length hints.
SAFE_TIME_SHARE = 0.6
UNFINISHED_TIME_SHARE = 1.4
# Part of a run's usual time, in seconds, that a call waits for each request beyond the engine's
# slots, itself included; divided by the number of slots, since any of them may become free.
QUEUED_REQUEST_S = 0.8


class TargetSnapshot(NamedTuple):
    """State of one target as a gateway estimates it at one moment, for one call.

    Attributes
    ----------
    slots : int
        Requests that the target runs at once.
    running : int
        Requests that all gateways have at the target.
    prefill_tokens : int
        Prompt tokens of those that have not sent their first event.
    slowness : float
        The target's times as a multiple of the nominal ones.
    answer_s : float
        Usual time to the answer of a plain service, in seconds; not used for an engine.
    failure_share : float
        Share of the recent requests that failed at the target, from 0 to 1.
    overdue : int
        Requests at the target that have sent nothing for far longer than expected.
    cached_tokens : int
        Tokens of the call's prompt expected in the target's cache.
    is_engine : bool
        Whether the target runs a model; otherwise it is a plain service.
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
    """A target with the expected time to the first event and the expected cost.

    Attributes
    ----------
    first_event_s : float
        Time to the first event, or to the answer of a plain service, in seconds.
    cost : float
        Expected loss as a share of the call's value; it may exceed 1.
    """

    target_id: str
    first_event_s: float
    cost: float


def expected_first_event_s(call: Call, snapshot: TargetSnapshot) -> float:
    """Return the expected time to the first event, or the answer of a plain service, in seconds."""
    excess = snapshot.running - snapshot.slots + 1
    if not snapshot.is_engine:
        wait_s = max(excess, 0) * snapshot.answer_s / max(snapshot.slots, 1)
        return snapshot.answer_s + wait_s
    first_event_s = nominal_first_event_s(
        call.fields.prompt_tokens, snapshot.cached_tokens, snapshot.prefill_tokens
    )
    wait_s = max(excess, 0) * QUEUED_REQUEST_S / max(snapshot.slots, 1)
    return snapshot.slowness * (first_event_s + wait_s)


def unfinished_share(call: Call, snapshot: TargetSnapshot, now_s: float) -> float:
    """Return the risk that an answer is unfinished at the call's deadline, from 0 to 1.

    Notes
    -----
    The length of the answer is the caller's hint; without one the risk is 0.
    """
    # The run time is the gap before a single event that holds the whole answer.
    run_s = snapshot.slowness * nominal_event_gap_s(
        call.fields.hinted_output_tokens, snapshot.running
    )
    time_share = run_s / max(call.deadline_s - now_s, 0.001)
    return min(
        max((time_share - SAFE_TIME_SHARE) / (UNFINISHED_TIME_SHARE - SAFE_TIME_SHARE), 0.0), 1.0
    )


def target_cost(
    call: Call, local_data_centre: str, snapshot: TargetSnapshot, now_s: float
) -> TargetChoice:
    """Return a target with the time to the first event and the cost expected for a call there."""
    first_event_s = expected_first_event_s(call, snapshot)
    time_share = (now_s + first_event_s - call.arrived_s) / max(call.route.latency_goal_s, 0.001)
    late_share = min(
        max((time_share - SAFE_GOAL_SHARE) / (LATE_GOAL_SHARE - SAFE_GOAL_SHARE), 0.0), 1.0
    )
    cost = LATE_COST * late_share + EXTRA_LATE_COST * max(time_share - LATE_GOAL_SHARE, 0.0)
    # Each overdue request, up to two, counts as much as a failure share of 0.5.
    cost += snapshot.failure_share + 0.5 * min(snapshot.overdue, 2)
    cost += unfinished_share(call, snapshot, now_s)
    cost += LOAD_COST * snapshot.running / max(snapshot.slots, 1)
    if snapshot.data_centre != local_data_centre:
        cost += CROSSING_COST
    return TargetChoice(snapshot.target_id, first_event_s, cost)


def choose_target(
    call: Call, local_data_centre: str, snapshots: Iterable[TargetSnapshot], now_s: float
) -> TargetChoice | None:
    """Return the target with the least expected cost; None if there are no snapshots.

    Parameters
    ----------
    local_data_centre : str
        Data centre of the gateway.
    now_s : float
        On this process's monotonic clock.
    """
    costs = (target_cost(call, local_data_centre, snapshot, now_s) for snapshot in snapshots)
    return min(costs, key=lambda choice: choice.cost, default=None)
