"""Tells the crashes of one target apart, by when its attempts were lost."""

from guavawalk.process.clock import Clock

__all__ = ["CrashCounter", "create_crash_counter"]

# Time within which the attempts that one crash cuts off are reported, in seconds. An engine takes
# longer to start again.
CRASH_SPAN_S = 0.1


class CrashCounter:
    """Numbers the crashes of each target. Holds one entry for each target that ever crashed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Number and time of each target's last crash.
        self._last: dict[str, tuple[int, float]] = {}

    def name_crash(self, target_name: str) -> str:
        """Return a name for the crash that has just cut off an attempt at a target."""
        now_s = self._clock.now_s()
        number, at_s = self._last.get(target_name, (0, 0.0))
        if not number or now_s - at_s > CRASH_SPAN_S:
            number, at_s = number + 1, now_s
            self._last[target_name] = (number, at_s)
        return f"{target_name}/{number}"


def create_crash_counter(clock: Clock) -> CrashCounter:
    """Create a counter of no crashes."""
    return CrashCounter(clock)
