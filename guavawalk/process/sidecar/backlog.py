"""Queues the attempts of one tier in a short and a long lane, and selects which to shed."""

from sortedcontainers import SortedList

from guavawalk.process.sidecar.lane import Lane, QueuedAttempt, create_lane

__all__ = ["TierBacklog", "create_tier_backlog"]


class WorkspaceBacklog:
    """Waiting attempts of one workspace in one tier."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.cost_tokens = 0
        self.weight_units = 1
        self.waiting: SortedList[QueuedAttempt] = SortedList()

    @property
    def shed_key(self) -> tuple[float, str]:
        """Waiting cost divided by weight, then the workspace; the highest key is shed first."""
        return (self.cost_tokens / self.weight_units, self.workspace)


class TierBacklog:
    """Waiting attempts of one tier.

    Notes
    -----
    Long attempts wait in a lane of their own, so that short ones can pass them while the window
    admits no more long ones. Load is shed from the workspace with the highest waiting cost for its
    weight, latest deadline first.
    """

    def __init__(self) -> None:
        # The short and the long lane, indexed by `is_long`.
        self._lanes: tuple[Lane, Lane] = (create_lane(), create_lane())
        self._deadlines: SortedList[QueuedAttempt] = SortedList()
        self._workspaces: dict[str, WorkspaceBacklog] = {}
        self._shed_keys: SortedList[tuple[float, str]] = SortedList()

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._deadlines)

    def add(self, queued: QueuedAttempt) -> None:
        """Add an attempt to its lane."""
        self._lane(queued).push(queued)
        self._index(queued)

    def peek(self, with_long: bool) -> QueuedAttempt | None:
        """Return the next attempt to dispatch, or None if there is none.

        Notes
        -----
        Each lane has a next attempt; the one with the earlier deadline is returned. The long lane
        counts only if `with_long` is true.
        """
        short, long = self._lanes
        heads = [short.peek(), long.peek() if with_long else None]
        return min((head for head in heads if head is not None), default=None)

    def remove_dispatched(self, queued: QueuedAttempt) -> None:
        """Remove the attempt that `peek` returned, and charge its workspace for it."""
        self._lane(queued).pop()
        self._unindex(queued)

    def remove(self, queued: QueuedAttempt) -> None:
        """Remove any waiting attempt without charging its workspace."""
        self._lane(queued).remove(queued)
        self._unindex(queued)

    def first_to_shed(self) -> QueuedAttempt:
        """Return the attempt to shed first; the backlog must not be empty."""
        _, workspace = self._shed_keys[-1]
        return self._workspaces[workspace].waiting[-1]

    def earliest(self) -> QueuedAttempt | None:
        """Return the attempt with the earliest deadline, or None if nothing waits."""
        return self._deadlines[0] if self._deadlines else None

    def lane_length(self, is_long: bool) -> int:
        """Return the number of attempts in the long or in the short lane."""
        return self._lanes[is_long].count

    def lane_cost_tokens(self, is_long: bool) -> int:
        """Return the total cost of the long or of the short lane."""
        return self._lanes[is_long].cost_tokens

    def earlier_cost_tokens(self, deadline_s: float, is_long: bool) -> int:
        """Estimate the cost of the attempts in a lane that have an earlier deadline.

        Notes
        -----
        The cost of the lane is prorated by the share of the tier's attempts whose deadline is
        earlier.
        """
        if not self._deadlines:
            return 0
        before = self._deadlines.bisect_left((deadline_s,))
        return self.lane_cost_tokens(is_long) * before // len(self._deadlines)

    def by_deadline(self) -> list[QueuedAttempt]:
        """Return all waiting attempts in order of their deadlines."""
        return list(self._deadlines)

    def _lane(self, queued: QueuedAttempt) -> Lane:
        return self._lanes[queued.attempt.is_long]

    def _index(self, queued: QueuedAttempt) -> None:
        self._deadlines.add(queued)
        backlog = self._workspaces.get(queued.workspace)
        if backlog is None:
            backlog = self._workspaces[queued.workspace] = WorkspaceBacklog(queued.workspace)
        else:
            self._shed_keys.remove(backlog.shed_key)
        backlog.waiting.add(queued)
        backlog.cost_tokens += queued.cost_tokens
        backlog.weight_units = queued.weight_units
        self._shed_keys.add(backlog.shed_key)

    def _unindex(self, queued: QueuedAttempt) -> None:
        self._deadlines.remove(queued)
        backlog = self._workspaces[queued.workspace]
        self._shed_keys.remove(backlog.shed_key)
        backlog.waiting.remove(queued)
        backlog.cost_tokens -= queued.cost_tokens
        if backlog.waiting:
            self._shed_keys.add(backlog.shed_key)
        else:
            del self._workspaces[queued.workspace]


def create_tier_backlog() -> TierBacklog:
    """Create an empty backlog."""
    return TierBacklog()
