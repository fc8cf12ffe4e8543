"""Decides whether a call is refused since its request, or a part of its prompt, ends targets."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.part_suspects import SETTLE_S

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import CutCall, TrackedTarget
    from guavawalk.request.call import Call

__all__ = [
    "clear_part",
    "clear_request",
    "ends_targets",
    "record_ended_with",
    "record_outlived",
    "refuse_or_try",
    "report_parts",
    "settles_in_s",
]


def ends_targets(gateway: Gateway, call: Call) -> bool:
    """Return whether a call must not be sent, since its request or a part of it ends targets.

    A trial may be sent, unless it is certain that its request does.
    """
    if _is_request_blocked(gateway, call):
        return not (call.is_trial and _may_have_common_cause(gateway, call))
    return not call.is_trial and bool(gateway.part_suspects.blocking_parts(call.shared_parts))


def _is_request_blocked(gateway: Gateway, call: Call) -> bool:
    if not gateway.suspects.is_suspect(call.fingerprint):
        return False
    explained = gateway.part_suspects.explained_targets(call.shared_parts)
    return gateway.suspects.is_blocked(call.fingerprint, explained)


def _may_have_common_cause(gateway: Gateway, call: Call) -> bool:
    explained = gateway.part_suspects.explained_targets(call.shared_parts)
    return gateway.suspects.may_have_common_cause(call.fingerprint, explained)


def settles_in_s(gateway: Gateway, call: Call, has_been_sent: bool) -> float:
    """Return the time until other gateways have told what they know of a suspected call.

    Returns
    -------
    float
        In seconds; 0 if the call need not wait.
    """
    if has_been_sent and gateway.part_suspects.is_doubtful(call.shared_parts):
        return SETTLE_S
    return gateway.suspects.settles_in_s(call.fingerprint)


def refuse_or_try(gateway: Gateway, call: Call, has_been_sent: bool = False) -> Call:
    """Return a call that may be sent: as it is, or as a trial that is attempted at one target only.

    Parameters
    ----------
    has_been_sent : bool, optional
        Whether a target has got the call before; it is no trial then.

    Raises
    ------
    RequestError
        `CRASH_SUSPECT` if its request or a part of it ends targets, and no trial is due.
    """
    if not ends_targets(gateway, call) and not (
        has_been_sent and gateway.part_suspects.is_doubtful(call.shared_parts)
    ):
        return call
    if not has_been_sent:
        if _is_request_blocked(gateway, call):
            if _may_have_common_cause(gateway, call):
                return _begin_request_trial(gateway, call)
        elif tried := gateway.part_suspects.begin_trial(call.shared_parts, gateway.peers.count()):
            return _begin_part_trial(gateway, call, tried)
    blocking = gateway.part_suspects.blocking_parts(call.shared_parts)
    reason = ", ".join(f"part {part.part_id:.32}" for part in blocking)
    raise RequestError(ResultCode.CRASH_SUSPECT, reason)


def _begin_request_trial(gateway: Gateway, call: Call) -> Call:
    gateway.log.emit(
        events.CALL_TRIED, trace_id=call.fields.request_id, fingerprint=call.fingerprint
    )
    return call._replace(is_trial=True)


def _begin_part_trial(gateway: Gateway, call: Call, tried: Sequence[int]) -> Call:
    gateway.part_news.add(tried)
    for key in tried:
        suspicion = gateway.part_suspects.get(key)
        gateway.metrics.count("part_trials_total")
        gateway.log.emit(
            events.PART_TRIED,
            trace_id=call.fields.request_id,
            part=suspicion.name,
            key=key,
            trials=suspicion.counted_trials,
            targets=len(suspicion.counted_deaths),
        )
    return call._replace(is_trial=True)


def record_ended_with(gateway: Gateway, target: TrackedTarget, cut: CutCall) -> None:
    """Record that a target ended while a call was in flight there that had just begun to run."""
    if not cut.is_early or not cut.parts:
        return
    changed = gateway.part_suspects.record_target_death(
        cut.parts, target.registration.start_name, cut.cut_s
    )
    report_parts(gateway, changed, "")
    gateway.part_news.add(changed)


def record_outlived(gateway: Gateway, call: Call, sent_s: float) -> None:
    """Record that a run of a call, sent at `sent_s`, has gone on: its parts did not end the target.

    Parameters
    ----------
    sent_s : float
        On the process's monotonic clock.
    """
    cleared = gateway.part_suspects.record_survival(call.shared_parts, sent_s)
    gateway.part_news.add(cleared)
    report_parts(gateway, cleared, "")


def clear_part(gateway: Gateway, key: int) -> bool:
    """Clear a part at all gateways; return False if it was not suspected here."""
    if not gateway.part_suspects.clear(key):
        return False
    gateway.part_news.add((key,))
    report_parts(gateway, (key,), "")
    return True


def clear_request(gateway: Gateway, fingerprint: int) -> bool:
    """Clear a request at all gateways; return False if it was not suspected here."""
    if not gateway.suspects.record_completed(fingerprint):
        return False
    gateway.crash_news.add((fingerprint,))
    return True


def report_parts(gateway: Gateway, changed: Iterable[int], source: str) -> None:
    """Log the parts that have come to be blamed, and those that no longer are.

    Parameters
    ----------
    changed : iterable of int
        Keys of parts of which something is new.
    source : str
        Data centre of the gateway that told of it; empty for this one.
    """
    for key, is_blamed in gateway.part_suspects.pop_verdicts(changed):
        suspicion = gateway.part_suspects.get(key)
        gateway.log.emit(
            events.PART_BLAMED if is_blamed else events.PART_CLEARED,
            part=suspicion.name,
            key=key,
            targets=len(suspicion.counted_deaths),
            source=source,
        )
