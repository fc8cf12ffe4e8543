"""Chooses the target for a call's next attempt by least expected cost.

The cost of a target is the expected loss as a share of the call's value: from a late first event,
from a failure, from an answer that is unfinished at the deadline, from traffic between data
centres, and from the load that the call adds for other calls at the target.
"""

from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.request.call import Call
from guavawalk.request.crossing import (
    CROSSING_DELAY_S,
    NO_LOADS,
    CrossingReason,
    ServiceLoads,
    crossing_cost,
)
from guavawalk.request.engine_time import nominal_event_gap_s, nominal_first_event_s

__all__ = [
    "TargetChoice",
    "TargetSnapshot",
    "choose_target",
    "expected_first_event_s",
    "leaving_pays",
    "unfinished_share",
    "with_free_slot",
]

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
# Least share of a data centre's calls that is assumed of a gateway when its wait is estimated.
MIN_SENDER_SHARE = 0.01


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
    reason : CrossingReason
        Why the target is in another data centre.
    """

    target_id: str
    first_event_s: float
    cost: float
    reason: CrossingReason = CrossingReason.NONE


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
    call: Call,
    local_data_centre: str,
    snapshot: TargetSnapshot,
    now_s: float,
    loads: ServiceLoads = NO_LOADS,
) -> TargetChoice:
    """Return a target with the time to the first event and the cost expected for a call there."""
    first_event_s = expected_first_event_s(call, snapshot)
    cost = 0.0
    if snapshot.data_centre != local_data_centre:
        first_event_s += CROSSING_DELAY_S
        cost += crossing_cost(call, loads, snapshot.data_centre)
    time_share = (now_s + first_event_s - call.arrived_s) / max(call.route.latency_goal_s, 0.001)
    late_share = min(
        max((time_share - SAFE_GOAL_SHARE) / (LATE_GOAL_SHARE - SAFE_GOAL_SHARE), 0.0), 1.0
    )
    cost += LATE_COST * late_share + EXTRA_LATE_COST * max(time_share - LATE_GOAL_SHARE, 0.0)
    cost += _failure_cost(snapshot)
    cost += unfinished_share(call, snapshot, now_s)
    cost += _load_cost(snapshot)
    return TargetChoice(snapshot.target_id, first_event_s, cost)


def _failure_cost(snapshot: TargetSnapshot) -> float:
    # Each overdue request, up to two, counts as much as a failure share of 0.5.
    return snapshot.failure_share + 0.5 * min(snapshot.overdue, 2)


def _load_cost(snapshot: TargetSnapshot) -> float:
    return LOAD_COST * snapshot.running / max(snapshot.slots, 1)


def choose_target(
    call: Call,
    local_data_centre: str,
    snapshots: Iterable[TargetSnapshot],
    now_s: float,
    loads: ServiceLoads = NO_LOADS,
) -> TargetChoice | None:
    """Return the target with the least expected cost; None if there are no snapshots.

    Parameters
    ----------
    local_data_centre : str
        Data centre of the gateway.
    now_s : float
        On this process's monotonic clock.
    loads : ServiceLoads, optional
        Loads of the data centres; by default they are not known.

    Notes
    -----
    A free slot of another data centre is not preferred to one here for a lower load there.
    """
    own: tuple[TargetChoice, TargetSnapshot] | None = None
    distant: tuple[TargetChoice, TargetSnapshot] | None = None
    for snapshot in snapshots:
        choice = target_cost(call, local_data_centre, snapshot, now_s, loads)
        if snapshot.data_centre == local_data_centre:
            if own is None or choice.cost < own[0].cost:
                own = choice, snapshot
        elif distant is None or choice.cost < distant[0].cost:
            distant = choice, snapshot
    if distant is None:
        return None if own is None else own[0]
    if own is None:
        reason = CrossingReason.FULL if loads.own.slots else CrossingReason.NO_TARGET
        return distant[0]._replace(reason=reason)
    gain = own[0].cost - _load_cost(own[1]) - distant[0].cost + _load_cost(distant[1])
    if gain <= 0.0:
        return own[0]
    is_failing = 2 * (_failure_cost(own[1]) - _failure_cost(distant[1])) > gain
    reason = CrossingReason.FAILURE if is_failing else CrossingReason.GOAL
    return distant[0]._replace(reason=reason)


def leaving_pays(
    call: Call,
    local_data_centre: str,
    own: Iterable[TargetSnapshot],
    distant: TargetSnapshot,
    now_s: float,
    loads: ServiceLoads,
) -> bool:
    """Return whether a target of another data centre costs less than any of the own one.

    Parameters
    ----------
    own : iterable of TargetSnapshot
        Targets of the own data centre, busy ones included.

    Notes
    -----
    The wait for a busy target is that of all calls in the queue, since a call that stays delays
    those behind it. Of the slots that become free, this gateway gets its share. The load itself is
    not compared, as in `choose_target`.
    """
    there = target_cost(call, local_data_centre, distant, now_s, loads).cost - _load_cost(distant)
    goal_s = max(call.route.latency_goal_s, 0.001)
    for snapshot in own:
        here = target_cost(call, local_data_centre, snapshot, now_s, loads).cost
        if snapshot.running >= snapshot.slots:
            is_engine = snapshot.is_engine
            usual_s = QUEUED_REQUEST_S * snapshot.slowness if is_engine else snapshot.answer_s
            ahead = loads.waiting + 1 / max(loads.sender_share, MIN_SENDER_SHARE)
            wait_s = usual_s * ahead / max(loads.own.slots, 1)
            here += LATE_COST * min(wait_s / goal_s, 1.0)
        if here - _load_cost(snapshot) <= there:
            return False
    return True


def with_free_slot(snapshot: TargetSnapshot) -> TargetSnapshot:
    """Return a snapshot as if one of the target's slots were free."""
    return snapshot._replace(running=min(snapshot.running, snapshot.slots - 1))
