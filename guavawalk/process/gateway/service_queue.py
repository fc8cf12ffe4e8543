"""The calls that wait for one service, and the prediction whether a call gets a slot in time.

The load handled is more calls than the targets can take, for seconds or longer.
"""

import math
from collections import deque

from guavawalk.process.gateway.fair_queue import create_fair_queue
from guavawalk.process.gateway.waiting import Waiter

__all__ = ["DEPARTURE_SPAN_S", "ServiceQueue", "create_service_queue"]

# Span over which the calls that come, and those that leave a queue for a target, are counted to
# estimate the wait, in seconds.
DEPARTURE_SPAN_S = 1.0
# More calls come than leave if they exceed those that leave by this factor and this number, so that
# chance at low rates is no overload.
OVERLOAD_FACTOR = 1.25
OVERLOAD_CALLS = 3


class ServiceQueue:
    """The calls that wait for one service, and when calls have arrived and have left the queue."""

    def __init__(self) -> None:
        self.waiters = create_fair_queue()
        self.departures: deque[float] = deque()
        self.refusals: deque[float] = deque()
        # When calls arrived that could be on time, by tier.
        self._arrivals: dict[tuple[int, int], deque[float]] = {}
        # Until when all targets wanted to be quiet; minus infinity before any time.
        self.quiet_until_s = -math.inf
        # When a slot was last sought for the waiting calls.
        self.checked_s = 0.0
        # The waiter whose timer dispatches all when a target may be sent calls again.
        self._timer_holder: Waiter | None = None

    def holds_timer(self, waiter: Waiter) -> bool:
        """Return whether a waiter's timer serves the queue; one at a time does."""
        if self._timer_holder is None:
            self._timer_holder = waiter
        return self._timer_holder is waiter

    def pass_timer(self, waiter: Waiter) -> None:
        """Have another waiter's timer serve the queue if this one's does."""
        if self._timer_holder is waiter:
            self._timer_holder = next(iter(self.waiters), None)
            if self._timer_holder is not None:
                self._timer_holder.wake()

    def departure_rate(self, now_s: float) -> float:
        """Return the calls per second that got a slot during the last `DEPARTURE_SPAN_S`."""
        return _count_recent(self.departures, now_s) / DEPARTURE_SPAN_S

    def refusal_rate(self, now_s: float) -> float:
        """Return the calls per second that were refused during the last `DEPARTURE_SPAN_S`."""
        return _count_recent(self.refusals, now_s) / DEPARTURE_SPAN_S

    def record_arrival(self, waiter: Waiter, now_s: float) -> None:
        """Record that a call has arrived, if it can be on time."""
        if now_s >= waiter.timely_until_s:
            return
        times = self._arrivals.get(waiter.tier)
        if times is None:
            times = self._arrivals[waiter.tier] = deque()
        _append(times, now_s)

    def record_departure(self, now_s: float) -> None:
        """Record that a call got a slot."""
        _append(self.departures, now_s)

    def record_refusal(self, now_s: float) -> None:
        """Record that a call was refused."""
        _append(self.refusals, now_s)

    def is_overloaded(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether more timely calls of a call's tier and more urgent ones come than leave.

        Notes
        -----
        A late call comes after all of these, so while this lasts it would never get a slot. While
        all targets want quiet, and until departures can be counted again, no overload is assumed.
        """
        if now_s < self.quiet_until_s + DEPARTURE_SPAN_S:
            return False
        arrived = 0
        for tier, times in list(self._arrivals.items()):
            recent = _count_recent(times, now_s)
            if not recent:
                del self._arrivals[tier]
            elif tier <= waiter.tier:
                arrived += recent
        departed = _count_recent(self.departures, now_s)
        return arrived > OVERLOAD_FACTOR * departed + OVERLOAD_CALLS

    def useful_wait_s(self, waiter: Waiter, now_s: float) -> float:
        """Return for how long a call may wait so that it still gets a slot, in seconds."""
        wait_s = waiter.until_s - now_s
        if waiter.is_resumed or not self.is_overloaded(waiter, now_s):
            return wait_s
        if waiter.keeps_turn or self.waiters.is_below_share(waiter, now_s):
            return wait_s
        return min(wait_s, max(waiter.timely_until_s - now_s, 0.0))

    def is_hopeless(self, waiter: Waiter, before: int, rate: float, now_s: float) -> bool:
        """Return whether a call's turn is expected only after its longest useful wait.

        Parameters
        ----------
        before : int
            Calls that are expected to go before.
        rate : float
            Calls per second that get a slot.
        """
        if waiter.is_resumed or not before:
            return False
        # The useful wait is no longer than the whole one, which is known at once.
        if before > rate * (waiter.until_s - now_s):
            return True
        return before > rate * self.useful_wait_s(waiter, now_s)


def _append(times: deque[float], now_s: float) -> None:
    _count_recent(times, now_s)
    times.append(now_s)


def _count_recent(times: deque[float], now_s: float) -> int:
    while times and times[0] < now_s - DEPARTURE_SPAN_S:
        times.popleft()
    return len(times)


def create_service_queue() -> ServiceQueue:
    """Create a queue in which nothing waits."""
    return ServiceQueue()
