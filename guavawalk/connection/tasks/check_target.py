"""Finds out whether a target still runs that has cut off a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk.exception import TargetConnectError
from guavawalk.process.gateway.target_end import record_connect_failure

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.tracked_target import TrackedTarget

__all__ = ["check_target"]

# Longest time to connect, in seconds: the call that was cut off waits for it. A machine that is up
# answers within a round trip; without an answer, later evidence decides.
CHECK_TIMEOUT_S = 0.1


async def check_target(gateway: Gateway, target: TrackedTarget) -> None:
    """Connect to a target that has cut off a call: if it refuses, it has ended.

    Several calls that are cut off at once wait for one check. The connection is kept for later
    calls. A target that has just refused a connection is not asked again, and one of an evacuated
    data centre is not asked at all.
    """
    if target.end_check is not None:
        await target.end_check.wait()
        return
    registration = target.registration
    is_evacuated = registration.data_centre in gateway.targets.evacuated
    if is_evacuated or target.has_just_refused(gateway.clock.now_s()):
        return
    target.end_check = anyio.Event()
    try:
        connection = await gateway.connections.open(
            registration.target_id, registration.address, CHECK_TIMEOUT_S
        )
    except TargetConnectError as error:
        if error.is_refused:
            record_connect_failure(gateway, target, is_refused=True)
    else:
        await gateway.connections.release(connection, None, gateway.clock.now_s())
    finally:
        target.end_check.set()
        target.end_check = None
