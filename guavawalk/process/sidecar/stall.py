"""Ending attempts whose target has gone silent."""

import anyio

from guavawalk.process.sidecar.state import Sidecar
from guavawalk.request.attempt import Attempt

__all__ = ["STALL_LIMIT_S", "watch_stalled"]

STALL_LIMIT_S = 600.0


async def watch_stalled(sidecar: Sidecar, stall_limit_s: float = STALL_LIMIT_S) -> None:
    """Interrupt attempts that had no byte for a whole interval, for as long as the process lives.

    Notes
    -----
    One look at all attempts for each interval stands for a timer at each read.
    """
    seen: dict[str, int] = {}
    while True:
        await anyio.sleep(stall_limit_s)
        running = [attempt for attempt in sidecar.attempts.live.values() if attempt.has_run]
        for attempt in running:
            if seen.get(attempt.offer.attempt_id) == attempt.answer.length:
                _cancel(attempt)
        seen = {attempt.offer.attempt_id: attempt.answer.length for attempt in running}


def _cancel(attempt: Attempt) -> None:
    if attempt.cancel_scope is not None:
        attempt.cancel_scope.cancel()
