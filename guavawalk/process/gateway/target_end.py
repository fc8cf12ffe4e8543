"""Records evidence that a target has ended: a refused connection, a new start, a lapsed entry."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.process.gateway.crash_refusal import record_ended_with

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import CutCall, TrackedTarget

__all__ = ["EndEvidence", "record_connect_failure", "record_cut_call", "record_target_end"]

# Most ids of prompt parts in one log line.
MAX_LOGGED_PARTS = 8


class EndEvidence(Enum):
    """What shows that a target has ended.

    `REFUSED`: it refused a connection. `RESTARTED`: a later start of it is registered, under its id
    or at its address. `LAPSED`: its registration is gone.
    """

    REFUSED = "refused"
    RESTARTED = "restarted"
    LAPSED = "lapsed"


def record_connect_failure(gateway: Gateway, target: TrackedTarget, is_refused: bool) -> None:
    """Pause a target that accepted no connection; one that refused it has ended.

    Parameters
    ----------
    is_refused : bool
        Whether its machine refused the connection; False if there was no answer.
    """
    now_s = gateway.clock.now_s()
    pause_s = target.record_connect_failure(now_s)
    if pause_s:
        gateway.log.emit(
            events.TARGET_PAUSED,
            target=target.registration.target_id,
            pause_ms=int(pause_s * 1000),
            failure_share=round(target.failure_share(now_s), 2),
            silent_ms=int((now_s - target.last_answer_s) * 1000) if target.last_answer_s else None,
            is_refused=is_refused,
        )
    if is_refused:
        target.record_refusal(now_s)
        record_target_end(gateway, target, EndEvidence.REFUSED)


def record_target_end(gateway: Gateway, target: TrackedTarget, evidence: EndEvidence) -> None:
    """Record evidence that a target has ended; suspect the calls that were cut off there.

    Notes
    -----
    A target that does not answer or whose entry has lapsed may live behind a broken link: calls
    that this gateway gave up there are suspected only once the target has started again.
    """
    now_s = gateway.clock.now_s()
    has_restarted = evidence is EndEvidence.RESTARTED
    cut_calls = target.pop_cut_calls(now_s, must_be_closed=not has_restarted)
    registration = target.registration
    gateway.metrics.count("target_ends_total", evidence=evidence.value)
    gateway.log.emit(
        events.TARGET_ENDED,
        target=registration.target_id,
        evidence=evidence.value,
        running=target.running,
        cut_calls=len(cut_calls),
    )
    for cut in cut_calls:
        _suspect_call(gateway, target, cut)


def _suspect_call(gateway: Gateway, target: TrackedTarget, cut: CutCall) -> None:
    """Record a call that was cut off by the end of a target."""
    record_ended_with(gateway, target, cut)
    registration, suspects = target.registration, gateway.suspects
    fingerprint = cut.fingerprint
    if not suspects.record_target_death(
        fingerprint, registration.start_name, cut.cut_s, cut.is_early
    ):
        return
    gateway.crash_news.add((fingerprint,))
    gateway.log.emit(
        events.CALL_SUSPECTED,
        target=registration.target_id,
        fingerprint=fingerprint,
        parts=[part.part_id for part in cut.parts[:MAX_LOGGED_PARTS]],
        is_early=cut.is_early,
        blocked=suspects.is_blocked(
            fingerprint, gateway.part_suspects.explained_targets(cut.parts)
        ),
    )


def record_cut_call(gateway: Gateway, target: TrackedTarget, cut: CutCall) -> None:
    """Record a call that was cut off at a target, unless the target was leaving."""
    registration = target.registration
    if registration.draining or gateway.targets.get(registration.target_id) is not target:
        return
    if cut.was_closed and target.has_just_refused(cut.cut_s):
        _suspect_call(gateway, target, cut)
    else:
        target.record_cut_call(cut)
