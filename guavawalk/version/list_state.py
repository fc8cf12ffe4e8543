"""State of a list of registrations, by which gateways find out whose list is newer."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from guavawalk.bounded import Number
from guavawalk.version.position import RegistryPosition

__all__ = ["NO_LIST", "ListState", "digest_entries"]


class ListState(NamedTuple):
    """How far a list of registrations is complete, and what is on it.

    Attributes
    ----------
    era : int
        Era of the registry.
    revision : int
        Revision of the registry up to which the list has all changes, removals included; it grows
        with each write to the registry, also if no registration changes. 0 before any list.
    digest : int
        Digest of the entries on the list, the same for the same entries of one era; 0 if unknown.
    """

    era: Number = 0
    revision: Number = 0
    digest: Number = 0

    @property
    def position(self) -> RegistryPosition:
        """Position of the registry up to which the list is complete."""
        return RegistryPosition(self.era, self.revision)

    def is_newer_than(self, known: "ListState") -> bool:
        """Return whether this list is later than a known one, and is not known to be equal."""
        return self.position > known.position and not self._equals(known)

    def confirms(self, known: "ListState") -> bool:
        """Return whether this list shows that a known one is still complete at a later position."""
        return self.position > known.position and self._equals(known)

    def _equals(self, other: "ListState") -> bool:
        return self.era == other.era and self.digest == other.digest != 0


NO_LIST = ListState()


def digest_entries(revisions: Mapping[str, int]) -> int:
    """Return the digest of a list's entries.

    Parameters
    ----------
    revisions : mapping of str to int
        Revision of the last change of each entry, by target id; 0 if unknown.

    Returns
    -------
    int
        0, for an unknown digest, if a revision is unknown.
    """
    if not all(revisions.values()):
        return 0
    text = "\n".join(f"{target_id} {revision}" for target_id, revision in sorted(revisions.items()))
    # Shifted into the range of `Number`.
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1 or 1
