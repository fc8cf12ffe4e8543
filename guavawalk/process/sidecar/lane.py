"""Waiting attempts of one tier: deadline order, kept fair between workspaces."""

from typing import NamedTuple

from sortedcontainers import SortedList

from guavawalk.request.attempt import Attempt

__all__ = ["FAIRNESS_SLACK_TOKENS", "MAX_REMEMBERED_FLOWS", "Lane", "Waiting", "create_lane"]

FAIRNESS_SLACK_TOKENS = 8_192
MAX_REMEMBERED_FLOWS = 4_096
WEIGHT_UNITS = 1_000


class Waiting(NamedTuple):
    """A waiting attempt; it sorts by deadline, then by the order of arrival.

    Attributes
    ----------
    sequence : int
        Number of its arrival; no two are the same, so nothing after it is ever compared.
    weight_units : int
        Weight of its workspace, in thousandths.
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
    """What one workspace has waiting in a lane.

    Attributes
    ----------
    start : float
        Virtual time at which its next attempt is due by its share.
    """

    def __init__(self, workspace: str, start: float) -> None:
        self.workspace = workspace
        self.start = start
        self.weight_units = 0
        self.waiting: SortedList[Waiting] = SortedList()


class Lane:
    """Earliest deadline first among the workspaces that are not ahead of their share.

    Notes
    -----
    Each workspace has a virtual start, which moves on by cost over weight when an attempt of it
    is taken. The lane's virtual time moves on by cost over the weight of all that wait. A
    workspace is eligible while its start is at most `FAIRNESS_SLACK_TOKENS` past the virtual
    time. So deadline order holds until a workspace is that far ahead of its share.

    Every operation takes time logarithmic in what waits.
    """

    def __init__(self) -> None:
        self.count = 0
        self.cost_tokens = 0
        self._virtual = 0.0
        self._total_units = 0
        self._flows: dict[str, Flow] = {}
        self._remembered: dict[str, float] = {}
        self._eligible: SortedList[tuple[float, int, Flow]] = SortedList()
        self._ahead: SortedList[tuple[float, str, Flow]] = SortedList()

    def push(self, waiting: Waiting) -> None:
        """Add an attempt."""
        flow = self._flows.get(waiting.workspace) or self._new_flow(waiting.workspace)
        first = flow.waiting[0] if flow.waiting else None
        self._total_units += waiting.weight_units - flow.weight_units
        flow.weight_units = waiting.weight_units
        flow.waiting.add(waiting)
        self.count += 1
        self.cost_tokens += waiting.cost_tokens
        if flow.waiting[0] is waiting:
            self._unindex(flow, first)
            self._index(flow)

    def peek(self) -> Waiting | None:
        """Return what `pop` would take."""
        self._make_eligible()
        return self._eligible[0][2].waiting[0] if self._eligible else None

    def pop(self) -> Waiting | None:
        """Take the next attempt and charge its workspace."""
        first = self.peek()
        if first is None:
            return None
        flow = self._flows[first.workspace]
        cost = first.cost_tokens * WEIGHT_UNITS
        self._unindex(flow, first)
        flow.waiting.pop(0)
        flow.start += cost / flow.weight_units
        self._virtual += cost / self._total_units
        self._settle(first, flow)
        return first

    def remove(self, waiting: Waiting) -> None:
        """Take out an attempt that waits here; its workspace is not charged."""
        flow = self._flows[waiting.workspace]
        is_first = flow.waiting[0] is waiting
        flow.waiting.remove(waiting)
        if is_first:
            self._unindex(flow, waiting)
            self._settle(waiting, flow)
        else:
            self._uncount(waiting)

    def _new_flow(self, workspace: str) -> Flow:
        start = max(self._virtual, self._remembered.pop(workspace, 0.0))
        flow = self._flows[workspace] = Flow(workspace, start)
        return flow

    def _uncount(self, taken: Waiting) -> None:
        self.count -= 1
        self.cost_tokens -= taken.cost_tokens

    def _settle(self, taken: Waiting, flow: Flow) -> None:
        self._uncount(taken)
        if flow.waiting:
            self._index(flow)
            return
        del self._flows[flow.workspace]
        self._total_units -= flow.weight_units
        if not self._flows:
            self._remembered.clear()
            self._virtual = 0.0
        elif flow.start > self._virtual:
            self._remember(flow)

    def _remember(self, flow: Flow) -> None:
        if len(self._remembered) >= MAX_REMEMBERED_FLOWS:
            del self._remembered[next(iter(self._remembered))]
        self._remembered[flow.workspace] = flow.start

    def _index(self, flow: Flow) -> None:
        if flow.start <= self._virtual + FAIRNESS_SLACK_TOKENS:
            self._add_eligible(flow)
        else:
            self._ahead.add((flow.start, flow.workspace, flow))

    def _add_eligible(self, flow: Flow) -> None:
        first = flow.waiting[0]
        self._eligible.add((first.deadline_s, first.sequence, flow))

    def _unindex(self, flow: Flow, first: Waiting | None) -> None:
        if first is None:
            return
        self._eligible.discard((first.deadline_s, first.sequence, flow))
        self._ahead.discard((flow.start, flow.workspace, flow))

    def _make_eligible(self) -> None:
        if not self._eligible and self._ahead:
            start, _, flow = self._ahead.pop(0)
            self._virtual = max(self._virtual, start - FAIRNESS_SLACK_TOKENS)
            self._add_eligible(flow)
        while self._ahead and self._ahead[0][0] <= self._virtual + FAIRNESS_SLACK_TOKENS:
            self._add_eligible(self._ahead.pop(0)[2])


def create_lane() -> Lane:
    """Create an empty lane."""
    return Lane()
