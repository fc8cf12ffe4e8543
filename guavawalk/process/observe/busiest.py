"""The busiest keys of a stream, in bounded memory."""

from collections.abc import Hashable

__all__ = ["BusiestKeys", "create_busiest_keys"]


class BusiestKeys:
    """Counts of the keys that come most often.

    Notes
    -----
    The space-saving rule: when there is no room, the key counted least gives its place and its
    count to the new one. So a key that comes often enough is always held, and its count is too
    high by at most the count that it took over.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._counts: dict[Hashable, int] = {}

    def count(self, key: Hashable) -> int:
        """Count a key and return its count."""
        counts = self._counts
        if key in counts:
            counts[key] += 1
        elif len(counts) < self._slots:
            counts[key] = 1
        else:
            least = min(counts, key=counts.__getitem__)
            counts[key] = counts.pop(least) + 1
        return counts[key]

    def forget(self, key: Hashable) -> None:
        """Hold a key no more."""
        self._counts.pop(key, None)

    def halve(self) -> None:
        """Halve all counts, so that what was busy long ago gives way."""
        self._counts = {key: count // 2 for key, count in self._counts.items() if count > 1}


def create_busiest_keys(slots: int) -> BusiestKeys:
    """Create an empty table of at most `slots` keys."""
    return BusiestKeys(slots)
