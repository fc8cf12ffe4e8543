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
from guavawalk.process.gateway.targets import RunningCall, TargetTable, TrackedTarget
from guavawalk.request.call import Call
from guavawalk.request.target_choice import (
    TargetChoice,
    TargetSnapshot,
    choose_target,
    unfinished_share,
)

__all__ = ["Dispatcher", "Reservation", "SharingGateways", "create_dispatcher"]

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

    def distant_report_lag_s(self) -> float:
        """Return by how much reports from other data centres come later than those from here."""
        ...


class Reservation(NamedTuple):
    """A place at a target, held until `TrackedTarget.end` is called with its running call."""

    choice: TargetChoice
    target: TrackedTarget
    running: RunningCall


class _Waiter:
    def __init__(
        self, call: Call, tried_ids: Collection[str], is_resumed: bool, first_event_s: float = 0.0
    ) -> None:
        self.call = call
        self.tried_ids = tried_ids
        self.is_resumed = is_resumed
        # Once dispatched after this moment, its first event is expected to be late.
        self.timely_until_s = call.latency_goal_at_s - FIRST_MARGIN * first_event_s
        self.reservation: Reservation | None = None
        self.ready = anyio.Event()

    def order(self, now_s: float) -> tuple[bool, bool, int, int, float]:
        """Return the sort key: streams that go on, then what can be in time, then urgency."""
        call = self.call
        return (
            not self.is_resumed,
            self.is_late(now_s),
            call.rank,
            call.route.rank,
            call.latency_goal_at_s,
        )

    def is_late(self, now_s: float) -> bool:
        """Say whether its first event is expected late; never for a stream that goes on."""
        return not self.is_resumed and now_s >= self.timely_until_s


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
        self, targets: TargetTable, gateways: SharingGateways, local_data_centre: str, clock: Clock
    ) -> None:
        self._targets = targets
        self._gateways = gateways
        self._local_data_centre = local_data_centre
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}

    def waiting(self) -> dict[str, int]:
        """Return how many calls wait, by service."""
        return {service: len(queue.waiters) for service, queue in self._queues.items()}

    async def reserve(
        self, call: Call, tried_ids: Collection[str], is_resumed: bool = False
    ) -> Reservation:
        """Return a place for a call, at once or when its turn comes.

        Parameters
        ----------
        tried_ids : collection of str
            Targets that are not to be asked.
        is_resumed : bool
            Whether the call is a stream that goes on; it goes before all others.

        Raises
        ------
        RequestError
            `NO_TARGET` if none may serve it; `QUEUE_FULL` if no place is to be expected in time.
        """
        queue = self._queues.setdefault(call.service, _ServiceQueue())
        now_s = self._clock.now_s()
        snapshots = list(self._snapshots(call, tried_ids, now_s))
        waiter = _Waiter(call, tried_ids, is_resumed, self._soonest_s(call, snapshots, now_s))
        ahead = self._ahead(queue, waiter, now_s)
        if not ahead:
            reservation = self._try_reserve(queue, waiter, snapshots, now_s)
            if reservation is not None:
                return reservation
        max_wait_s = _max_wait_s(call, now_s)
        rate = queue.rate(now_s)
        if max_wait_s <= 0.0 or (ahead and ahead > rate * max_wait_s):
            raise self._refusal(queue, now_s)
        return await self._wait(queue, waiter, max_wait_s)

    def try_reserve(self, call: Call, tried_ids: Collection[str]) -> Reservation | None:
        """Return a place that is free now; None if there is none."""
        queue = self._queues.setdefault(call.service, _ServiceQueue())
        now_s = self._clock.now_s()
        snapshots = list(self._snapshots(call, tried_ids, now_s))
        return self._try_reserve(queue, _Waiter(call, tried_ids, True), snapshots, now_s)

    def dispatch_ready(self, service: str) -> None:
        """Give free places of a service's targets to the calls whose turn it is."""
        queue = self._queues.get(service)
        if queue is None or not queue.waiters:
            return
        now_s = self._clock.now_s()
        for waiter in sorted(queue.waiters, key=lambda waiter: waiter.order(now_s)):
            snapshots = list(self._snapshots(waiter.call, waiter.tried_ids, now_s))
            reservation = self._try_reserve(queue, waiter, snapshots, now_s)
            if reservation is None:
                if not waiter.tried_ids:
                    return
                continue
            waiter.reservation = reservation
            queue.waiters.remove(waiter)
            waiter.ready.set()

    def dispatch_all(self) -> None:
        """Do so for all services, after reports of other gateways or changes of targets."""
        for service in self._queues:
            self.dispatch_ready(service)

    async def _wait(self, queue: _ServiceQueue, waiter: _Waiter, max_wait_s: float) -> Reservation:
        queue.waiters.append(waiter)
        try:
            with anyio.move_on_after(max_wait_s):
                await waiter.ready.wait()
        except BaseException:
            if waiter.reservation is not None:
                self.release(waiter.reservation)
            raise
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        if waiter.reservation is None:
            raise self._refusal(queue, self._clock.now_s())
        return waiter.reservation

    def release(self, reservation: Reservation) -> None:
        """Give a place back."""
        reservation.target.end(reservation.running)
        self.dispatch_ready(reservation.target.registration.service)

    def _ahead(self, queue: _ServiceQueue, waiter: _Waiter, now_s: float) -> int:
        own = waiter.order(now_s)
        return sum(other.order(now_s) <= own for other in queue.waiters)

    def _try_reserve(
        self,
        queue: _ServiceQueue,
        waiter: _Waiter,
        snapshots: Sequence[TargetSnapshot],
        now_s: float,
    ) -> Reservation | None:
        call = waiter.call
        slots_part = LATE_SLOTS_PART if waiter.is_late(now_s) else 1.0
        open_ones = self._with_room(_where_it_can_end(call, snapshots, now_s), slots_part, now_s)
        choice = choose_target(call, self._local_data_centre, open_ones, now_s)
        target = None if choice is None else self._targets.get(choice.target_id)
        if choice is None or target is None:
            return None
        queue.departures.append(now_s)
        overdue_s = max(OVERDUE_FACTOR * choice.first_event_s, OVERDUE_LEAST_S)
        return Reservation(choice, target, target.begin(call, now_s, overdue_s))

    def _with_room(
        self, snapshots: Iterable[TargetSnapshot], slots_part: float, now_s: float
    ) -> Iterator[TargetSnapshot]:
        """Yield the targets that may be sent a call now.

        Notes
        -----
        Each gateway may use a fair part of every target's slots even when the others fill it.
        """
        fair_part = slots_part / (self._gateways.count() + 1)
        reserve = min(FAR_RESERVE_PER_S * self._gateways.distant_report_lag_s(), MOST_FAR_RESERVE)
        for snapshot in snapshots:
            target = self._targets.get(snapshot.target_id)
            if not target.accepts_calls(now_s):
                continue
            most = slots_part * (snapshot.slots + SPARE_SLOTS)
            if snapshot.data_centre != self._local_data_centre:
                most -= reserve * snapshot.slots
            if snapshot.running < most or target.running < int(fair_part * snapshot.slots):
                yield snapshot

    def _soonest_s(self, call: Call, snapshots: Iterable[TargetSnapshot], now_s: float) -> float:
        """Return the time to a first event at the best target, once that has a place."""
        with_place = (
            found._replace(running=min(found.running, found.slots - 1)) for found in snapshots
        )
        best = choose_target(call, self._local_data_centre, with_place, now_s)
        if best is None:
            raise RequestError(ResultCode.NO_TARGET)
        return best.first_event_s

    def _snapshots(
        self, call: Call, tried_ids: Collection[str], now_s: float
    ) -> Iterator[TargetSnapshot]:
        service = call.table.services.get(call.service)
        is_engine = service is not None and service.engine is not None
        return self._targets.snapshots(call, is_engine, tried_ids, now_s)

    def _refusal(self, queue: _ServiceQueue, now_s: float) -> RequestError:
        drain_s = len(queue.waiters) / max(queue.rate(now_s), 1.0)
        retry_s = min(max(drain_s, LEAST_RETRY_S), MOST_RETRY_S)
        return RequestError(
            ResultCode.QUEUE_FULL,
            f"{len(queue.waiters)} wait",
            retry_after_ms=int(retry_s * 1000),
        )


def _where_it_can_end(
    call: Call, snapshots: Sequence[TargetSnapshot], now_s: float
) -> Iterator[TargetSnapshot]:
    """Yield the targets where the answer can end in time, or those where it is likeliest to."""
    risks = [unfinished_share(call, snapshot, now_s) for snapshot in snapshots]
    most_risk = max(MOST_UNFINISHED, min(risks, default=0.0))
    for snapshot, risk in zip(snapshots, risks):
        if risk <= most_risk:
            yield snapshot


def _max_wait_s(call: Call, now_s: float) -> float:
    whole_s = call.deadline_s - call.arrived_s
    return call.arrived_s + min(LONGEST_WAIT_S, WAIT_PART * whole_s) - now_s


def create_dispatcher(
    targets: TargetTable, gateways: SharingGateways, local_data_centre: str, clock: Clock
) -> Dispatcher:
    """Create a dispatcher for the gateway of a data centre; no call waits."""
    return Dispatcher(targets, gateways, local_data_centre, clock)
