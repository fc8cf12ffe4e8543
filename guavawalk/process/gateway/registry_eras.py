"""Tracks the era of the registry: which answers are outdated, and which entries may be lost.

Handles a registry that comes back from an older copy of itself, which begins a new era.
"""

import math

__all__ = ["ERA_SETTLE_S", "RegistryEras", "create_registry_eras"]

# Time after a new era was first seen in which entries that the older copy lacks are written again,
# in seconds: targets that live are back after about 2 s.
ERA_SETTLE_S = 2.5


class RegistryEras:
    """The latest era that this gateway has seen, from the registry or in reports.

    Attributes
    ----------
    era : int
        0 before any was seen.
    settled_s : float
        When entries that are still missing in the era are gone, on the process's monotonic clock;
        minus infinity while only one era was seen.
    """

    def __init__(self) -> None:
        self.era = 0
        self.settled_s = -math.inf
        self._has_seen_one = False

    def observe(self, era: int, now_s: float) -> bool:
        """Record an era that was seen; return whether it follows an earlier one that was seen."""
        if self._has_seen_one and era <= self.era:
            return False
        is_new = self._has_seen_one
        self.era, self._has_seen_one = era, True
        if is_new:
            self.settled_s = now_s + ERA_SETTLE_S
        return is_new

    def is_outdated(self, era: int) -> bool:
        """Return whether an answer of an era is older than what is known here."""
        return era < self.era


def create_registry_eras() -> RegistryEras:
    """Create a record of eras in which none was seen yet."""
    return RegistryEras()
