"""Runs tasks so that an unexpected error is logged and does not end the process."""

import traceback
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import ByteStream, Listener, TaskGroup

from guavawalk import events
from guavawalk.process.observe.log import EventLog

__all__ = ["log_failure", "run_guarded", "run_restarting", "serve_guarded"]

# Delay before a failed task is restarted, in seconds.
RESTART_DELAY_S = 0.2
# Delay before connections are accepted again after an error, in seconds: while descriptors are
# short, some become free in that time.
ACCEPT_DELAY_S = 0.05


async def run_guarded(log: EventLog, name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task once; log an unexpected error instead of raising it."""
    try:
        await task()
    except Exception as error:
        log_failure(log, name, error)


def log_failure(log: EventLog, name: str, error: Exception, **fields: str) -> None:
    """Log an unexpected error, which is being handled, under `name` with further fields."""
    log.emit(
        events.TASK_FAILED,
        task=name,
        reason=f"{type(error).__name__}: {error}",
        trace=traceback.format_exc(limit=-4)[-1500:],
        **fields,
    )


async def run_restarting(log: EventLog, name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task until cancelled; restart it whenever it returns or fails.

    A failure is logged under `name`.
    """
    while True:
        await run_guarded(log, name, task)
        await anyio.sleep(RESTART_DELAY_S)


async def serve_guarded(
    log: EventLog,
    name: str,
    listener: Listener,
    serve: Callable[[ByteStream], Awaitable[None]],
) -> None:
    """Accept connections and serve each in a task of its own.

    Returns once the listener is closed and its connections have ended. An error while a connection
    is accepted, such as a lack of descriptors, or while one is served, is logged under `name`, and
    ends neither the other connections nor the listener.
    """
    is_open = True

    async def serve_one(stream: ByteStream) -> None:
        await run_guarded(log, name, lambda: serve(stream))

    async def accept(connections: TaskGroup) -> None:
        nonlocal is_open
        try:
            await listener.serve(serve_one, connections)
        except* anyio.ClosedResourceError:
            is_open = False

    async with anyio.create_task_group() as connections:
        while is_open:
            await run_guarded(log, f"{name} listener", lambda: accept(connections))
            await anyio.sleep(ACCEPT_DELAY_S)
