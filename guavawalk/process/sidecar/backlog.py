"""What waits of one tier: its two lanes, its sums and its shedding order."""

from sortedcontainers import SortedList

from guavawalk.process.sidecar.lane import Lane, Waiting, create_lane

__all__ = ["TierBacklog", "create_tier_backlog"]


class Share:
    """What one workspace has waiting in a tier."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.cost_tokens = 0
        self.weight_units = 1
        self.waiting: SortedList[Waiting] = SortedList()

    @property
    def key(self) -> tuple[float, str]:
        """Waiting cost over weight, then the name."""
        return (self.cost_tokens / self.weight_units, self.workspace)


class TierBacklog:
    """Attempts of one tier that wait.

    Notes
    -----
    Long attempts have a lane of their own, so that short ones can pass while the window lets out
    no more long ones. Shed first is the last deadline of the workspace with the most waiting cost
    for its weight.
    """

    def __init__(self) -> None:
        self._lanes: tuple[Lane, Lane] = (create_lane(), create_lane())
        self._deadlines: SortedList[Waiting] = SortedList()
        self._shares: dict[str, Share] = {}
        self._heaviest: SortedList[tuple[float, str]] = SortedList()

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._deadlines)

    def add(self, waiting: Waiting) -> None:
        """Add an attempt."""
        self._lane(waiting).push(waiting)
        self._enter(waiting)

    def peek(self, with_long: bool) -> Waiting | None:
        """Return the next to dispatch: the earlier deadline of the two lanes' firsts."""
        short, long = self._lanes
        heads = [short.peek(), long.peek() if with_long else None]
        return min((head for head in heads if head is not None), default=None)

    def take(self, waiting: Waiting) -> None:
        """Take out what `peek` returned, for dispatch."""
        self._lane(waiting).pop()
        self._leave(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Take out any attempt, not for dispatch."""
        self._lane(waiting).remove(waiting)
        self._leave(waiting)

    def first_to_shed(self) -> Waiting:
        """Return the attempt that is shed first."""
        _, workspace = self._heaviest[-1]
        return self._shares[workspace].waiting[-1]

    def earliest(self) -> Waiting | None:
        """Return the attempt with the earliest deadline."""
        return self._deadlines[0] if self._deadlines else None

    def count_of(self, is_long: bool) -> int:
        """Count what waits in one lane."""
        return self._lanes[is_long].count

    def cost_tokens(self, is_long: bool) -> int:
        """Return the waiting cost of one lane."""
        return self._lanes[is_long].cost_tokens

    def cost_before_tokens(self, deadline_s: float, is_long: bool) -> int:
        """Return about how much of a lane's waiting cost has an earlier deadline."""
        if not self._deadlines:
            return 0
        before = self._deadlines.bisect_left((deadline_s,))
        return self.cost_tokens(is_long) * before // len(self._deadlines)

    def all(self) -> list[Waiting]:
        """Return what waits, by deadline."""
        return list(self._deadlines)

    def _lane(self, waiting: Waiting) -> Lane:
        return self._lanes[waiting.attempt.is_long]

    def _enter(self, waiting: Waiting) -> None:
        self._deadlines.add(waiting)
        share = self._shares.get(waiting.workspace)
        if share is None:
            share = self._shares[waiting.workspace] = Share(waiting.workspace)
        else:
            self._heaviest.remove(share.key)
        share.waiting.add(waiting)
        share.cost_tokens += waiting.cost_tokens
        share.weight_units = waiting.weight_units
        self._heaviest.add(share.key)

    def _leave(self, waiting: Waiting) -> None:
        self._deadlines.remove(waiting)
        share = self._shares[waiting.workspace]
        self._heaviest.remove(share.key)
        share.waiting.remove(waiting)
        share.cost_tokens -= waiting.cost_tokens
        if share.waiting:
            self._heaviest.add(share.key)
        else:
            del self._shares[waiting.workspace]


def create_tier_backlog() -> TierBacklog:
    """Create an empty backlog."""
    return TierBacklog()
