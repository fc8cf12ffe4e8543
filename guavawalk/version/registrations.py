"""What targets register of themselves, as one revision of the registry holds it."""

from typing import NamedTuple

__all__ = ["ListedTargets", "Registration"]


class Registration(NamedTuple):
    """One target's entry.

    Attributes
    ----------
    target_id : str
        Of this start or an earlier one; an address may be used again under another id.
    address : str
        `IP:port`.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it takes no more work and will leave.
    warmup_left_s : float
        How much longer it is slow after its start, when it registered.
    started_at_ms : int
        Unix time of its start; 0 where it isn't stated.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    started_at_ms: int = 0


class ListedTargets(NamedTuple):
    """All entries, as one process holds them.

    Attributes
    ----------
    revision : int
        Of the last change among them.
    """

    revision: int
    registrations: tuple[Registration, ...]
