"""Tracks the heaviest keys of a weighted stream in bounded memory."""

from typing import Generic, NamedTuple, TypeVar

from sortedcontainers import SortedList

__all__ = ["HeaviestKeys", "KeyWeight", "create_heaviest_keys"]

K = TypeVar("K", bound=str | tuple)


class KeyWeight(NamedTuple):
    """Weight of one key.

    Attributes
    ----------
    weight : int
        Estimated weight, never below the true one.
    overcount : int
        The most by which the estimate may exceed the true weight.
    """

    weight: int
    overcount: int


class HeaviestKeys(Generic[K]):
    """Estimated weights of the heaviest keys.

    Notes
    -----
    Uses the Space-Saving algorithm: in a full table, a new key replaces the lightest one and
    inherits its weight. So the weights add up to the total of all amounts, a key whose share of
    the total is above 1 / `slots` is always in the table, and a weight is too high by at most its
    overcount. `remove` and `halve` lower the total.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._weights: dict[K, KeyWeight] = {}
        self._by_weight: SortedList[tuple[int, K]] = SortedList()

    def add(self, key: K, amount: int = 1) -> int:
        """Add an amount to a key and return its estimated weight."""
        before = self._weights.get(key)
        if before is not None:
            self._by_weight.remove((before.weight, key))
        elif len(self._weights) < self._slots:
            before = KeyWeight(0, 0)
        else:
            overcount, evicted = self._by_weight.pop(0)
            del self._weights[evicted]
            before = KeyWeight(overcount, overcount)
        after = before._replace(weight=before.weight + amount)
        self._weights[key] = after
        self._by_weight.add((after.weight, key))
        return after.weight

    def remove(self, key: K) -> None:
        """Remove a key, if it is in the table."""
        removed = self._weights.pop(key, None)
        if removed is not None:
            self._by_weight.remove((removed.weight, key))

    def halve(self) -> None:
        """Halve all weights, so that recent amounts count more; remove keys of weight 1 or less."""
        halved = {
            key: KeyWeight(weight // 2, overcount // 2)
            for key, (weight, overcount) in self._weights.items()
            if weight > 1
        }
        self._weights = halved
        self._by_weight = SortedList((entry.weight, key) for key, entry in halved.items())

    def heaviest(self) -> list[tuple[K, KeyWeight]]:
        """Return the keys in the table with their weights, heaviest first."""
        return [(key, self._weights[key]) for _, key in reversed(self._by_weight)]


def create_heaviest_keys(slots: int) -> HeaviestKeys:
    """Create an empty table of at most `slots` keys."""
    return HeaviestKeys(slots)
