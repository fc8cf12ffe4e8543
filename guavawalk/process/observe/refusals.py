"""Recent refusals, for operators."""

from collections import Counter, deque
from collections.abc import Collection
from typing import NamedTuple

from guavawalk.codes import ResultCode

__all__ = ["Refusal", "Refusals", "create_refusals"]

KEPT_REFUSALS = 500


class Refusal(NamedTuple):
    """A request that was not run.

    Attributes
    ----------
    at_s : float
        On this process's monotonic clock.
    workspace : str
        Empty when the caller was not known.
    """

    at_s: float
    code: ResultCode
    workspace: str
    tier: str
    trace_id: str
    target: str = ""


class Refusals:
    """The last refusals, and how many there were of each code since the process started."""

    def __init__(self, kept: int) -> None:
        self._recent: deque[Refusal] = deque(maxlen=kept)
        self._counts: Counter[ResultCode] = Counter()

    def record(self, refusal: Refusal) -> None:
        """Keep a refusal; the oldest kept gives way."""
        self._recent.append(refusal)
        self._counts[refusal.code] += 1

    def recent(self, workspaces: Collection[str] | None = None) -> list[Refusal]:
        """Return those kept, the last first; only some workspaces' if these are given."""
        return [
            r for r in reversed(self._recent) if workspaces is None or r.workspace in workspaces
        ]

    def counts(self) -> dict[ResultCode, int]:
        """Return the number of each code since the start."""
        return dict(sorted(self._counts.items()))


def create_refusals(kept: int = KEPT_REFUSALS) -> Refusals:
    """Create an empty record of at most `kept` refusals."""
    return Refusals(kept)
