"""Queues the attempts of one lane by deadline, within fair shares of the workspaces."""

from typing import NamedTuple

from sortedcontainers import SortedList

from guavawalk.request.attempt import Attempt
from guavawalk.request.fair_share import MAX_IDLE_SHARES, create_fair_shares

__all__ = ["FAIRNESS_SLACK_TOKENS", "MAX_IDLE_FLOWS", "Lane", "QueuedAttempt", "create_lane"]

# Lead over its fair share that a workspace may have, in tokens of cost divided by weight.
FAIRNESS_SLACK_TOKENS = 8_192
# Bound on the workspaces without waiting attempts whose virtual start is kept, so that a
# workspace that is ahead of its fair share cannot reset its lead by emptying its queue.
MAX_IDLE_FLOWS = MAX_IDLE_SHARES
# Integer units for a workspace weight of 1.0.
UNITS_PER_WEIGHT = 1_000


class QueuedAttempt(NamedTuple):
    """A waiting attempt; it is ordered by deadline and then by arrival.

    Attributes
    ----------
    deadline_s : float
        On the process's monotonic clock.
    sequence : int
        Arrival number. It is unique, so that no comparison reaches the fields after it.
    rank : int
        Rank of its tier, limited by `clamp_rank`.
    weight_units : int
        Weight of its workspace, in thousandths (`UNITS_PER_WEIGHT`).
    """

    deadline_s: float
    sequence: int
    attempt: Attempt
    rank: int
    cost_tokens: int
    weight_units: int

    @property
    def workspace(self) -> str:
        """Workspace of the attempt."""
        return self.attempt.offer.workspace


class Flow:
    """Waiting attempts of one workspace in a lane.

    Attributes
    ----------
    start : float
        Virtual start of the workspace under which it is indexed.
    """

    def __init__(self, workspace: str, start: float) -> None:
        self.workspace = workspace
        self.start = start
        self.waiting: SortedList[QueuedAttempt] = SortedList()


class Lane:
    """Queue ordered by earliest deadline among the workspaces within their fair share.

    Attributes
    ----------
    count : int
        Number of waiting attempts.
    cost_tokens : int
        Their total cost.

    Notes
    -----
    `FairShares` keeps the virtual starts of the workspaces. A workspace is eligible while its start
    is at most `FAIRNESS_SLACK_TOKENS` past the virtual time, so deadline order holds until a
    workspace is that far ahead of its fair share. If none is eligible, the virtual time advances
    until one is.

    Every operation takes logarithmic time in the number of waiting attempts.
    """

    def __init__(self) -> None:
        self.count = 0
        self.cost_tokens = 0
        self._shares = create_fair_shares(MAX_IDLE_FLOWS)
        self._flows: dict[str, Flow] = {}
        self._eligible: SortedList[tuple[float, int, Flow]] = SortedList()
        self._ahead: SortedList[tuple[float, str, Flow]] = SortedList()

    def push(self, queued: QueuedAttempt) -> None:
        """Add an attempt."""
        flow = self._flows.get(queued.workspace) or self._new_flow(queued.workspace)
        first = flow.waiting[0] if flow.waiting else None
        self._shares.begin_waiting(queued.workspace, queued.weight_units)
        flow.waiting.add(queued)
        self.count += 1
        self.cost_tokens += queued.cost_tokens
        if flow.waiting[0] is queued:
            self._unindex(flow, first)
            self._index(flow)

    def peek(self) -> QueuedAttempt | None:
        """Return the attempt that `pop` would remove, or None if the lane is empty."""
        self._make_eligible()
        return self._eligible[0][2].waiting[0] if self._eligible else None

    def pop(self) -> QueuedAttempt | None:
        """Remove the next attempt and charge its workspace; return None if the lane is empty."""
        first = self.peek()
        if first is None:
            return None
        flow = self._flows[first.workspace]
        self._unindex(flow, first)
        flow.waiting.pop(0)
        self._shares.charge(first.workspace, first.cost_tokens * UNITS_PER_WEIGHT)
        flow.start = self._shares.start(first.workspace)
        self._finish_removal(first, flow)
        return first

    def remove(self, queued: QueuedAttempt) -> None:
        """Remove a waiting attempt without charging its workspace."""
        flow = self._flows[queued.workspace]
        is_first = flow.waiting[0] is queued
        flow.waiting.remove(queued)
        if is_first:
            self._unindex(flow, queued)
            self._finish_removal(queued, flow)
        else:
            self._subtract(queued)

    def _new_flow(self, workspace: str) -> Flow:
        flow = self._flows[workspace] = Flow(workspace, self._shares.start(workspace))
        return flow

    def _subtract(self, removed: QueuedAttempt) -> None:
        self.count -= 1
        self.cost_tokens -= removed.cost_tokens

    def _finish_removal(self, removed: QueuedAttempt, flow: Flow) -> None:
        self._subtract(removed)
        if flow.waiting:
            self._index(flow)
            return
        del self._flows[flow.workspace]
        self._shares.end_waiting(flow.workspace)

    def _index(self, flow: Flow) -> None:
        if flow.start <= self._shares.virtual_time + FAIRNESS_SLACK_TOKENS:
            self._add_eligible(flow)
        else:
            self._ahead.add((flow.start, flow.workspace, flow))

    def _add_eligible(self, flow: Flow) -> None:
        first = flow.waiting[0]
        self._eligible.add((first.deadline_s, first.sequence, flow))

    def _unindex(self, flow: Flow, first: QueuedAttempt | None) -> None:
        if first is None:
            return
        self._eligible.discard((first.deadline_s, first.sequence, flow))
        self._ahead.discard((flow.start, flow.workspace, flow))

    def _make_eligible(self) -> None:
        if not self._eligible and self._ahead:
            start, _, flow = self._ahead.pop(0)
            self._shares.advance(start - FAIRNESS_SLACK_TOKENS)
            self._add_eligible(flow)
        limit = self._shares.virtual_time + FAIRNESS_SLACK_TOKENS
        while self._ahead and self._ahead[0][0] <= limit:
            self._add_eligible(self._ahead.pop(0)[2])


def create_lane() -> Lane:
    """Create an empty lane."""
    return Lane()
