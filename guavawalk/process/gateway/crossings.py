"""Bounds the calls that a gateway sends to each other data centre for want of room."""

from collections import deque

from guavawalk.request.crossing import (
    ServiceLoads,
    crossing_is_open,
    max_crossings,
)

__all__ = ["CrossingLimits", "create_crossing_limits"]

# Time after which a call that another gateway sent is in the load known here, in seconds: a report
# within its data centre, then a summary.
REPORT_AGE_S = 1.0


class CrossingLimits:
    """Whether calls may leave, and those of the last second, by service and data centre."""

    def __init__(self) -> None:
        self._open: set[tuple[str, str]] = set()
        self._sent: dict[tuple[str, str], deque[float]] = {}

    def allows(self, service: str, data_centre: str, loads: ServiceLoads, now_s: float) -> bool:
        """Return whether a call may be sent to a data centre because the own one is full."""
        key = service, data_centre
        if not crossing_is_open(loads, data_centre, key in self._open):
            self._open.discard(key)
            return False
        self._open.add(key)
        sent = self._sent.get(key, ())
        recent = sum(sent_s > now_s - REPORT_AGE_S for sent_s in sent)
        return recent < max_crossings(loads, data_centre, recent)

    def record(self, service: str, data_centre: str, now_s: float) -> None:
        """Record that a call is sent to a data centre."""
        sent = self._sent.setdefault((service, data_centre), deque())
        while sent and sent[0] <= now_s - REPORT_AGE_S:
            sent.popleft()
        sent.append(now_s)


def create_crossing_limits() -> CrossingLimits:
    """Create limits for a gateway that has sent no calls to other data centres."""
    return CrossingLimits()
