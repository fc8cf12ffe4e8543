"""The task that orders a sidecar's engine to load what the configuration assigns to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.target import EngineClient, EngineOrder
from guavawalk.exception import TargetError
from guavawalk.process.orders.reconcile import (
    Step,
    next_step,
    targets_sharing_weights,
    weight_load_wait_s,
)

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar
    from guavawalk.version.types import Target

__all__ = ["give_orders"]

# Time to the next check of the engine, in seconds: when its state matches the configuration, while
# an order is pending, and after an error.
RECHECK_S = 10.0
PENDING_CHECK_S = 2.0
FAILURE_PAUSE_S = 2.0
# Pause after another process has given the engine orders, in seconds.
OVERTAKEN_PAUSE_S = 60.0


async def give_orders(
    sidecar: Sidecar,
    engine: EngineClient,
    slot_s: float,
) -> None:
    """Give the engine one order at a time until its state matches the configuration; then wait.

    Runs until cancelled.

    Parameters
    ----------
    slot_s : float
        Length of the slots in which the targets of the fleet load the same weights in turn, in
        seconds.

    Notes
    -----
    Each step is determined from the engine's present state, whether the previous order succeeded or
    not. After an order of another process the engine is left alone for `OVERTAKEN_PAUSE_S`.
    """
    await sidecar.active.wait_newer(0)
    while True:
        await sidecar.members.pauses.wait_fresh()
        try:
            pause_s = await _step(sidecar, engine, slot_s)
        except TargetError as error:
            sidecar.log.emit(events.ENGINE_UNREADABLE, reason=str(error))
            pause_s = FAILURE_PAUSE_S
        version = sidecar.active.stamp.version
        with anyio.move_on_after(pause_s):
            await sidecar.active.wait_newer(version)


async def _step(sidecar: Sidecar, engine: EngineClient, slot_s: float) -> float:
    """Do the next step, if there is one; return the seconds to wait before the next check."""
    state = await engine.state()
    if sidecar.orders.record_state(state):
        sidecar.log.emit(events.ORDERS_OVERTAKEN, fence=list(state.fence))
        return OVERTAKEN_PAUSE_S
    target = _target(sidecar)
    if state.pending:
        return PENDING_CHECK_S
    step = next_step(target.desired, state, sidecar.orders.refused) if target else None
    if step is None:
        return RECHECK_S
    if step.uses_weight_store:
        sharers = targets_sharing_weights(step.name, sidecar.active.configuration)
        wait_s = weight_load_wait_s(target.name, sharers, sidecar.clock.wall_s(), slot_s)
        if wait_s:
            return wait_s
    # If this process was paused after it read the state, the state may be out of date. No order is
    # given then, and the next check reads the state again.
    if sidecar.members.pauses.is_fresh():
        await _issue_order(sidecar, engine, step)
    return 0.0


def _target(sidecar: Sidecar) -> Target | None:
    return sidecar.active.configuration.targets.get(sidecar.target_name)


async def _issue_order(sidecar: Sidecar, engine: EngineClient, step: Step) -> None:
    orders = sidecar.orders
    fence = orders.next_fence(sidecar.active.stamp.version)
    if fence is None:
        # An order of a newer version is known. This process waits until it has that version too.
        await anyio.sleep(FAILURE_PAUSE_S)
        return
    sidecar.log.emit(events.ORDER_GIVEN, kind=step.kind, name=step.name, fence=list(fence))
    try:
        await engine.order(EngineOrder(step.kind, step.name, fence))
        orders.refused = frozenset()
    except TargetError as error:
        orders.refused |= {step}
        sidecar.log.emit(events.ORDER_FAILED, kind=step.kind, name=step.name, reason=str(error))
        await anyio.sleep(FAILURE_PAUSE_S)
