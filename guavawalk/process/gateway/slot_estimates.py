"""Estimates from snapshots of targets: rates of calls, first events, risks of late ends."""

from collections.abc import Iterable, Iterator, Sequence

from guavawalk.request.call import Call
from guavawalk.request.target_choice import (
    TargetSnapshot,
    choose_target,
    unfinished_share,
    with_free_slot,
)

__all__ = ["best_first_event_s", "cut_off_risk", "likely_to_finish", "service_rate"]

# Risk of missing the deadline, from 0 to 1, above which a target gets a call only if no other has a
# lower risk: an answer that is cut off at the deadline would waste its slot.
MAX_UNFINISHED_RISK = 0.5
# Time for which a call is assumed to hold a slot of an engine while the rate of departures says
# nothing, in seconds.
ENGINE_SLOT_TIME_S = 1.0
# Shortest time for which a call is assumed to hold a slot, in seconds.
MIN_SLOT_TIME_S = 0.001


def service_rate(snapshot: TargetSnapshot) -> float:
    """Return the calls per second that a target can serve, by what is known of its answers."""
    slot_time_s = ENGINE_SLOT_TIME_S if snapshot.is_engine else snapshot.answer_s
    return snapshot.slots / max(slot_time_s, MIN_SLOT_TIME_S)


def likely_to_finish(
    call: Call, snapshots: Sequence[TargetSnapshot], now_s: float
) -> Iterator[TargetSnapshot]:
    """Yield the targets where the answer can end in time, or else those with the least risk."""
    risks = [unfinished_share(call, snapshot, now_s) for snapshot in snapshots]
    max_risk = max(MAX_UNFINISHED_RISK, min(risks, default=0.0))
    for snapshot, risk in zip(snapshots, risks):
        if risk <= max_risk:
            yield snapshot


def best_first_event_s(
    call: Call, local_data_centre: str, snapshots: Iterable[TargetSnapshot], now_s: float
) -> float | None:
    """Return the expected time to a first event, in seconds, at the best target; None without any.

    A busy target counts as if one of its slots were free.
    """
    best = choose_target(call, local_data_centre, map(with_free_slot, snapshots), now_s)
    return None if best is None else best.first_event_s


def cut_off_risk(
    call: Call,
    ends_s: float,
    local_data_centre: str,
    snapshots: Sequence[TargetSnapshot],
    now_s: float,
) -> float:
    """Return the risk that a call sent now to its best target is still running at `ends_s`.

    It is 0 without targets, and without a hint of the answer's length.
    """
    choice = choose_target(call, local_data_centre, snapshots, now_s)
    cut_off = call._replace(deadline_s=ends_s)
    return max(
        (
            unfinished_share(cut_off, snapshot, now_s)
            for snapshot in snapshots
            if snapshot.target_id == choice.target_id
        ),
        default=0.0,
    )
