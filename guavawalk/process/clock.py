"""Monotonic and wall-clock time for the tasks of a process."""

import time
from typing import Protocol

import anyio

__all__ = ["Clock", "create_clock"]


class Clock(Protocol):
    """A monotonic clock that goes on while the process is paused."""

    def now_s(self) -> float:
        """Return monotonic time, in seconds since an arbitrary moment."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch (1970), about the same in all processes."""
        ...


class LoopClock:
    """The clock of the event loop, which is virtual in tests."""

    def __init__(self, wall_offset_s: float) -> None:
        self._wall_offset_s = wall_offset_s

    def now_s(self) -> float:
        """Return the time of the event loop, in seconds."""
        return anyio.current_time()

    def wall_s(self) -> float:
        """Return the loop time plus the offset of the wall clock at the start, in seconds."""
        return anyio.current_time() + self._wall_offset_s


def create_clock(wall_offset_s: float | None = None) -> Clock:
    """Create the clock of the running event loop.

    Parameters
    ----------
    wall_offset_s : float, optional
        Seconds to add to the loop time to get wall-clock time; None for the offset now.
    """
    if wall_offset_s is None:
        wall_offset_s = time.time() - anyio.current_time()
    return LoopClock(wall_offset_s)
