"""Wasted prompt tokens over the life of a sidecar, by cause, tier and workspace."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sortedcontainers import SortedList

from guavawalk.request.waste import Waste, WasteCause

__all__ = [
    "MAX_WORKSPACES",
    "WasteReport",
    "WasteRow",
    "WasteTotals",
    "WorkspaceWaste",
    "create_waste_totals",
]

MAX_WORKSPACES = 256


class WasteRow(NamedTuple):
    """Tokens wasted for one cause in one tier."""

    cause: WasteCause
    rank: int
    tokens: int


class WorkspaceWaste(NamedTuple):
    """Tokens that one workspace wasted, between two bounds."""

    workspace: str
    least_tokens: int
    most_tokens: int


class WasteReport(NamedTuple):
    """What was wasted so far.

    Attributes
    ----------
    computed_tokens : int
        All prompt tokens computed, wasted or not.
    rows : tuple of WasteRow
        Exact, by cause and rank.
    workspaces : tuple of WorkspaceWaste
        The workspaces that wasted most; each with more than the total over `MAX_WORKSPACES`
        is among them.
    rest_tokens : int
        Waste that belongs to no workspace listed for sure.
    """

    computed_tokens: int
    rows: tuple[WasteRow, ...]
    workspaces: tuple[WorkspaceWaste, ...]
    rest_tokens: int


class Counted(NamedTuple):
    """Counter of one workspace; `error_tokens` of it were inherited from others."""

    tokens: int
    error_tokens: int


class WasteTotals:
    """Totals by cause and tier, and the heaviest workspaces in bounded memory.

    Notes
    -----
    A workspace that is new to a full table takes the place of the lightest one and inherits its
    count as error (the space-saving algorithm), so the counters always add up to the total.
    """

    def __init__(self, max_workspaces: int) -> None:
        self.computed_tokens = 0
        self._max_workspaces = max_workspaces
        self._rows: Counter[tuple[WasteCause, int]] = Counter()
        self._counted: dict[str, Counted] = {}
        self._lightest: SortedList[tuple[int, str]] = SortedList()

    def note(self, workspace: str, rank: int, wastes: Iterable[Waste]) -> None:
        """Add what one attempt wasted."""
        for waste in wastes:
            self._rows[waste.cause, rank] += waste.tokens
            self._count(workspace, waste.tokens)

    def report(self) -> WasteReport:
        """Return the totals, heaviest workspaces first."""
        rows = [WasteRow(cause, rank, tokens) for (cause, rank), tokens in self._rows.items()]
        heaviest = [workspace for _, workspace in reversed(self._lightest)]
        return WasteReport(
            computed_tokens=self.computed_tokens,
            rows=tuple(sorted(rows)),
            workspaces=tuple(self._bounds(workspace) for workspace in heaviest),
            rest_tokens=sum(counted.error_tokens for counted in self._counted.values()),
        )

    def _bounds(self, workspace: str) -> WorkspaceWaste:
        tokens, error_tokens = self._counted[workspace]
        return WorkspaceWaste(workspace, tokens - error_tokens, tokens)

    def _count(self, workspace: str, tokens: int) -> None:
        before = self._counted.get(workspace)
        if before is not None:
            self._lightest.remove((before.tokens, workspace))
        elif len(self._counted) < self._max_workspaces:
            before = Counted(0, 0)
        else:
            inherited, lightest = self._lightest.pop(0)
            del self._counted[lightest]
            before = Counted(inherited, inherited)
        counted = before._replace(tokens=before.tokens + tokens)
        self._counted[workspace] = counted
        self._lightest.add((counted.tokens, workspace))


def create_waste_totals(max_workspaces: int = MAX_WORKSPACES) -> WasteTotals:
    """Create totals of nothing yet."""
    return WasteTotals(max_workspaces)
