"""The task that brings a sidecar's engine to what the configuration wants it to hold."""

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

RECHECK_S = 10.0
PENDING_CHECK_S = 2.0
SETTLE_S = 2.0
OVERTAKEN_QUIET_S = 60.0


async def give_orders(
    sidecar: Sidecar,
    engine: EngineClient,
    slot_s: float,
) -> None:
    """Give one order at a time, for as long as the process lives.

    Parameters
    ----------
    slot_s : float
        Time between two loads of the same weights in the fleet.

    Notes
    -----
    Whatever became of an order, the next step is chosen from what the engine then holds.
    """
    await sidecar.active.wait_newer(0)
    while True:
        await sidecar.members.pauses.wait_fresh()
        try:
            pause_s = await _step(sidecar, engine, slot_s)
        except TargetError as error:
            sidecar.log.emit(events.ENGINE_UNREADABLE, reason=str(error))
            pause_s = SETTLE_S
        version = sidecar.active.stamp.version
        with anyio.move_on_after(pause_s):
            await sidecar.active.wait_newer(version)


async def _step(sidecar: Sidecar, engine: EngineClient, slot_s: float) -> float:
    """Do what is next, if anything, and return how long to wait before the next look."""
    state = await engine.state()
    if sidecar.orders.record_state(state):
        sidecar.log.emit(events.ORDERS_OVERTAKEN, fence=list(state.fence))
        return OVERTAKEN_QUIET_S
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
    # A pause since the state was read makes it old.
    if sidecar.members.pauses.is_fresh():
        await _order(sidecar, engine, step)
    return 0.0


def _target(sidecar: Sidecar) -> Target | None:
    return sidecar.active.configuration.targets.get(sidecar.target_name)


async def _order(sidecar: Sidecar, engine: EngineClient, step: Step) -> None:
    orders = sidecar.orders
    fence = orders.next_fence(sidecar.active.stamp.version)
    if fence is None:
        await anyio.sleep(SETTLE_S)
        return
    sidecar.log.emit(events.ORDER_GIVEN, kind=step.kind, name=step.name, fence=list(fence))
    try:
        await engine.order(EngineOrder(step.kind, step.name, fence))
        orders.refused = frozenset()
    except TargetError as error:
        orders.refused |= {step}
        sidecar.log.emit(events.ORDER_FAILED, kind=step.kind, name=step.name, reason=str(error))
        await anyio.sleep(SETTLE_S)
