"""Waiting calls in groups of equal urgency, and by the shares of their workspaces in each group.

The load handled is more calls than the targets can take: the position of a call in this order,
with the rate at which calls leave, predicts its wait.
"""

from collections.abc import Collection, Iterator
from heapq import heappop, heappush
from itertools import count, islice
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

from guavawalk.process.gateway.received_costs import create_received_costs
from guavawalk.process.gateway.waiting import GroupKey, Waiter
from guavawalk.request.fair_share import FairShares, create_fair_shares

__all__ = ["FairQueue", "create_fair_queue"]

# A workspace is clearly below its share if what it has received and what waits of it cost less than
# this part of the largest such sum in the tier. Of workspaces that send alike none is.
BELOW_SHARE = 0.5
# Time for which the workspace that is most above its share counts as such, in seconds: to look at
# all of them for each call would take long.
SEARCH_INTERVAL_S = 0.02


class _Entry(NamedTuple):
    """A waiter, ordered within its workspace; `sequence` is unique among all entries."""

    is_late: bool
    is_newcomer: bool
    latency_goal_at_s: float
    sequence: int
    waiter: Waiter


class _Flow:
    """Waiting calls of one workspace in a group."""

    def __init__(self) -> None:
        self.entries: SortedList[_Entry] = SortedList()
        self.cost_tokens = 0
        # Virtual start and first entry under which the flow is indexed.
        self.head: tuple[float, _Entry] | None = None


class _Group:
    """Waiting calls of equal urgency by workspace."""

    def __init__(self, shares: FairShares) -> None:
        self.shares = shares
        self.flows: dict[str, _Flow] = {}
        self.count = 0
        self._heads: SortedList[tuple[float, _Entry]] = SortedList()

    def add(self, entry: _Entry) -> None:
        flow = self.flows.setdefault(entry.waiter.workspace, _Flow())
        flow.entries.add(entry)
        flow.cost_tokens += entry.waiter.cost_tokens
        self.count += 1
        if flow.entries[0] is entry:
            self.index(entry.waiter.workspace)

    def remove(self, entry: _Entry) -> None:
        flow = self.flows[entry.waiter.workspace]
        flow.entries.remove(entry)
        flow.cost_tokens -= entry.waiter.cost_tokens
        self.count -= 1
        if flow.head is not None and flow.head[1] is entry:
            self.index(entry.waiter.workspace)
        if not flow.entries:
            del self.flows[entry.waiter.workspace]

    def index(self, workspace: str) -> None:
        """Update the position of a workspace whose first call or virtual start has changed."""
        flow = self.flows.get(workspace)
        if flow is None:
            return
        if flow.head is not None:
            self._heads.remove(flow.head)
        flow.head = None
        if flow.entries:
            flow.head = (self.shares.start(workspace), flow.entries[0])
            self._heads.add(flow.head)

    def first(self, skipped: Collection[Waiter]) -> Waiter | None:
        if not skipped:
            return self._heads[0][1].waiter
        rest = (
            (self.shares.start(workspace), entry)
            for workspace, flow in self.flows.items()
            for entry in islice((e for e in flow.entries if e.waiter not in skipped), 1)
        )
        best = min(rest, default=None)
        return None if best is None else best[1].waiter

    def count_before(self, entry: _Entry) -> int:
        """Return the number of calls that are expected to go before an entry."""
        own = self.flows.get(entry.waiter.workspace)
        own_start = self.shares.start(entry.waiter.workspace)
        before = 0
        if own is not None:
            before = own.entries.bisect_left(entry)
            own_start += before * own.cost_tokens / len(own.entries)
        for start, head in self._heads:
            if start > own_start:
                break
            flow = self.flows[head.waiter.workspace]
            if flow is own:
                continue
            # Of two calls at the same virtual start the one with the earlier goal goes first.
            number = len(flow.entries)
            served = int((own_start - start) * number / flow.cost_tokens) + (head < entry)
            before += min(served, number)
        return before


