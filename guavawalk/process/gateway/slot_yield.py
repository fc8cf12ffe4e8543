"""Decides whether a free slot is left to a call that waits at another gateway.

The load handled is gateways whose queues differ. No message asks for a slot: a gateway that sees
more urgent or less served calls in the reports of others leaves its share of the free slots for
one report interval, and then takes slots for as long. So no slot stays idle for longer, whatever
the reports say and even if they stop.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from guavawalk.process.gateway.queue_reports import QueueReports, WaitingCalls, create_queue_reports
from guavawalk.process.gateway.received_costs import create_received_costs
from guavawalk.process.gateway.room import SPARE_SLOTS, SharingGateways
from guavawalk.process.gateway.service_queue import ServiceQueue
from guavawalk.process.gateway.waiting import Waiter
from guavawalk.request.target_choice import TargetSnapshot

__all__ = ["SlotYield", "create_slot_yield"]

# Longest time for which a slot is left, in seconds: one report interval, in which the gateway of
# the other call learns that it is free.
YIELD_S = 0.2


class SlotYield:
    """Slots that this gateway leaves to others, and what it reports for them to do the same.

    Attributes
    ----------
    reports : QueueReports
        What the other gateways reported.
    yielded : int
        Number of times that a waiting call got no slot for the sake of another gateway's.
    """

    def __init__(self, gateways: SharingGateways) -> None:
        self.reports: QueueReports = create_queue_reports()
        self.yielded = 0
        self._gateways = gateways
        self._received = create_received_costs()
        # When slots of a service began to be left.
        self._since_s: dict[str, float] = {}

    def record(self, waiter: Waiter, now_s: float) -> None:
        """Record that a call got a slot."""
        self._received.record(waiter.workspace, waiter.cost_tokens, now_s)

    def yields(self, waiter: Waiter, available: Iterable[TargetSnapshot], now_s: float) -> bool:
        """Return whether a call leaves the free slots of the targets that have room to others."""
        service = waiter.call.service
        if waiter.is_resumed or not self.reports.has_waiting(service):
            return False
        received = self._total_received(waiter.workspace, now_s)
        rivals = self.reports.count_rivals(service, waiter.call.rank, received, now_s)
        if not rivals:
            return False
        free = sum(max(target.slots + SPARE_SLOTS - target.running, 0) for target in available)
        if free <= 0 or free > math.ceil(rivals / max(self._gateways.count(), 1)):
            # Without a free slot, the call would use this gateway's fair share of a full target.
            return False
        since_s = self._since_s.get(service, -math.inf)
        if now_s >= since_s + 2 * YIELD_S:
            since_s = self._since_s[service] = now_s
        if now_s >= since_s + YIELD_S:
            return False
        self.yielded += 1
        return True

    def next_end_s(self, service: str, now_s: float) -> float:
        """Return when slots of a service are no longer left; infinity if none are now."""
        end_s = self._since_s.get(service, -math.inf) + YIELD_S
        return end_s if end_s > now_s else math.inf

    def report_waiting(
        self, queues: Mapping[str, ServiceQueue], now_s: float
    ) -> tuple[WaitingCalls, ...]:
        """Return what waits at this gateway, for its report."""
        return tuple(
            calls
            for service, queue in queues.items()
            for calls in _measure(service, queue, self._total_received, now_s)
        )

    def report_received(self, waits: bool, now_s: float) -> dict[str, float]:
        """Return what workspaces received from this gateway, for its report.

        It is empty while calls wait neither here (`waits`) nor elsewhere: then nobody needs it, and
        every byte between data centres costs.
        """
        return self._received.largest(now_s) if waits or self.reports else {}

    def _total_received(self, workspace: str, now_s: float) -> float:
        own = self._received.received(workspace, self._received.factor(now_s))
        return own + self.reports.received(workspace, now_s)


def _measure(
    service: str, queue: ServiceQueue, received: Callable[[str, float], float], now_s: float
) -> Iterable[WaitingCalls]:
    by_rank: dict[int, list[Waiter]] = {}
    for waiter in queue.waiters:
        by_rank.setdefault(waiter.call.rank, []).append(waiter)
    departures = queue.departure_rate(now_s)
    for rank, waiters in by_rank.items():
        goal_at_s = min(waiter.call.latency_goal_at_s for waiter in waiters)
        yield WaitingCalls(
            service,
            rank,
            len(waiters),
            sum(waiter.cost_tokens for waiter in waiters),
            round(1000 * (now_s - goal_at_s)),
            round(min(received(name, now_s) for name in {each.workspace for each in waiters}), 1),
            departures,
            sum(waiter.yields(now_s) for waiter in waiters),
        )
        departures = 0.0


def create_slot_yield(gateways: SharingGateways) -> SlotYield:
    """Create the decision of a gateway that has received no reports."""
    return SlotYield(gateways)
