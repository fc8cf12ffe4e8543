"""Registrations of targets in the platform's registry, at one position of it."""

from typing import NamedTuple

from guavawalk.bounded import Address, Amount, Count, Name, Number, TargetId
from guavawalk.version.list_state import ListState

__all__ = ["ListedTargets", "Registration"]


class Registration(NamedTuple):
    """Registration of one target.

    Attributes
    ----------
    target_id : str
        Identifies one run of the target; a later run may have the same address and another id.
    service : str
        Name of the service that it serves.
    address : str
        `IP:port`.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it accepts no new requests and is about to stop.
    warmup_left_s : float
        Rest of the warm-up time when it registered, in seconds; the target is slower during it.
    started_at_ms : int
        Unix time of its start, in milliseconds; 0 if not stated.
    """

    target_id: TargetId
    service: Name
    address: Address
    data_centre: Name
    slots: Count
    draining: bool = False
    warmup_left_s: Amount = 0.0
    started_at_ms: Number = 0

    @property
    def start_name(self) -> str:
        """Name of this start of the target; of all its starts if their times are not stated."""
        return f"{self.target_id}/{self.started_at_ms}"


class ListedTargets(NamedTuple):
    """All registrations that one process knows.

    Attributes
    ----------
    revision : int
        Revision of the registry up to which the list is complete.
    lapsing : tuple of (str, float)
        Ids of those whose registration may only have lapsed, and the time in seconds for which
        each is still used.
    era : int
        Era of the registry that the list belongs to.
    item_revisions : tuple of int
        Revision of each registration's entry within the era, in the order of `registrations`; 0
        where the entry was not seen in this era. Empty if none is known.
    era_read_revision : int
        Revision of the registry at its first known read in the era; entries up to it may come from
        an older copy.
    digest : int
        Digest of the entries that the list was made from; 0 if unknown.
    last_change : int, optional
        Revision of the last known change of a registration; None if not stated.
    """

    revision: int
    registrations: tuple[Registration, ...]
    lapsing: tuple[tuple[str, float], ...] = ()
    era: int = 0
    item_revisions: tuple[int, ...] = ()
    era_read_revision: int = 0
    digest: int = 0
    last_change: int | None = None

    @property
    def state(self) -> ListState:
        """How far the list is complete, and the digest of its entries."""
        return ListState(self.era, self.revision, self.digest)

    def revisions_by_id(self) -> dict[str, int]:
        """Return the known revisions of the entries by target id."""
        ids = (registration.target_id for registration in self.registrations)
        return dict(zip(ids, self.item_revisions))
