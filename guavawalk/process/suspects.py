"""Requests that were in flight when targets died."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from guavawalk.process.clock import Clock

__all__ = ["SuspectTable", "Suspicion", "create_suspect_table"]

MAX_SUSPECTS = 4_096
SUSPECT_RETENTION_S = 600.0
BLOCKING_TARGET_COUNT = 2
MAX_TARGETS_PER_SUSPECT = 4
MAX_SHARED_PAIRS = 16
_MASK = (1 << 63) - 1


class Suspicion(NamedTuple):
    """What is held of one fingerprint.

    Attributes
    ----------
    targets : tuple of int
        Hashes of the distinct targets that died while it was in flight there; none once it is
        cleared.
    updated_s : float
        When the last of them was heard of, on this process's monotonic clock.
    """

    targets: tuple[int, ...]
    updated_s: float


class SuspectTable:
    """Suspicions of one process, spread on messages that are sent anyway.

    Notes
    -----
    A sidecar runs one suspect at a time, so of the suspects just one is in flight when a second
    target dies, and those that only ran beside the crashing request at the first are not blocked.
    The oldest suspicion is forgotten when the table is full, and each after `SUSPECT_RETENTION_S`.
    """

    def __init__(self, clock: Clock, max_suspects: int) -> None:
        self._clock = clock
        self._max_suspects = max_suspects
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()

    def record_target_death(self, fingerprint: int, target_name: str) -> None:
        """Note that a target died while a request was in flight there."""
        if fingerprint:
            self._add(fingerprint, _hash_target(target_name))

    def record_completed(self, fingerprint: int) -> None:
        """Clear a request that completed; only a death seen here makes it a suspect again."""
        if fingerprint in self._suspicions:
            del self._suspicions[fingerprint]
            self._suspicions[fingerprint] = Suspicion((), self._clock.now_s())

    def merge(self, shared: Iterable[int]) -> None:
        """Take what a peer shared: fingerprints and target hashes in turn."""
        numbers = tuple(shared)
        for fingerprint, target in zip(numbers[::2], numbers[1::2]):
            known = self._suspicions.get(fingerprint)
            if known is None or (known.targets and target not in known.targets):
                self._add(fingerprint, target)

    def newest_pairs(self) -> tuple[int, ...]:
        """Return the newest suspicions for a peer, at most `MAX_SHARED_PAIRS` of them."""
        self._expire()
        pairs: list[int] = []
        for fingerprint in reversed(self._suspicions):
            for target in self._suspicions[fingerprint].targets:
                pairs += (fingerprint, target)
            if len(pairs) >= 2 * MAX_SHARED_PAIRS:
                break
        return tuple(pairs[: 2 * MAX_SHARED_PAIRS])

    def is_suspect(self, fingerprint: int) -> bool:
        """Say whether a request was in flight when some target died."""
        self._expire()
        known = self._suspicions.get(fingerprint)
        return known is not None and bool(known.targets)

    def is_blocked(self, fingerprint: int) -> bool:
        """Say whether it was when two distinct targets died."""
        self._expire()
        known = self._suspicions.get(fingerprint)
        return known is not None and len(known.targets) >= BLOCKING_TARGET_COUNT

    def was_in_flight_at_death(self, fingerprint: int, target_name: str) -> bool:
        """Say whether a target died while a request was in flight there."""
        known = self._suspicions.get(fingerprint)
        return known is not None and _hash_target(target_name) in known.targets

    def clear(self, fingerprint: int) -> bool:
        """Forget a request here; False if it was not suspected."""
        return self._suspicions.pop(fingerprint, None) is not None

    def __len__(self) -> int:
        """Count the suspects."""
        return len(self._suspicions)

    def _add(self, fingerprint: int, target: int) -> None:
        known = self._suspicions.pop(fingerprint, Suspicion((), 0.0))
        targets = known.targets
        if target not in targets and len(targets) < MAX_TARGETS_PER_SUSPECT:
            targets = (*targets, target)
        self._suspicions[fingerprint] = Suspicion(targets, self._clock.now_s())
        if len(self._suspicions) > self._max_suspects:
            self._suspicions.popitem(last=False)

    def _expire(self) -> None:
        horizon_s = self._clock.now_s() - SUSPECT_RETENTION_S
        while self._suspicions:
            fingerprint, oldest = next(iter(self._suspicions.items()))
            if oldest.updated_s > horizon_s:
                return
            del self._suspicions[fingerprint]


def _hash_target(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) & _MASK


def create_suspect_table(clock: Clock, max_suspects: int = MAX_SUSPECTS) -> SuspectTable:
    """Create a table without suspects."""
    return SuspectTable(clock, max_suspects)
