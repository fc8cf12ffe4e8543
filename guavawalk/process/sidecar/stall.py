"""Cancels attempts whose target has stopped sending."""

import anyio

from guavawalk.process.sidecar.state import Sidecar
from guavawalk.request.attempt import Attempt

__all__ = ["STALL_LIMIT_S", "watch_stalled"]

# Time between two checks; an attempt without a new byte between them is cancelled.
STALL_LIMIT_S = 600.0


async def watch_stalled(sidecar: Sidecar, stall_limit_s: float = STALL_LIMIT_S) -> None:
    """Cancel attempts that received no byte for a whole interval, for as long as the process lives.

    Notes
    -----
    A stalled attempt is cancelled between one and two intervals after its last byte. One check of
    all attempts for each interval replaces a timer for each read.
    """
    previous_lengths: dict[str, int] = {}
    while True:
        await anyio.sleep(stall_limit_s)
        running = [attempt for attempt in sidecar.attempts.live.values() if attempt.has_run]
        for attempt in running:
            if previous_lengths.get(attempt.offer.attempt_id) == attempt.answer.length:
                _cancel(attempt)
        previous_lengths = {attempt.offer.attempt_id: attempt.answer.length for attempt in running}


def _cancel(attempt: Attempt) -> None:
    if attempt.cancel_scope is not None:
        attempt.cancel_scope.cancel()
