"""Signals: the first asks for a graceful end, the second forces it."""

import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

__all__ = ["watch_signals"]


async def watch_signals(
    on_first: Callable[[], None],
    on_second: Callable[[], None],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Wait for SIGTERM or SIGINT, twice."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        await anext(signals)
        on_first()
        await anext(signals)
        on_second()
