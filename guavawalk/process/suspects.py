"""Tracks requests that were in flight when targets died, to block those that crash targets.

A request is identified by its fingerprint. Suspicions are exchanged between processes in messages
that are sent for other purposes.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from guavawalk.process.clock import Clock

__all__ = ["SuspectTable", "Suspicion", "create_suspect_table"]

MAX_SUSPECTS = 4_096
SUSPECT_RETENTION_S = 600.0
# A request is blocked once this many distinct targets have died with it in flight.
BLOCKING_TARGET_COUNT = 2
MAX_TARGETS_PER_SUSPECT = 4
# Maximum number of pairs of a fingerprint and a target hash in one message to a peer.
MAX_SHARED_PAIRS = 16
# Hashes keep 63 bits, so that they fit a signed 64-bit field.
_MASK = (1 << 63) - 1


class Suspicion(NamedTuple):
    """Target deaths that are linked to one fingerprint.

    Attributes
    ----------
    targets : tuple of int
        Hashes of the distinct targets that died with the request in flight; empty once the
        request has completed.
    updated_s : float
        Time at which a death or the completion was last recorded, in seconds on this process's
        monotonic clock.
    """

    targets: tuple[int, ...]
    updated_s: float


class SuspectTable:
    """Suspicions held by one process.

    Notes
    -----
    A sidecar runs one suspect at a time. So only one suspect is in flight when a second target
    dies, and requests that merely ran concurrently with the crashing one are not blocked.
    The least recently updated suspicion is evicted when the table is full, and each expires
    `SUSPECT_RETENTION_S` after its last update.
    """

    def __init__(self, clock: Clock, max_suspects: int) -> None:
        self._clock = clock
        self._max_suspects = max_suspects
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()

    def record_target_death(self, fingerprint: int, target_name: str) -> None:
        """Record that a target died with a request in flight; fingerprint 0 is ignored."""
        if fingerprint:
            self._add(fingerprint, _hash_target(target_name))

    def record_completed(self, fingerprint: int) -> None:
        """Clear a suspect that completed.

        The cleared entry is kept, so that reports from peers do not make it a suspect again; a
        target death recorded in this process does.
        """
        if fingerprint in self._suspicions:
            del self._suspicions[fingerprint]
            self._suspicions[fingerprint] = Suspicion((), self._clock.now_s())

    def merge(self, pairs: Iterable[int]) -> None:
        """Add the suspicions of a peer: fingerprints and target hashes, alternating."""
        numbers = tuple(pairs)
        for fingerprint, target in zip(numbers[::2], numbers[1::2]):
            suspicion = self._suspicions.get(fingerprint)
            if suspicion is None or (suspicion.targets and target not in suspicion.targets):
                self._add(fingerprint, target)

    def newest_pairs(self) -> tuple[int, ...]:
        """Return the newest suspicions to send to a peer.

        Returns
        -------
        tuple of int
            Fingerprints and target hashes, alternating, at most `MAX_SHARED_PAIRS` of each.
        """
        self._expire()
        pairs: list[int] = []
        for fingerprint in reversed(self._suspicions):
            for target in self._suspicions[fingerprint].targets:
                pairs += (fingerprint, target)
            if len(pairs) >= 2 * MAX_SHARED_PAIRS:
                break
        return tuple(pairs[: 2 * MAX_SHARED_PAIRS])

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a target died with a request in flight that has not completed since."""
        self._expire()
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and bool(suspicion.targets)

    def is_blocked(self, fingerprint: int) -> bool:
        """Return whether `BLOCKING_TARGET_COUNT` distinct targets died with a request in flight."""
        self._expire()
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and len(suspicion.targets) >= BLOCKING_TARGET_COUNT

    def was_in_flight_at_death(self, fingerprint: int, target_name: str) -> bool:
        """Return whether the named target died with a request in flight."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and _hash_target(target_name) in suspicion.targets

    def clear(self, fingerprint: int) -> bool:
        """Remove a request from this table; return False if it was not in it."""
        return self._suspicions.pop(fingerprint, None) is not None

    def __len__(self) -> int:
        """Return the number of entries, completed requests included."""
        return len(self._suspicions)

    def _add(self, fingerprint: int, target: int) -> None:
        suspicion = self._suspicions.pop(fingerprint, Suspicion((), 0.0))
        targets = suspicion.targets
        if target not in targets and len(targets) < MAX_TARGETS_PER_SUSPECT:
            targets = (*targets, target)
        self._suspicions[fingerprint] = Suspicion(targets, self._clock.now_s())
        if len(self._suspicions) > self._max_suspects:
            self._suspicions.popitem(last=False)

    def _expire(self) -> None:
        oldest_kept_s = self._clock.now_s() - SUSPECT_RETENTION_S
        while self._suspicions:
            fingerprint, oldest = next(iter(self._suspicions.items()))
            if oldest.updated_s > oldest_kept_s:
                return
            del self._suspicions[fingerprint]


def _hash_target(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) & _MASK


def create_suspect_table(clock: Clock, max_suspects: int = MAX_SUSPECTS) -> SuspectTable:
    """Create an empty table of at most `max_suspects` entries."""
    return SuspectTable(clock, max_suspects)
