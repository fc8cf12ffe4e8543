"""Time, as the tasks of a process see it."""

import time
from typing import Protocol

import anyio

__all__ = ["Clock", "create_clock"]


class Clock(Protocol):
    """A monotonic clock; a paused process sees it jump."""

    def now_s(self) -> float:
        """Return seconds since some fixed moment."""
        ...

    def wall_s(self) -> float:
        """Return seconds since 1970, about the same for all processes."""
        ...


class LoopClock:
    """The event loop's clock, which tests may run virtually."""

    def __init__(self, wall_offset_s: float) -> None:
        self._wall_offset_s = wall_offset_s

    def now_s(self) -> float:
        """Return the loop's time."""
        return anyio.current_time()

    def wall_s(self) -> float:
        """Return the loop's time with the offset that the wall clock had at the start."""
        return anyio.current_time() + self._wall_offset_s


def create_clock(wall_offset_s: float | None = None) -> Clock:
    """Create the clock of the running event loop.

    Parameters
    ----------
    wall_offset_s : float, optional
        From the loop's time to the wall clock's; the present one without it.
    """
    if wall_offset_s is None:
        wall_offset_s = time.time() - anyio.current_time()
    return LoopClock(wall_offset_s)
