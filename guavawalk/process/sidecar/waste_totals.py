"""Adds up wasted prompt tokens over the life of a sidecar, by cause, tier and workspace."""

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

# Number of workspaces whose waste is tracked.
MAX_WORKSPACES = 256


class WasteRow(NamedTuple):
    """Tokens wasted for one cause in one tier."""

    cause: WasteCause
    rank: int
    tokens: int


class WorkspaceWaste(NamedTuple):
    """Lower and upper bound of the tokens that one workspace wasted."""

    workspace: str
    least_tokens: int
    most_tokens: int


class WasteReport(NamedTuple):
    """Waste since the start of the sidecar.

    Attributes
    ----------
    computed_tokens : int
        All prompt tokens computed, wasted or not.
    rows : tuple of WasteRow
        Exact totals, ordered by cause and rank.
    workspaces : tuple of WorkspaceWaste
        The workspaces with the most waste, largest first. Every workspace with more than the total
        divided by `MAX_WORKSPACES` is among them.
    rest_tokens : int
        Waste that cannot be attributed to a listed workspace with certainty.
    """

    computed_tokens: int
    rows: tuple[WasteRow, ...]
    workspaces: tuple[WorkspaceWaste, ...]
    rest_tokens: int


class WasteTotals:
    """Exact totals by cause and tier, and the workspaces with the most waste in bounded memory."""

    def __init__(self, max_workspaces: int) -> None:
        self.computed_tokens = 0
        self._rows: Counter[tuple[WasteCause, int]] = Counter()
        self._workspaces = create_heaviest_keys(max_workspaces)

    def record(self, workspace: str, rank: int, wastes: Iterable[Waste]) -> None:
        """Add the waste of one attempt."""
        for waste in wastes:
            self._rows[waste.cause, rank] += waste.tokens
            self._workspaces.add(workspace, waste.tokens)

    def report(self) -> WasteReport:
        """Return the totals, with the workspaces in decreasing order of waste."""
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
    """Create empty totals."""
    return WasteTotals(max_workspaces)
