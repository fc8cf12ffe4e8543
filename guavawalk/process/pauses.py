"""Noticing that this process was paused: its own clock has jumped."""

from collections.abc import Awaitable, Callable

import anyio

from guavawalk import events
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog

__all__ = ["PauseMonitor", "Sleep", "create_pause_monitor", "watch_pauses"]

TICK_S = 0.5
LATE_S = 1.5

Sleep = Callable[[float], Awaitable[None]]


class PauseMonitor:
    """Whether this process has lately been awake all the time.

    Notes
    -----
    After a pause any task may be the first to run, so whoever acts on old facts asks here first.
    The answer stays no until the facts have been looked at again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._validated_s = clock.now_s()
        self.pauses = 0
        self._fresh = anyio.Event()

    def is_fresh(self) -> bool:
        """Say whether nothing has to be looked at again."""
        return self._clock.now_s() - self._validated_s < TICK_S + LATE_S

    def late_s(self) -> float:
        """Return how late the next tick is; 0 when it isn't."""
        return max(self._clock.now_s() - self._validated_s - TICK_S, 0.0)

    def mark_fresh(self) -> None:
        """Say that what this process believes is of now."""
        self._validated_s = self._clock.now_s()
        self._fresh.set()
        self._fresh = anyio.Event()

    async def wait_fresh(self) -> None:
        """Wait until what this process believes is of now."""
        while not self.is_fresh():
            await self._fresh.wait()


async def watch_pauses(
    monitor: PauseMonitor,
    revalidate: Callable[[], Awaitable[None]],
    log: EventLog,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Notice pauses for as long as the process lives.

    Parameters
    ----------
    revalidate : callable
        Looks at the facts again; it must be bounded in time.
    sleep : callable
        Sleeps some seconds.
    """
    monitor.mark_fresh()
    while True:
        await sleep(TICK_S)
        if not monitor.is_fresh():
            monitor.pauses += 1
            log.emit(events.PROCESS_WAS_PAUSED, late_ms=int(monitor.late_s() * 1000))
            await revalidate()
        monitor.mark_fresh()


def create_pause_monitor(clock: Clock) -> PauseMonitor:
    """Create a monitor that is fresh now."""
    return PauseMonitor(clock)