class _Tier:
    """Shares of the workspaces that wait in a tier, with number and cost of their calls."""

    def __init__(self) -> None:
        self.shares = create_fair_shares()
        self.received = create_received_costs()
        self.counts: dict[str, int] = {}
        self._most_above = ""
        self._search_s = 0.0
        self.costs_tokens: dict[str, int] = {}

    def add(self, waiter: Waiter) -> None:
        workspace = waiter.workspace
        self.counts[workspace] = self.counts.get(workspace, 0) + 1
        self.costs_tokens[workspace] = self.costs_tokens.get(workspace, 0) + waiter.cost_tokens
        self.shares.begin_waiting(workspace)

    def remove(self, waiter: Waiter) -> None:
        workspace = waiter.workspace
        self.counts[workspace] -= 1
        self.costs_tokens[workspace] -= waiter.cost_tokens
        if not self.counts[workspace]:
            del self.counts[workspace], self.costs_tokens[workspace]
            self.shares.end_waiting(workspace)

    def charge(self, waiter: Waiter, now_s: float) -> None:
        self.received.record(waiter.workspace, waiter.cost_tokens, now_s)
        if not self.counts:
            return
        waits = waiter.workspace in self.counts
        if not waits:
            self.shares.begin_waiting(waiter.workspace)
        self.shares.charge(waiter.workspace, waiter.cost_tokens)
        if not waits:
            self.shares.end_waiting(waiter.workspace)

    def demand(self, workspace: str, factor: float) -> float:
        """Return the cost that a workspace has received, and that of its waiting calls."""
        return self.received.received(workspace, factor) + self.costs_tokens.get(workspace, 0)

    def most_above(self, now_s: float) -> tuple[str, float]:
        """Return the waiting workspace that is most above its share, and its demand."""
        factor = self.received.factor(now_s)
        if self._most_above not in self.counts or now_s >= self._search_s:
            demands = ((self.demand(workspace, factor), workspace) for workspace in self.counts)
            _, self._most_above = max(demands)
            self._search_s = now_s + SEARCH_INTERVAL_S
        return self._most_above, self.demand(self._most_above, factor)


