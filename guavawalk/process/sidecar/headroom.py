"""Computes the slots of a dispatch window that urgent tiers reserve and long attempts may hold."""

from collections.abc import Sequence
from math import ceil

__all__ = ["MAX_LONG_SHARE", "long_slots", "reserved_slots"]

# Share of the window's slots that long attempts may hold.
MAX_LONG_SHARE = 0.5


def reserved_slots(
    rank: int, size: int, running_by_rank: Sequence[int], reserved_shares: Sequence[float]
) -> int:
    """Return how many free slots an attempt must leave to more urgent tiers.

    Parameters
    ----------
    rank : int
        Rank of the attempt's tier; 0 is the most urgent.
    size : int
        Slots of the window.
    running_by_rank : sequence of int
        Running attempts of each rank.
    reserved_shares : sequence of float
        By rank: share of the window reserved for this rank and more urgent ones.

    Returns
    -------
    int
        At most `size` - 1, so that an attempt of any tier gets a slot while nothing runs. Slots
        held by more urgent attempts count towards the reserve.

    Examples
    --------
    >>> reserved_slots(2, 8, (0, 1, 5), (0.25, 0.1, 0.0))
    2
    >>> reserved_slots(0, 8, (0, 1, 5), (0.25, 0.1, 0.0))
    0
    """
    reserved = ceil(size * sum(reserved_shares[:rank]))
    in_use = sum(running_by_rank[:rank])
    return max(min(reserved, size - 1) - in_use, 0)


def long_slots(size: int) -> int:
    """Return how many slots long attempts may hold; at least 1.

    Examples
    --------
    >>> [long_slots(size) for size in (1, 2, 8)]
    [1, 1, 4]
    """
    return max(int(size * MAX_LONG_SHARE), 1)
