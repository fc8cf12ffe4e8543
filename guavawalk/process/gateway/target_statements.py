"""Records what targets state of themselves in their answers: that they leave, or want quiet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.request.target_answer import AnswerFields

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import TrackedTarget

__all__ = ["record_statements"]


def record_statements(
    gateway: Gateway, target: TrackedTarget, fields: AnswerFields, request_id: str
) -> None:
    """Record the statements of one answer of a target.

    A target that leaves gets no more calls until a later start of it is registered; one that wants
    quiet gets none for the stated time.

    Parameters
    ----------
    request_id : str
        Id of the request on whose connection the answer arrived, for the log.
    """
    target_id = target.registration.target_id
    if fields.is_leaving and not target.is_leaving:
        target.is_leaving = True
        gateway.metrics.count("target_leaves_total")
        gateway.log.emit(events.TARGET_LEAVES, target=target_id, trace_id=request_id)
    if fields.is_quiet_invalid:
        gateway.metrics.count("target_quiet_invalid_total")
    if fields.quiet_s is None:
        return
    target.quiet_until_s = max(target.quiet_until_s, gateway.clock.now_s() + fields.quiet_s)
    gateway.metrics.count("target_quiets_total")
    gateway.log.emit(
        events.TARGET_QUIET,
        target=target_id,
        trace_id=request_id,
        quiet_ms=int(fields.quiet_s * 1000),
        is_invalid=fields.is_quiet_invalid,
    )
