"""Shuts a daemon down: gracefully on the first signal, at once on the second."""

import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from guavawalk import events
from guavawalk.process.observe.log import EventLog

__all__ = ["Shutdown", "create_shutdown", "watch_signals"]


class Shutdown:
    """Completion and outcome of a daemon's shutdown.

    Attributes
    ----------
    interrupted : int
        Number of requests or attempts that a forced shutdown interrupted.
    """

    def __init__(self) -> None:
        self.interrupted = 0
        self._done = anyio.Event()

    @property
    def exit_code(self) -> int:
        """Exit code of the process: 1 if work was interrupted, else 0."""
        return 1 if self.interrupted else 0

    def complete(self) -> None:
        """Complete the shutdown; all work has ended."""
        self._done.set()

    def force(self, log: EventLog, interrupted: int) -> None:
        """Complete the shutdown now, and log how much work is interrupted."""
        self.interrupted = interrupted
        log.emit(events.SHUTDOWN_FORCED, cut_off=interrupted)
        self._done.set()

    async def wait(self) -> None:
        """Wait until the shutdown is complete."""
        await self._done.wait()


def create_shutdown() -> Shutdown:
    """Create the shutdown of a process that is still running."""
    return Shutdown()


async def watch_signals(
    on_first: Callable[[], None],
    on_second: Callable[[], None],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Call `on_first` on the first SIGTERM or SIGINT and `on_second` on the next, then return."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        await anext(signals)
        on_first()
        await anext(signals)
        on_second()
