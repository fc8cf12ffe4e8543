"""What waits at the other gateways and what workspaces received, and when a slot is left to them.

The load handled is gateways whose queues differ: one holds urgent or badly served calls while
others have slots for calls that could wait.
"""

from collections.abc import Iterable, Mapping
from heapq import nlargest
from typing import NamedTuple

from guavawalk.bounded import Amount, Count, Name
from guavawalk.process.gateway.received_costs import MAX_REPORTED_RECEIVED

__all__ = [
    "QueueReports",
    "WaitingCalls",
    "create_queue_reports",
    "sum_received",
    "sum_waiting",
]

# Most services and ranks of waiting calls that one report may hold.
MAX_REPORTED_WAITING = 64
# Age from which on a report of waiting calls is ignored, in seconds.
STALE_AFTER_S = 1.5
# A workspace is clearly less served than another if it received less than this share.
LESS_SERVED_SHARE = 0.5


class WaitingCalls(NamedTuple):
    """Calls of one service and rank that wait at a gateway, or at all of a data centre.

    Attributes
    ----------
    cost : int
        Their expected cost, in prompt tokens.
    goal_age_ms : int
        Time since the earliest latency goal; below 0 while it is still ahead.
    least_received : float
        Cost that the least served workspace among them has received, at all known gateways.
    departures : float
        Calls of the service, of any rank, that get a slot there each second; 0 in all but the
        first entry of a service, so that it counts once.
    yielding : int
        How many of them are late and may not use all slots, so that none is left to them.
    """

    service: Name
    rank: Count
    count: Count
    cost: Count
    goal_age_ms: Count
    least_received: Amount = 0.0
    departures: Amount = 0.0
    yielding: Count = 0


class _Reported(NamedTuple):
    at_s: float
    waiting: tuple[WaitingCalls, ...]
    received: Mapping[str, float]
    is_local: bool


class QueueReports:
    """The last reports of the other gateways and data centres."""

    def __init__(self) -> None:
        self._reported: dict[str, _Reported] = {}
        # Sources of which calls wait for each service.
        self._sources: dict[str, set[str]] = {}

    def apply(
        self,
        source: str,
        waiting: Iterable[WaitingCalls],
        received: Mapping[str, float],
        now_s: float,
        is_local: bool = True,
    ) -> None:
        """Replace what a gateway or data centre reported before.

        Parameters
        ----------
        is_local : bool, optional
            Whether the calls wait in this data centre.
        """
        self._drop(source)
        for known in [name for name, old in self._reported.items() if _is_stale(old, now_s)]:
            self._drop(known)
        kept = tuple(calls for calls in waiting if calls.count > 0)[:MAX_REPORTED_WAITING]
        if not kept and not received:
            return
        self._reported[source] = _Reported(now_s, kept, received, is_local)
        for calls in kept:
            self._sources.setdefault(calls.service, set()).add(source)

    def __len__(self) -> int:
        """Return the number of services for which calls wait elsewhere, by all kept reports."""
        return len(self._sources)

    def _drop(self, source: str) -> None:
        known = self._reported.pop(source, None)
        for calls in () if known is None else known.waiting:
            sources = self._sources.get(calls.service, set())
            sources.discard(source)
            if not sources:
                self._sources.pop(calls.service, None)

    def has_waiting(self, service: str) -> bool:
        """Return whether any report, even a stale one, holds waiting calls of a service."""
        return service in self._sources

    def waiting(
        self, service: str, now_s: float, is_local_only: bool = False
    ) -> list[WaitingCalls]:
        """Return what waits elsewhere for a service, by reports that are not stale."""
        if service not in self._sources:
            return []
        reported = [self._reported[source] for source in self._sources[service]]
        return [
            calls
            for report in reported
            if not _is_stale(report, now_s) and (report.is_local or not is_local_only)
            for calls in report.waiting
            if calls.service == service
        ]

    def received(self, workspace: str, now_s: float) -> float:
        """Return the weighted cost that a workspace has received elsewhere."""
        return sum(
            report.received.get(workspace, 0.0)
            for report in self._reported.values()
            if not _is_stale(report, now_s)
        )

    def count_rivals(self, service: str, rank: int, received: float, now_s: float) -> int:
        """Return how many calls wait elsewhere that clearly should go before one of this gateway.

        Parameters
        ----------
        received : float
            Cost that the workspace of this gateway's call has received at all known gateways.

        Notes
        -----
        These are calls of a lower rank, and those of the same rank of which one's workspace is
        clearly less served. Calls of other data centres don't count: few of them may come here.
        """
        return sum(
            calls.count - calls.yielding if calls.rank < rank else 1
            for calls in self.waiting(service, now_s, is_local_only=True)
            if calls.count > calls.yielding
            and (
                calls.rank < rank
                or (calls.rank == rank and calls.least_received < LESS_SERVED_SHARE * received)
            )
        )


def _is_stale(reported: _Reported, now_s: float) -> bool:
    return now_s - reported.at_s > STALE_AFTER_S


def sum_waiting(waiting: Iterable[WaitingCalls]) -> tuple[WaitingCalls, ...]:
    """Return one entry for each service and rank."""
    sums: dict[tuple[str, int], WaitingCalls] = {}
    for calls in waiting:
        key = (calls.service, calls.rank)
        known = sums.get(key)
        sums[key] = (
            calls
            if known is None
            else WaitingCalls(
                *key,
                known.count + calls.count,
                known.cost + calls.cost,
                max(known.goal_age_ms, calls.goal_age_ms),
                min(known.least_received, calls.least_received),
                known.departures + calls.departures,
                known.yielding + calls.yielding,
            )
        )
    return tuple(sums.values())[:MAX_REPORTED_WAITING]


def sum_received(received: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the largest sums by workspace."""
    sums: dict[str, float] = {}
    for costs in received:
        for workspace, cost in costs.items():
            sums[workspace] = sums.get(workspace, 0.0) + cost
    largest = nlargest(MAX_REPORTED_RECEIVED, sums, key=sums.__getitem__)
    return {workspace: round(sums[workspace], 1) for workspace in largest}


def create_queue_reports() -> QueueReports:
    """Create a table without reports."""
    return QueueReports()
