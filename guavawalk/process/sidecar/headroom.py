"""Slots of a dispatch window that are kept for urgent and for short work."""

from collections.abc import Sequence
from math import ceil

__all__ = ["MAX_LONG_SHARE", "long_slots", "reserved_slots"]

MAX_LONG_SHARE = 0.5


def reserved_slots(
    rank: int, size: int, running_by_rank: Sequence[int], reserved_shares: Sequence[float]
) -> int:
    """Return the free slots that an attempt of a rank must leave for more urgent ones.

    Parameters
    ----------
    running_by_rank : sequence of int
        Attempts that run now.
    reserved_shares : sequence of float
        By rank: part of the window kept for this rank and more urgent ones.

    Returns
    -------
    int
        At most `size` - 1, so that a lower tier alone is never kept out. What the more urgent
        ranks hold already counts as taken from their reserve.

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
    """Return how many slots long attempts may hold.

    Examples
    --------
    >>> [long_slots(size) for size in (1, 2, 8)]
    [1, 1, 4]
    """
    return max(int(size * MAX_LONG_SHARE), 1)
