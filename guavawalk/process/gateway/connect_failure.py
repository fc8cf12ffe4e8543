"""Records that a target accepted no connection: a pause, and calls suspected of its crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import TrackedTarget

__all__ = ["record_connect_failure"]


def record_connect_failure(gateway: Gateway, target: TrackedTarget) -> None:
    """Pause a target that accepted no connection; suspect the calls whose answers it cut off."""
    now_s = gateway.clock.now_s()
    pause_s = target.record_connect_failure(now_s)
    target_id = target.registration.target_id
    if pause_s:
        gateway.log.emit(
            events.TARGET_PAUSED,
            target=target_id,
            pause_ms=int(pause_s * 1000),
            failure_share=round(target.failure_share(now_s), 2),
            silent_ms=int((now_s - target.last_answer_s) * 1000) if target.last_answer_s else None,
        )
    for fingerprint in target.pop_crash_suspects(now_s):
        gateway.suspects.record_target_death(fingerprint, target_id)
        gateway.log.emit(
            events.CALL_SUSPECTED,
            target=target_id,
            fingerprint=fingerprint,
            blocked=gateway.suspects.is_blocked(fingerprint),
        )
