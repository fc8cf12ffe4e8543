"""Position in the history of the registry, which orders what is known of it."""

from typing import NamedTuple

from guavawalk.bounded import Number

__all__ = ["NO_POSITION", "RegistryPosition"]


class RegistryPosition(NamedTuple):
    """An era of the registry and a revision within it; later positions compare greater.

    Attributes
    ----------
    era : int
        Grows each time the registry has come back from an older copy of itself; revisions of two
        eras can't be compared. 0 if the registry states none.
    revision : int
        Grows with each change within an era; 0 before any.
    """

    era: Number = 0
    revision: Number = 0


NO_POSITION = RegistryPosition()
