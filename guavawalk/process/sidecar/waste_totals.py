"""Wasted prompt tokens over the life of a sidecar, by cause, tier and workspace."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.process.observe.heaviest import create_heaviest_keys
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


class WasteTotals:
    """Totals by cause and tier, and the heaviest workspaces in bounded memory."""

    def __init__(self, max_workspaces: int) -> None:
        self.computed_tokens = 0
        self._rows: Counter[tuple[WasteCause, int]] = Counter()
        self._workspaces = create_heaviest_keys(max_workspaces)

    def record(self, workspace: str, rank: int, wastes: Iterable[Waste]) -> None:
        """Add what one attempt wasted."""
        for waste in wastes:
            self._rows[waste.cause, rank] += waste.tokens
            self._workspaces.add(workspace, waste.tokens)

    def report(self) -> WasteReport:
        """Return the totals, heaviest workspaces first."""
        rows = [WasteRow(cause, rank, tokens) for (cause, rank), tokens in self._rows.items()]
        heaviest = self._workspaces.heaviest()
        return WasteReport(
            computed_tokens=self.computed_tokens,
            rows=tuple(sorted(rows)),
            workspaces=tuple(
                WorkspaceWaste(name, known.weight - known.overcount, known.weight)
                for name, known in heaviest
            ),
            rest_tokens=sum(known.overcount for _, known in heaviest),
        )


def create_waste_totals(max_workspaces: int = MAX_WORKSPACES) -> WasteTotals:
    """Create totals of nothing yet."""
    return WasteTotals(max_workspaces)
