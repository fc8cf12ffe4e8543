"""Tasks that go on after an unexpected error, which is logged."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from guavawalk import events
from guavawalk.process.observe.log import EventLog

__all__ = ["run_guarded", "run_restarting"]

# Pause before a task that failed is started again, in seconds.
RESTART_PAUSE_S = 0.2


async def run_guarded(log: EventLog, name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task; an unexpected error ends that task and nothing else."""
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
    """Run a task that lasts as long as the process, again after each unexpected error."""
    while True:
        await run_guarded(log, name, task)
        await anyio.sleep(RESTART_PAUSE_S)
