"""Registrations of targets in the platform's registry, at one revision."""

from typing import NamedTuple

from guavawalk.bounded import Address, Amount, Count, Name, Number, TargetId

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
        The registry's revision at the last change of a registration.
    lapsing : tuple of (str, float)
        Ids of those whose registration may only have lapsed, and the time in seconds for which
        each is still used.
    """

    revision: int
    registrations: tuple[Registration, ...]
    lapsing: tuple[tuple[str, float], ...] = ()
