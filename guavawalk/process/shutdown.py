"""Signals: the first asks for a graceful end, the second forces it."""

import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from guavawalk import events
from guavawalk.process.observe.log import EventLog

__all__ = ["Shutdown", "create_shutdown", "watch_signals"]


class Shutdown:
    """How a daemon comes to its end.

    Attributes
    ----------
    interrupted : int
        Pieces of work that a forced end cut off.
    """

    def __init__(self) -> None:
        self.interrupted = 0
        self._over = anyio.Event()

    @property
    def exit_code(self) -> int:
        """0 unless work was cut off."""
        return 1 if self.interrupted else 0

    def complete(self) -> None:
        """End, since all work is done."""
        self._over.set()

    def force(self, log: EventLog, interrupted: int) -> None:
        """End now, and say how much is cut off."""
        self.interrupted = interrupted
        log.emit(events.SHUTDOWN_FORCED, cut_off=interrupted)
        self._over.set()

    async def wait(self) -> None:
        """Wait for the end."""
        await self._over.wait()


def create_shutdown() -> Shutdown:
    """Create the end of a process that has just begun."""
    return Shutdown()


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
