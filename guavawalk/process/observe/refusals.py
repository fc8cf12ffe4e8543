"""Keeps recent refusals, for operators."""

from collections import Counter, deque
from collections.abc import Collection
from typing import NamedTuple

from guavawalk.codes import ResultCode

__all__ = ["Refusal", "Refusals", "create_refusals"]

MAX_REFUSALS = 500


class Refusal(NamedTuple):
    """A request or attempt that was refused and not run.

    Attributes
    ----------
    at_s : float
        Time of the refusal, in seconds on this process's monotonic clock.
    workspace : str
        Workspace of the caller; empty if the caller was not authenticated.
    tier : str
        Name of the tier; empty if the request was refused before it was read.
    target : str
        Name of the last target that was asked; empty if none was.
    """

    at_s: float
    code: ResultCode
    workspace: str
    tier: str
    trace_id: str
    target: str = ""


class Refusals:
    """The most recent refusals, and the number of refusals by code since the process started."""

    def __init__(self, max_refusals: int) -> None:
        self._recent: deque[Refusal] = deque(maxlen=max_refusals)
        self._counts: Counter[ResultCode] = Counter()

    def record(self, refusal: Refusal) -> None:
        """Record a refusal; the oldest one is evicted if `max_refusals` are held."""
        self._recent.append(refusal)
        self._counts[refusal.code] += 1

    def recent(self, workspaces: Collection[str] | None = None) -> list[Refusal]:
        """Return the refusals held, newest first; only those of `workspaces` unless it is None."""
        return [
            r for r in reversed(self._recent) if workspaces is None or r.workspace in workspaces
        ]

    def counts(self) -> dict[ResultCode, int]:
        """Return the number of refusals by code since the process started."""
        return dict(sorted(self._counts.items()))


def create_refusals(max_refusals: int = MAX_REFUSALS) -> Refusals:
    """Create an empty record that holds at most `max_refusals` refusals."""
    return Refusals(max_refusals)
