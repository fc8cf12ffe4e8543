"""Which waiting call goes to a target next, and when.

Engines admit in order of arrival, so what is sent early is served early, whatever its urgency. A
gateway therefore sends only what a target can begin at once, and keeps the rest in an order of its
own. Whoever frees a place or adds a target calls `dispatch_ready`; nothing polls.
"""

from collections import deque
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple, Protocol

import anyio

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.clock import Clock
from guavawalk.process.gateway.targets import RunningCall, TargetBelief, TargetTable
from guavawalk.request.call import Call
from guavawalk.request.target_choice import (
    TargetChoice,
    TargetCondition,
    choose_target,
    unfinished_share,
)

__all__ = ["Dispatcher", "Placed", "SharingGateways", "create_dispatcher"]

# Calls that a target is sent beyond its slots, so that a slot that falls free is taken at once.
SPARE_SLOTS = 1
# Part of a target's slots that calls may fill that are late already; the rest is for those in time.
LATE_SLOTS_PART = 0.7
# Part of the slots in another data centre that is left free for each second by which reports from
# there come later than those from near by: what others send there meanwhile is not known here.
FAR_RESERVE_PER_S = 0.6
MOST_FAR_RESERVE = 0.6
# Highest risk of not ending in time at which a call goes to a target while others have less: its
# slot would be taken to the deadline for nothing.
MOST_UNFINISHED = 0.5
# First events take this multiple of their expected time where targets are busy.
FIRST_MARGIN = 1.3
# Longest wait for a place, in seconds: an answer that begins later finds few callers still there.
LONGEST_WAIT_S = 2.0
# Part of its time that a call may wait.
WAIT_PART = 0.5
# Span over which departures from the queue are counted for the expected wait, in seconds.
RATE_SPAN_S = 1.0
# Bounds on when a refused caller is told to come back, in seconds.
LEAST_RETRY_S = 0.3
MOST_RETRY_S = 3.0
# A call that has given nothing for this multiple of the expected time, and at least so many
# seconds, counts against its target.
OVERDUE_FACTOR = 3.0
OVERDUE_LEAST_S = 0.4


class SharingGateways(Protocol):
    """The gateways that share the targets."""

    def count(self) -> int:
        """Return how many there are, with this one."""
        ...

    def far_lag_s(self) -> float:
        """Return by how much reports from other data centres come later than those from here."""
        ...


class Placed(NamedTuple):
    """A place at a target, held until `TargetBelief.end` is called with its running call."""

    choice: TargetChoice
    belief: TargetBelief
    running: RunningCall


class _Waiter:
    def __init__(
        self, call: Call, tried: Collection[str], has_begun: bool, first_s: float = 0.0
    ) -> None:
        self.call = call
        self.tried = tried
        self.has_begun = has_begun
        # Once dispatched after this moment, its first event is expected to be late.
        self.timely_until_s = call.goal_at_s - FIRST_MARGIN * first_s
        self.placed: Placed | None = None
        self.ready = anyio.Event()

    def order(self, now_s: float) -> tuple[bool, bool, int, int, float]:
        """Return the sort key: streams that go on, then what can be in time, then urgency."""
        call = self.call
        return (
            not self.has_begun,
            self.is_late(now_s),
            call.rank,
            call.route.rank,
            call.goal_at_s,
        )

    def is_late(self, now_s: float) -> bool:
        """Say whether its first event is expected late; never for a stream that goes on."""
        return not self.has_begun and now_s >= self.timely_until_s


class _ServiceQueue:
    def __init__(self) -> None:
        self.waiters: list[_Waiter] = []
        self.departures: deque[float] = deque()

    def rate(self, now_s: float) -> float:
        """Return the calls that lately left for a target, per second."""
        while self.departures and self.departures[0] < now_s - RATE_SPAN_S:
            self.departures.popleft()
        return len(self.departures) / RATE_SPAN_S


