"""Detects that this process was paused: its timer fired later than scheduled."""

from collections.abc import Awaitable, Callable

import anyio

from guavawalk import events
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog

__all__ = ["PauseMonitor", "Sleep", "create_pause_monitor", "watch_pauses"]

# Interval of the timer, in seconds.
TICK_S = 0.5
# Shortest delay of the timer that counts as a pause, in seconds.
PAUSE_THRESHOLD_S = 1.5

Sleep = Callable[[float], Awaitable[None]]


class PauseMonitor:
    """Tracks whether this process has run without a pause since its state was last validated.

    Attributes
    ----------
    pauses : int
        Number of pauses detected since the start.

    Notes
    -----
    After a pause any task may run first, so a task that acts on possibly stale state calls
    `is_fresh` before. It returns False until the state has been validated again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._validated_s = clock.now_s()
        self.pauses = 0
        self._fresh = anyio.Event()

    def is_fresh(self) -> bool:
        """Return whether no pause has occurred since the state of this process was last valid."""
        return self._clock.now_s() - self._validated_s < TICK_S + PAUSE_THRESHOLD_S

    def late_s(self) -> float:
        """Return by how many seconds the timer is overdue; 0 if it is not."""
        return max(self._clock.now_s() - self._validated_s - TICK_S, 0.0)

    def mark_fresh(self) -> None:
        """Record that the state of this process is valid now, and wake the waiting tasks."""
        self._validated_s = self._clock.now_s()
        self._fresh.set()
        self._fresh = anyio.Event()

    async def wait_fresh(self) -> None:
        """Wait until the state of this process is fresh; return at once if it is."""
        while not self.is_fresh():
            await self._fresh.wait()


async def watch_pauses(
    monitor: PauseMonitor,
    revalidate: Callable[[], Awaitable[None]],
    log: EventLog,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Detect pauses until cancelled; after each, validate the state of the process.

    Parameters
    ----------
    revalidate : callable
        Validates the state that may have become stale; must return within a bounded time.
    sleep : callable
        Suspends the task for a number of seconds.
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
