"""Leaving because the configuration or the platform's list says so."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.process.sidecar.admission import start_leaving, stop_leaving
from guavawalk.process.sidecar.leaving import LeaveReason

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["follow_notices"]


async def follow_notices(sidecar: Sidecar) -> None:
    """Leave while a notice says so, for as long as the process lives."""
    node_table = sidecar.members.node_table
    while True:
        _apply(sidecar, LeaveReason.CONFIGURATION, _is_configured(sidecar))
        _apply(sidecar, LeaveReason.INSTANCE_LIST, node_table.is_leaving(node_table.own.address))
        await node_table.wait_changed()


def _is_configured(sidecar: Sidecar) -> bool:
    configuration = sidecar.active.configuration
    target = configuration.targets.get(sidecar.target_name) if configuration else None
    return target is not None and target.leaving


def _apply(sidecar: Sidecar, reason: LeaveReason, holds: bool) -> None:
    if holds == (reason in sidecar.attempts.leave_tracker.reasons):
        return
    if holds:
        sidecar.log.emit(events.LEAVING_BEGUN, reason=reason.value)
        start_leaving(sidecar, reason)
    else:
        sidecar.log.emit(events.LEAVING_ENDED, reason=reason.value)
        stop_leaving(sidecar, reason)
