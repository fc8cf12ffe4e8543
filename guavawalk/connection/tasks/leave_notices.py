"""The task that lets a sidecar's target leave when it is marked as leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.process.sidecar.admission import start_leaving, stop_leaving
from guavawalk.process.sidecar.leaving import LeaveReason

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["follow_notices"]


async def follow_notices(sidecar: Sidecar) -> None:
    """Let the target leave while the configuration or the instance list marks it as leaving.

    New offers are admitted again once no reason to leave is left. Runs until cancelled.
    """
    node_table = sidecar.members.node_table
    while True:
        _set_reason(sidecar, LeaveReason.CONFIGURATION, _is_configured_as_leaving(sidecar))
        _set_reason(
            sidecar, LeaveReason.INSTANCE_LIST, node_table.is_leaving(node_table.own_node.address)
        )
        await node_table.wait_changed()


def _is_configured_as_leaving(sidecar: Sidecar) -> bool:
    configuration = sidecar.active.configuration
    target = configuration.targets.get(sidecar.target_name) if configuration else None
    return target is not None and target.leaving


def _set_reason(sidecar: Sidecar, reason: LeaveReason, is_active: bool) -> None:
    if is_active == (reason in sidecar.attempts.leave_tracker.reasons):
        return
    if is_active:
        sidecar.log.emit(events.LEAVING_BEGUN, reason=reason.value)
        start_leaving(sidecar, reason)
    else:
        sidecar.log.emit(events.LEAVING_ENDED, reason=reason.value)
        stop_leaving(sidecar, reason)
