"""Time, as the tasks of a process see it."""

from typing import Protocol

import anyio

__all__ = ["Clock", "create_clock"]


class Clock(Protocol):
    """A monotonic clock; a paused process sees it jump."""

    def now_s(self) -> float:
        """Return seconds since some fixed moment."""
        ...


class LoopClock:
    """The event loop's clock, which tests may run virtually."""

    def now_s(self) -> float:
        """Return the loop's time."""
        return anyio.current_time()


def create_clock() -> Clock:
    """Create the clock of the running event loop."""
    return LoopClock()
