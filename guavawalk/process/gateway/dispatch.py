"""Queues calls that wait for a target, and dispatches them by urgency when slots are free.

Engines admit requests in order of arrival, whatever their urgency. A gateway therefore sends a
target only what it can start at once, and keeps the other calls in a queue of its own. Whatever
frees a slot or adds a target calls `dispatch_ready` or `dispatch_all`. One waiting call of each
service looks again every `CHECK_EVERY_S` seconds, for what no event tells.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence

import anyio

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.clock import Clock
from guavawalk.process.gateway.queue_reports import WaitingCalls
from guavawalk.process.gateway.refusal import (
    MAX_RETRY_AFTER_SHARE,
    RefusalReason,
    create_return_table,
    queue_refusal,
)
from guavawalk.process.gateway.room import CentreStatus, SharingGateways, create_target_room
from guavawalk.process.gateway.service_queue import (
    DEPARTURE_SPAN_S,
    ServiceQueue,
    create_service_queue,
)
from guavawalk.process.gateway.slot_estimates import (
    best_first_event_s,
    cut_off_risk,
    likely_to_finish,
)
from guavawalk.process.gateway.slot_yield import create_slot_yield
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.gateway.waiting import Reservation, Waiter, longest_wait_s
from guavawalk.process.gateway.warmup import WarmupPacer
from guavawalk.request.call import Call
from guavawalk.request.cost import call_cost_tokens
from guavawalk.request.target_choice import (
    TargetSnapshot,
    choose_target,
)

__all__ = ["Dispatcher", "Reservation", "create_dispatcher"]

# Share of a target's slots that late calls may fill; the others are kept for calls that can be on
# time.
LATE_SLOTS_SHARE = 0.7
# Time after which a caller may retry whose targets are all evacuated, in milliseconds: the operator
# ends an evacuation after seconds to minutes.
EVACUATED_RETRY_MS = 1_000
# A call without a first event is overdue, and counts against its target, after this multiple of
# the expected time and at least `MIN_OVERDUE_S` seconds.
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.4
# Time between two looks at a queue, in seconds, while a target may be sent calls: it may have been
# quiet in between, and to leave the data centre pays more the longer calls wait. An eighth of a
# usual latency goal.
CHECK_EVERY_S = 0.1
# Shortest sleep of a waiting call, in seconds.
MIN_SLEEP_S = 0.001


class Dispatcher:
    """Reserves slots at targets for calls, and queues the calls that wait for one, by service."""

    def __init__(
        self,
        targets: TargetTable,
        gateways: SharingGateways,
        local_data_centre: str,
        clock: Clock,
        pacer: WarmupPacer | None = None,
        centres: CentreStatus | None = None,
    ) -> None:
        self._targets = targets
        self._pacer = pacer
        self._room = create_target_room(targets, gateways, local_data_centre, pacer, centres)
        self._local_data_centre = local_data_centre
        self._clock = clock
        self._queues: dict[str, ServiceQueue] = {}
        self.returns = create_return_table()
        # Refused calls by reason, since the start.
        self.refusals: Counter[RefusalReason] = Counter()
        self.slot_yield = create_slot_yield(gateways)

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by service."""
        return {service: len(queue.waiters) for service, queue in self._queues.items()}

    def report_waiting(self) -> tuple[WaitingCalls, ...]:
        """Return what waits here, for a report."""
        return self.slot_yield.report_waiting(self._queues, self._clock.now_s())

    def report_received(self) -> dict[str, float]:
        """Return what workspaces received here, for a report; empty while nothing waits."""
        waits = any(queue.waiters for queue in self._queues.values())
        return self.slot_yield.report_received(waits, self._clock.now_s())

    async def reserve(
        self, call: Call, tried_ids: Collection[str], is_resumed: bool = False
    ) -> Reservation:
        """Reserve a slot for a call, at once or when its turn comes.

        Parameters
        ----------
        tried_ids : collection of str
            Targets that the call must not be sent to.
        is_resumed : bool, optional
            Whether the call resumes a stream that the caller has begun to receive; such calls go
            before all others.

        Raises
        ------
        RequestError
            `NO_TARGET` if no target may serve the call; `QUEUE_FULL` if no slot is expected to
            become free within the longest useful wait, or none did, or the call is given up for one
            whose workspace is below its share. A resumed call is refused only after the longest
            wait.
        """
        queue = self._queue(call.service)
        now_s = self._clock.now_s()
        snapshots = list(self._snapshots(call, tried_ids, now_s))
        # Where a stream's target leaves, the one that replaces it may register any moment.
        first_event_s = 0.0
        if snapshots or not is_resumed:
            best_s = best_first_event_s(call, self._local_data_centre, snapshots, now_s)
            if best_s is None:
                raise self._no_target(call)
            first_event_s = best_s
        cached = max((snapshot.cached_tokens for snapshot in snapshots), default=0)
        is_returning = self.returns.pop(call, now_s)
        cost_tokens = call_cost_tokens(call, cached)
        waiter = Waiter(call, tried_ids, is_resumed, first_event_s, cost_tokens, is_returning)
        queue.record_arrival(waiter, now_s)
        before = queue.waiters.count_before(waiter, now_s)
        if not before:
            reservation = self._try_reserve(queue, waiter, snapshots, now_s)
            if reservation is not None:
                return reservation
        max_wait_s = longest_wait_s(call, is_resumed, now_s)
        waiter.until_s = now_s + max_wait_s
        quiet_s = self._quiet_s(snapshots, now_s)
        if quiet_s and not tried_ids:
            queue.quiet_until_s = max(queue.quiet_until_s, now_s + quiet_s)
        if max_wait_s <= 0.0 or (quiet_s >= max_wait_s and not is_resumed):
            raise self._refusal(queue, waiter, RefusalReason.NO_TIME, now_s, quiet_s)
        rate = queue.departure_rate(now_s)
        if now_s < queue.quiet_until_s + DEPARTURE_SPAN_S:
            # No call could leave the queue, so the rate of departures is no estimate.
            rate = max(
                rate, sum(self._room.service_rate(snapshot, now_s) for snapshot in snapshots)
            )
        if is_resumed or not queue.is_hopeless(waiter, before, rate, now_s):
            queue.waiters.add(waiter, now_s)
            if not is_resumed:
                self._refuse_last(queue, waiter, rate, now_s)
            return await self._wait(queue, waiter)
        loads = self._room.loads(snapshots, len(queue.waiters), now_s)
        if any(self._room.available(call, snapshots, 1.0, now_s, loads)):
            # The calls that go before may not be sent to this target.
            self.dispatch_ready(call.service)
            reservation = self._try_reserve(queue, waiter, snapshots, now_s)
            if reservation is not None:
                return reservation
        victim = queue.waiters.last(now_s)
        if victim is None or not queue.waiters.is_above(victim, waiter, now_s):
            raise self._refusal(queue, waiter, RefusalReason.TOO_LATE, now_s, quiet_s)
        self._give_up(queue, victim, RefusalReason.SHARE, now_s)
        queue.waiters.add(waiter, now_s)
        return await self._wait(queue, waiter)

    def try_reserve(self, call: Call, tried_ids: Collection[str]) -> Reservation | None:
        """Reserve a slot that is free now; return None if there is none.

        Notes
        -----
        The call is treated as a resumed stream: waiting calls do not go first, and it may use slots
        that late calls have to leave free.
        """
        queue = self._queue(call.service)
        now_s = self._clock.now_s()
        snapshots = list(self._snapshots(call, tried_ids, now_s))
        return self._try_reserve(queue, Waiter(call, tried_ids, True), snapshots, now_s)

    def cut_off_risk(self, call: Call, ends_s: float) -> float:
        """Return the risk, from 0 to 1, that a call sent now is still running at `ends_s`.

        Parameters
        ----------
        ends_s : float
            When this process ends, on its monotonic clock; infinity for no end.
        """
        if call.deadline_s <= ends_s:
            return 0.0
        now_s = self._clock.now_s()
        snapshots = list(self._snapshots(call, (), now_s))
        return cut_off_risk(call, ends_s, self._local_data_centre, snapshots, now_s)

    def dispatch_ready(self, service: str) -> None:
        """Reserve free slots of a service's targets for waiting calls, the most urgent first."""
        queue = self._queues.get(service)
        if queue is None or not queue.waiters:
            return
        now_s = queue.checked_s = self._clock.now_s()
        skipped: set[Waiter] = set()
        while (waiter := queue.waiters.first(now_s, skipped)) is not None:
            snapshots = list(self._snapshots(waiter.call, waiter.tried_ids, now_s))
            reservation = self._try_reserve(queue, waiter, snapshots, now_s)
            if reservation is None:
                # This call may go to every target and found no free slot: calls that come after it
                # in the order must not overtake it.
                if not waiter.tried_ids:
                    return
                skipped.add(waiter)
                continue
            waiter.reservation = reservation
            queue.waiters.remove(waiter)
            waiter.ready.set()

    def dispatch_all(self) -> None:
        """Call `dispatch_ready` for every service, after a report or a change of targets."""
        if self._pacer is not None:
            self._pacer.observe(self._targets, self._clock.now_s())
        for service in self._queues:
            self.dispatch_ready(service)

    def _queue(self, service: str) -> ServiceQueue:
        if service not in self._queues:
            self._queues[service] = create_service_queue()
        return self._queues[service]

    def load_differences(self) -> dict[tuple[str, str], float]:
        """Return demand here less the load there, by service and other data centre."""
        return self._room.load_differences(self.waiting(), self._clock.now_s())

    async def _wait(self, queue: ServiceQueue, waiter: Waiter) -> Reservation:
        try:
            while waiter in queue.waiters and self._clock.now_s() < waiter.until_s:
                now_s = self._clock.now_s()
                check_s = self.slot_yield.next_end_s(waiter.call.service, now_s)
                if queue.holds_timer(waiter):
                    check_s = min(check_s, self._next_check_s(queue, waiter.call, now_s))
                late_s = waiter.timely_until_s if waiter.timely_until_s > now_s else math.inf
                ends_s = min(waiter.until_s, check_s, late_s)
                # A sleep too short for the clock to show would end early again and again.
                with anyio.move_on_after(max(ends_s - now_s, MIN_SLEEP_S)):
                    await waiter.ready.wait()
                now_s = self._clock.now_s()
                if now_s >= check_s and queue.checked_s < now_s:
                    self.dispatch_ready(waiter.call.service)
                if now_s >= late_s:
                    self._give_up_hopeless(queue, waiter, now_s)
        except BaseException:
            # The wait was cancelled, perhaps just after a slot had been reserved.
            if waiter.reservation is not None:
                self.release(waiter.reservation)
            raise
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
            queue.pass_timer(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        if waiter.reservation is None:
            now_s = self._clock.now_s()
            snapshots = list(self._snapshots(waiter.call, waiter.tried_ids, now_s))
            if not snapshots:
                raise self._no_target(waiter.call)
            quiet_s = self._quiet_s(snapshots, now_s)
            raise self._refusal(queue, waiter, RefusalReason.NO_SLOT, now_s, quiet_s)
        return waiter.reservation

    def release(self, reservation: Reservation) -> None:
        """Free a reserved slot and dispatch waiting calls; a second release frees nothing."""
        reservation.target.end(reservation.running)
        if self._pacer is not None:
            self._pacer.record_release(reservation.target, reservation.running)
        self.dispatch_ready(reservation.target.registration.service)

    def _refuse_last(
        self, queue: ServiceQueue, newcomer: Waiter, rate: float, now_s: float
    ) -> None:
        """Refuse the last call if a new one has moved its turn beyond its longest useful wait.

        While no more calls come than leave, it waits on: at low rates the departures of a second
        say little.
        """
        last = queue.waiters.last(now_s)
        if last is None or last is newcomer or not queue.is_overloaded(last, now_s):
            return
        before = queue.waiters.count_before(last, now_s)
        if queue.is_hopeless(last, before, rate, now_s):
            self._give_up(queue, last, RefusalReason.OVERTAKEN, now_s)

    def _give_up_hopeless(self, queue: ServiceQueue, waiter: Waiter, now_s: float) -> None:
        """Refuse a call that has become late, if its turn does not come any more."""
        if waiter not in queue.waiters or now_s < queue.quiet_until_s + DEPARTURE_SPAN_S:
            return
        before = queue.waiters.count_before(waiter, now_s)
        if queue.is_hopeless(waiter, before, queue.departure_rate(now_s), now_s):
            self._give_up(queue, waiter, RefusalReason.LATE, now_s)

    def _give_up(
        self, queue: ServiceQueue, waiter: Waiter, reason: RefusalReason, now_s: float
    ) -> None:
        waiter.refusal = self._refusal(queue, waiter, reason, now_s)
        queue.waiters.remove(waiter)
        waiter.ready.set()

    def _try_reserve(
        self,
        queue: ServiceQueue,
        waiter: Waiter,
        snapshots: Sequence[TargetSnapshot],
        now_s: float,
    ) -> Reservation | None:
        call = waiter.call
        slots_share = 1.0
        if waiter.is_late(now_s) and not queue.waiters.is_last_chance(waiter, now_s):
            slots_share = LATE_SLOTS_SHARE
        likely = likely_to_finish(call, snapshots, now_s)
        loads = self._room.loads(snapshots, len(queue.waiters), now_s)
        found = self._room.available(call, likely, slots_share, now_s, loads, waiter.is_resumed)
        available = list(found)
        if not available or self.slot_yield.yields(waiter, available, now_s):
            return None
        choice = choose_target(call, self._local_data_centre, available, now_s, loads)
        target = None if choice is None else self._targets.get(choice.target_id)
        if choice is None or target is None:
            return None
        self._room.record_choice(call, choice, now_s)
        queue.record_departure(now_s)
        queue.waiters.charge(waiter, now_s)
        self.slot_yield.record(waiter, now_s)
        overdue_after_s = max(OVERDUE_FACTOR * choice.first_event_s, MIN_OVERDUE_S)
        running = target.begin(call, now_s, overdue_after_s)
        if self._pacer is not None:
            self._pacer.record_send(target, running, now_s)
        return Reservation(choice, target, running)

    def _snapshots(
        self, call: Call, tried_ids: Collection[str], now_s: float
    ) -> Iterator[TargetSnapshot]:
        service = call.table.services.get(call.service)
        is_engine = service is not None and service.engine is not None
        return self._targets.snapshots(call, is_engine, tried_ids, now_s)

    def _quiet_s(self, snapshots: Iterable[TargetSnapshot], now_s: float) -> float:
        """Return the time until the first of some targets wants calls again; 0 if one does now."""
        ends_s = (self._room.quiet_until_s(snapshot, now_s) for snapshot in snapshots)
        return max(min(ends_s, default=now_s) - now_s, 0.0)

    def _next_check_s(self, queue: ServiceQueue, call: Call, now_s: float) -> float:
        """Return when a slot is to be sought again if nothing happens before; infinity for never.

        While all targets are quiet or cold and paced, it is when the first may be sent calls again.
        """
        ends_s = [
            self._room.quiet_until_s(found, now_s) for found in self._snapshots(call, (), now_s)
        ]
        if any(end_s <= now_s for end_s in ends_s):
            ends_s.append(max(queue.checked_s + CHECK_EVERY_S, now_s))
        return min((end_s for end_s in ends_s if end_s > now_s), default=math.inf)

    def _no_target(self, call: Call) -> RequestError:
        """Return the refusal of a call without targets, with a retry time if they are evacuated."""
        retry_ms = EVACUATED_RETRY_MS if self._targets.is_evacuated(call.service) else None
        return RequestError(ResultCode.NO_TARGET, retry_after_ms=retry_ms)

    def _refusal(
        self,
        queue: ServiceQueue,
        waiter: Waiter,
        reason: RefusalReason,
        now_s: float,
        quiet_s: float = 0.0,
    ) -> RequestError:
        self.refusals[reason] += 1
        reported = self.slot_yield.reports.waiting(waiter.call.service, now_s)
        refusal = queue_refusal(queue, waiter, reason, reported, quiet_s, now_s)
        longest_s = MAX_RETRY_AFTER_SHARE * (waiter.call.deadline_s - now_s)
        self.returns.record(waiter.call, min(refusal.retry_after_ms / 1000, longest_s), now_s)
        return refusal


def create_dispatcher(
    targets: TargetTable,
    gateways: SharingGateways,
    local_data_centre: str,
    clock: Clock,
    pacer: WarmupPacer | None = None,
    centres: CentreStatus | None = None,
) -> Dispatcher:
    """Create a dispatcher without waiting calls; `pacer` and `centres` as in `TargetRoom`."""
    return Dispatcher(targets, gateways, local_data_centre, clock, pacer, centres)
