"""Calls that wait for a slot at a target, in the order in which they get one."""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

import anyio

from guavawalk.process.gateway.tracked_target import RunningCall, TrackedTarget
from guavawalk.request.call import Call
from guavawalk.request.target_choice import TargetChoice

__all__ = ["DEPARTURE_SPAN_S", "Reservation", "ServiceQueue", "Waiter"]

# Factor on the expected time to a first event: while targets are busy, it takes longer.
FIRST_EVENT_MARGIN = 1.3
# Span over which the calls that leave a queue for a target are counted to estimate the wait, in
# seconds.
DEPARTURE_SPAN_S = 1.0


class Reservation(NamedTuple):
    """A slot at a target, held until `Dispatcher.release`."""

    choice: TargetChoice
    target: TrackedTarget
    running: RunningCall


class Waiter:
    """A call that waits.

    Attributes
    ----------
    reservation : Reservation, optional
        Its slot; None before it has one.
    ready : anyio.Event
        Set with `reservation`.
    """

    def __init__(
        self,
        call: Call,
        tried_ids: Collection[str],
        is_resumed: bool,
        first_event_s: float = 0.0,
    ) -> None:
        self.call = call
        self.tried_ids = tried_ids
        self.is_resumed = is_resumed
        # Latest moment to dispatch the call so that its first event is expected to be on time.
        self.timely_until_s = call.latency_goal_at_s - FIRST_EVENT_MARGIN * first_event_s
        self.reservation: Reservation | None = None
        self.ready = anyio.Event()

    def order(self, now_s: float) -> tuple[bool, bool, int, int, float]:
        """Return the sort key: resumed streams, then calls that can be on time, then urgency.

        Urgency is the rank of the call, then that of its route, then the earlier latency goal.
        """
        call = self.call
        return (
            not self.is_resumed,
            self.is_late(now_s),
            call.rank,
            call.route.rank,
            call.latency_goal_at_s,
        )

    def is_late(self, now_s: float) -> bool:
        """Return whether the first event is expected to be late; False for a resumed stream."""
        return not self.is_resumed and now_s >= self.timely_until_s


class ServiceQueue:
    """The calls that wait for one service, and when calls have left the queue."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.departures: deque[float] = deque()
        # Until when all targets wanted to be quiet; 0 before any time.
        self.quiet_until_s = 0.0
        # When a slot was last sought for the waiting calls.
        self.checked_s = 0.0

    def departure_rate(self, now_s: float) -> float:
        """Return the calls per second that got a slot during the last `DEPARTURE_SPAN_S`."""
        while self.departures and self.departures[0] < now_s - DEPARTURE_SPAN_S:
            self.departures.popleft()
        return len(self.departures) / DEPARTURE_SPAN_S