class Dispatcher:
    """Calls that wait for a place, by service."""

    def __init__(
        self, targets: TargetTable, gateways: SharingGateways, here: str, clock: Clock
    ) -> None:
        self._targets = targets
        self._gateways = gateways
        self._here = here
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}

    def waiting(self) -> dict[str, int]:
        """Return how many calls wait, by service."""
        return {service: len(queue.waiters) for service, queue in self._queues.items()}

    async def place(self, call: Call, tried: Collection[str], has_begun: bool = False) -> Placed:
        """Return a place for a call, at once or when its turn comes.

        Parameters
        ----------
        tried : collection of str
            Targets that are not to be asked.
        has_begun : bool
            Whether the call is a stream that goes on; it goes before all others.

        Raises
        ------
        RequestError
            `NO_TARGET` if none may serve it; `QUEUE_FULL` if no place is to be expected in time.
        """
        queue = self._queues.setdefault(call.service, _ServiceQueue())
        now_s = self._clock.now_s()
        conditions = list(self._conditions(call, tried, now_s))
        waiter = _Waiter(call, tried, has_begun, self._soonest_s(call, conditions, now_s))
        ahead = self._ahead(queue, waiter, now_s)
        if not ahead:
            placed = self._try_place(queue, waiter, conditions, now_s)
            if placed is not None:
                return placed
        patience_s = _patience_s(call, now_s)
        rate = queue.rate(now_s)
        if patience_s <= 0.0 or (ahead and ahead > rate * patience_s):
            raise self._refusal(queue, now_s)
        return await self._wait(queue, waiter, patience_s)

    def try_place(self, call: Call, tried: Collection[str]) -> Placed | None:
        """Return a place that is free now; None if there is none."""
        queue = self._queues.setdefault(call.service, _ServiceQueue())
        now_s = self._clock.now_s()
        conditions = list(self._conditions(call, tried, now_s))
        return self._try_place(queue, _Waiter(call, tried, True), conditions, now_s)

    def dispatch_ready(self, service: str) -> None:
        """Give free places of a service's targets to the calls whose turn it is."""
        queue = self._queues.get(service)
        if queue is None or not queue.waiters:
            return
        now_s = self._clock.now_s()
        for waiter in sorted(queue.waiters, key=lambda waiter: waiter.order(now_s)):
            conditions = list(self._conditions(waiter.call, waiter.tried, now_s))
            placed = self._try_place(queue, waiter, conditions, now_s)
            if placed is None:
                if not waiter.tried:
                    return
                continue
            waiter.placed = placed
            queue.waiters.remove(waiter)
            waiter.ready.set()

    def dispatch_all(self) -> None:
        """Do so for all services, after reports of other gateways or changes of targets."""
        for service in self._queues:
            self.dispatch_ready(service)

    async def _wait(self, queue: _ServiceQueue, waiter: _Waiter, patience_s: float) -> Placed:
        queue.waiters.append(waiter)
        try:
            with anyio.move_on_after(patience_s):
                await waiter.ready.wait()
        except BaseException:
            if waiter.placed is not None:
                self.release(waiter.placed)
            raise
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        if waiter.placed is None:
            raise self._refusal(queue, self._clock.now_s())
        return waiter.placed

    def release(self, placed: Placed) -> None:
        """Give a place back."""
        placed.belief.end(placed.running)
        self.dispatch_ready(placed.belief.registration.service)

    def _ahead(self, queue: _ServiceQueue, waiter: _Waiter, now_s: float) -> int:
        own = waiter.order(now_s)
        return sum(other.order(now_s) <= own for other in queue.waiters)

    def _try_place(
        self,
        queue: _ServiceQueue,
        waiter: _Waiter,
        conditions: Sequence[TargetCondition],
        now_s: float,
    ) -> Placed | None:
        call = waiter.call
        slots_part = LATE_SLOTS_PART if waiter.is_late(now_s) else 1.0
        open_ones = self._with_room(_where_it_can_end(call, conditions, now_s), slots_part, now_s)
        choice = choose_target(call, self._here, open_ones, now_s)
        belief = None if choice is None else self._targets.get(choice.target_id)
        if choice is None or belief is None:
            return None
        queue.departures.append(now_s)
        overdue_s = max(OVERDUE_FACTOR * choice.first_s, OVERDUE_LEAST_S)
        return Placed(choice, belief, belief.begin(call, now_s, overdue_s))

    def _with_room(
        self, conditions: Iterable[TargetCondition], slots_part: float, now_s: float
    ) -> Iterator[TargetCondition]:
        """Yield the targets that may be sent a call now.

        Notes
        -----
        Each gateway may use a fair part of every target's slots even when the others fill it.
        """
        fair_part = slots_part / (self._gateways.count() + 1)
        reserve = min(FAR_RESERVE_PER_S * self._gateways.far_lag_s(), MOST_FAR_RESERVE)
        for condition in conditions:
            belief = self._targets.get(condition.target_id)
            if not belief.takes_calls(now_s):
                continue
            most = slots_part * (condition.slots + SPARE_SLOTS)
            if condition.data_centre != self._here:
                most -= reserve * condition.slots
            if condition.running < most or belief.running < int(fair_part * condition.slots):
                yield condition

    def _soonest_s(self, call: Call, conditions: Iterable[TargetCondition], now_s: float) -> float:
        """Return the time to a first event at the best target, once that has a place."""
        with_place = (
            found._replace(running=min(found.running, found.slots - 1)) for found in conditions
        )
        best = choose_target(call, self._here, with_place, now_s)
        if best is None:
            raise RequestError(ResultCode.NO_TARGET)
        return best.first_s

    def _conditions(
        self, call: Call, tried: Collection[str], now_s: float
    ) -> Iterator[TargetCondition]:
        service = call.table.services.get(call.service)
        is_engine = service is not None and service.engine is not None
        return self._targets.conditions(call, is_engine, tried, now_s)

    def _refusal(self, queue: _ServiceQueue, now_s: float) -> RequestError:
        drain_s = len(queue.waiters) / max(queue.rate(now_s), 1.0)
        retry_s = min(max(drain_s, LEAST_RETRY_S), MOST_RETRY_S)
        return RequestError(
            ResultCode.QUEUE_FULL,
            f"{len(queue.waiters)} wait",
            retry_after_ms=int(retry_s * 1000),
        )


def _where_it_can_end(
    call: Call, conditions: Sequence[TargetCondition], now_s: float
) -> Iterator[TargetCondition]:
    """Yield the targets where the answer can end in time, or those where it is likeliest to."""
    risks = [unfinished_share(call, condition, now_s) for condition in conditions]
    most_risk = max(MOST_UNFINISHED, min(risks, default=0.0))
    for condition, risk in zip(conditions, risks):
        if risk <= most_risk:
            yield condition


def _patience_s(call: Call, now_s: float) -> float:
    whole_s = call.deadline_s - call.arrived_s
    return call.arrived_s + min(LONGEST_WAIT_S, WAIT_PART * whole_s) - now_s


def create_dispatcher(
    targets: TargetTable, gateways: SharingGateways, here: str, clock: Clock
) -> Dispatcher:
    """Create a dispatcher for the gateway of a data centre; no call waits."""
    return Dispatcher(targets, gateways, here, clock)