class FairQueue:
    """Waiting calls of one service.

    Notes
    -----
    Calls are ordered by `Waiter.group`, then by how far their workspace is ahead of its share, then
    those that return when told before others, then by the earlier latency goal. With one workspace
    this is the order of latency goals. The shares are those of a tier; they are kept while calls
    of the tier wait. To count the calls before one takes time in proportion to the workspaces that
    wait in its group, all other operations take logarithmic time in the number of calls.
    """

    def __init__(self) -> None:
        self._sequence = count()
        self._groups: SortedDict[GroupKey, _Group] = SortedDict()
        self._tiers: dict[tuple[int, int], _Tier] = {}
        self._entries: dict[Waiter, tuple[GroupKey, _Entry]] = {}
        # When the group of a call changes next, by the number of its entry: calls that no longer
        # wait may have large bodies and must not be held here.
        self._changes: list[tuple[float, int]] = []
        self._by_sequence: dict[int, Waiter] = {}

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiting calls in the order of their arrival."""
        return iter(self._entries)

    def __contains__(self, waiter: Waiter) -> bool:
        """Return whether a call waits here."""
        return waiter in self._entries

    def add(self, waiter: Waiter, now_s: float) -> None:
        """Add a call."""
        self._tiers.setdefault(waiter.tier, _Tier()).add(waiter)
        self._insert(waiter, self._entry(waiter, now_s), now_s)

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that waits here."""
        key, entry = self._entries.pop(waiter)
        del self._by_sequence[entry.sequence]
        self._take_from_group(key, entry)
        self._tiers[waiter.tier].remove(waiter)

    def charge(self, waiter: Waiter, now_s: float) -> None:
        """Charge a call that got a slot to its workspace; its share, if others of its tier wait."""
        tier = self._tiers.get(waiter.tier)
        if tier is None:
            tier = self._tiers[waiter.tier] = _Tier()
        tier.charge(waiter, now_s)
        for key, group in self._groups.items():
            if (key.rank, key.route_rank) == waiter.tier:
                group.index(waiter.workspace)

    def is_last_chance(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether a late call would be refused soon while calls of lower tiers wait."""
        return not waiter.yields(now_s) and any(
            tier > waiter.tier and waiting.counts for tier, waiting in self._tiers.items()
        )

    def first(self, now_s: float, skipped: Collection[Waiter] = ()) -> Waiter | None:
        """Return the first call that is not in `skipped`; None if there is none."""
        self._update_groups(now_s)
        for group in self._groups.values():
            first = group.first(skipped)
            if first is not None:
                return first
        return None

    def last(self, now_s: float) -> Waiter | None:
        """Return the call to refuse first; None if only resumed streams wait.

        Notes
        -----
        It is of the least urgent tier and the workspace that is most above its share there, a late
        one if there is.
        """
        self._update_groups(now_s)
        keys = [key for key in self._groups if key.is_not_resumed]
        if not keys:
            return None
        tier = max((key.rank, key.route_rank) for key in keys)
        workspace, _ = self._tiers[tier].most_above(now_s)
        flows = [
            (key.is_late, self._groups[key].flows[workspace])
            for key in keys
            if (key.rank, key.route_rank) == tier and workspace in self._groups[key].flows
        ]
        if not flows:
            # Its calls are resumed streams.
            return None
        _, flow = max(flows, key=lambda late_flow: late_flow[0])
        return flow.entries[-1].waiter

    def count_before(self, waiter: Waiter, now_s: float) -> int:
        """Return the number of calls that are expected to go before one."""
        if not self._entries:
            return 0
        self._update_groups(now_s)
        _, entry = self._entries.get(waiter) or (None, self._entry(waiter, now_s))
        key = waiter.group(now_s)
        before = 0
        for other, group in self._groups.items():
            if key.is_late:
                # In the end, late calls go before less urgent ones.
                other = other._replace(yields=key.yields)
            if other == key:
                before += group.count_before(entry)
            elif other < key:
                before += group.count
        return before

    def is_above(self, victim: Waiter, newcomer: Waiter, now_s: float) -> bool:
        """Return whether a waiting call's workspace is further above its share than a new one's."""
        tier = self._tiers[victim.tier]
        factor = tier.received.factor(now_s)
        return victim.tier == newcomer.tier and (
            tier.demand(victim.workspace, factor)
            > tier.demand(newcomer.workspace, factor) + newcomer.cost_tokens
        )

    def share_of_largest(self, waiter: Waiter, now_s: float) -> float:
        """Return the ratio of a call's workspace to the one most above its share, from 0 to 1.

        What counts is what each has received in the tier and what of it waits; 1 if nothing waits.
        """
        tier = self._tiers.get(waiter.tier)
        if tier is None or not tier.counts:
            return 1.0
        demand = tier.demand(waiter.workspace, tier.received.factor(now_s))
        if waiter not in self._entries:
            demand += waiter.cost_tokens
        return min(demand / max(tier.most_above(now_s)[1], demand), 1.0)

    def is_below_share(self, waiter: Waiter, now_s: float) -> bool:
        """Return whether another workspace of the tier is clearly further above its share."""
        return self.share_of_largest(waiter, now_s) < BELOW_SHARE

    def _entry(self, waiter: Waiter, now_s: float) -> _Entry:
        goal_at_s = waiter.call.latency_goal_at_s
        is_late = not waiter.is_resumed and now_s >= waiter.timely_until_s
        return _Entry(is_late, not waiter.is_returning, goal_at_s, next(self._sequence), waiter)

    def _insert(self, waiter: Waiter, entry: _Entry, now_s: float) -> None:
        key = waiter.group(now_s)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(self._tiers[waiter.tier].shares)
        group.add(entry)
        self._entries[waiter] = (key, entry)
        self._by_sequence[entry.sequence] = waiter
        change_s = waiter.next_group_change_s(now_s)
        if change_s is not None:
            heappush(self._changes, (change_s, entry.sequence))

    def _take_from_group(self, key: GroupKey, entry: _Entry) -> None:
        group = self._groups[key]
        group.remove(entry)
        if not group.count:
            del self._groups[key]

    def _update_groups(self, now_s: float) -> None:
        while self._changes and self._changes[0][0] <= now_s:
            _, sequence = heappop(self._changes)
            waiter = self._by_sequence.get(sequence)
            if waiter is None:
                continue
            known = self._entries[waiter]
            waiter.keeps_turn = waiter.keeps_turn or self.is_below_share(waiter, now_s)
            self._take_from_group(*known)
            is_late = now_s >= waiter.timely_until_s
            self._insert(waiter, known[1]._replace(is_late=is_late), now_s)


def create_fair_queue() -> FairQueue:
    """Create a queue in which nothing waits."""
    return FairQueue()
