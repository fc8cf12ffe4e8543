"""Remembers targets that are gone, so that an older copy of the registry doesn't bring them back.

Handles entries that were read in a new era and may date from before the registry's return.
"""

from collections import OrderedDict
from typing import NamedTuple

from guavawalk.version.registrations import Registration

__all__ = ["GoneTargets", "create_gone_targets", "is_later_start"]

# Most targets that are remembered; the oldest are dropped first.
MAX_GONE = 1_024


class _Gone(NamedTuple):
    """The last registration of a target that is gone, and the era in which it was seen last."""

    registration: Registration
    era: int


class GoneTargets:
    """The last known start of each of the targets that went last."""

    def __init__(self) -> None:
        self._gone: OrderedDict[str, _Gone] = OrderedDict()

    def add(self, registration: Registration, era: int) -> None:
        """Remember a target.

        Parameters
        ----------
        era : int
            Era of the registry in which its entry was seen last.
        """
        self._gone.pop(registration.target_id, None)
        self._gone[registration.target_id] = _Gone(registration, era)
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def discard(self, target_id: str) -> None:
        """Forget a target, which has come back."""
        self._gone.pop(target_id, None)

    def holds(self, registration: Registration, era: int) -> bool:
        """Return whether an entry that may be an older copy lists a target known to be gone.

        Parameters
        ----------
        era : int
            Era of the registry that the entry was read in.
        """
        gone = self._gone.get(registration.target_id)
        return (
            gone is not None
            and gone.era < era
            and not is_later_start(registration, gone.registration)
        )


def is_later_start(registration: Registration, known: Registration) -> bool:
    """Return whether a registration states a later start than a known one does."""
    return registration.started_at_ms > known.started_at_ms


def create_gone_targets() -> GoneTargets:
    """Create a memory without targets."""
    return GoneTargets()
