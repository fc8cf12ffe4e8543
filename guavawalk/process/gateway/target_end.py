"""Records evidence that a target has ended: a refused connection, a new start, a lapsed entry."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from guavawalk import events

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import TrackedTarget

__all__ = ["EndEvidence", "record_connect_failure", "record_target_end"]


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
    suspects = target.pop_crash_suspects(now_s)
    _suspect(gateway, target, suspects)
    if is_refused:
        record_target_end(gateway, target, EndEvidence.REFUSED)


def record_target_end(gateway: Gateway, target: TrackedTarget, evidence: EndEvidence) -> None:
    """Log and count evidence that a target has ended."""
    gateway.metrics.count("target_ends_total", evidence=evidence.value)
    gateway.log.emit(
        events.TARGET_ENDED,
        target=target.registration.target_id,
        evidence=evidence.value,
        running=target.running,
    )


def _suspect(gateway: Gateway, target: TrackedTarget, fingerprints: tuple[int, ...]) -> None:
    target_id = target.registration.target_id
    for fingerprint in fingerprints:
        gateway.suspects.record_target_death(fingerprint, target_id)
        gateway.log.emit(
            events.CALL_SUSPECTED,
            target=target_id,
            fingerprint=fingerprint,
            blocked=gateway.suspects.is_blocked(fingerprint),
        )
