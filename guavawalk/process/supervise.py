"""Runs tasks so that an unexpected error is logged and does not end the process."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from guavawalk import events
from guavawalk.process.observe.log import EventLog

__all__ = ["run_guarded", "run_restarting"]

# Delay before a failed task is restarted, in seconds.
RESTART_DELAY_S = 0.2


async def run_guarded(log: EventLog, name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task once; log an unexpected error instead of raising it."""
    try:
        await task()
    except Exception as error:
        log.emit(
            events.TASK_FAILED,
            task=name,
            reason=f"{type(error).__name__}: {error}",
            trace=traceback.format_exc(limit=-4)[-1500:],
        )


async def run_restarting(log: EventLog, name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task until cancelled; restart it whenever it returns or fails.

    A failure is logged under `name`.
    """
    while True:
        await run_guarded(log, name, task)
        await anyio.sleep(RESTART_DELAY_S)
