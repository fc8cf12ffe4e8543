"""The heaviest keys of a stream of amounts, in bounded memory."""

from typing import Generic, NamedTuple, TypeVar

from sortedcontainers import SortedList

__all__ = ["HeaviestKeys", "KeyWeight", "create_heaviest_keys"]

K = TypeVar("K", bound=str | tuple)


class KeyWeight(NamedTuple):
    """Weight of one key; `overcount` of it came from keys that gave their place."""

    weight: int
    overcount: int


class HeaviestKeys(Generic[K]):
    """Weights of the keys that have gathered most.

    Notes
    -----
    The space-saving rule: when there is no room, the lightest key gives its place and its weight
    to the new one. So the weights add up to all that was added, a key with more than an equal
    share of it is always held, and a weight is too high by at most what was overcount.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._weights: dict[K, KeyWeight] = {}
        self._lightest: SortedList[tuple[int, K]] = SortedList()

    def add(self, key: K, amount: int = 1) -> int:
        """Add an amount to a key and return its weight."""
        before = self._weights.get(key)
        if before is not None:
            self._lightest.remove((before.weight, key))
        elif len(self._weights) < self._slots:
            before = KeyWeight(0, 0)
        else:
            overcount, lightest = self._lightest.pop(0)
            del self._weights[lightest]
            before = KeyWeight(overcount, overcount)
        after = before._replace(weight=before.weight + amount)
        self._weights[key] = after
        self._lightest.add((after.weight, key))
        return after.weight

    def forget(self, key: K) -> None:
        """Hold a key no more."""
        known = self._weights.pop(key, None)
        if known is not None:
            self._lightest.remove((known.weight, key))

    def halve(self) -> None:
        """Halve all weights, so that what was heavy long ago gives way."""
        halved = {key: KeyWeight(w // 2, i // 2) for key, (w, i) in self._weights.items() if w > 1}
        self._weights = halved
        self._lightest = SortedList((known.weight, key) for key, known in halved.items())

    def heaviest(self) -> list[tuple[K, KeyWeight]]:
        """Return the keys held with their weights, heaviest first."""
        return [(key, self._weights[key]) for _, key in reversed(self._lightest)]


def create_heaviest_keys(slots: int) -> HeaviestKeys:
    """Create an empty table of at most `slots` keys."""
    return HeaviestKeys(slots)
