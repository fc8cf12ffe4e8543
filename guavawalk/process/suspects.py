"""Tracks requests that were in flight when targets died, to block those that crash targets.

A request is identified by its fingerprint. Suspicions are exchanged between processes: entries and
sidecars send pairs of a fingerprint and a target in messages that are sent for other purposes,
gateways send `SuspicionNews`.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.target_ends import (
    COMMON_CAUSE_S,
    SUSPECT_RETENTION_S,
    age_ms,
    age_s,
    count_moments,
    hash_target,
)

__all__ = ["SuspectTable", "Suspicion", "SuspicionNews", "TargetDeath", "create_suspect_table"]

MAX_SUSPECTS = 4_096
# A request is blocked once this many distinct targets died soon after it had begun to run there.
BLOCKING_TARGET_COUNT = 2
# A request is blocked once this many distinct targets died with it in flight, whatever else ran.
CERTAIN_TARGET_COUNT = 3
# Most targets that are kept for one request; the oldest are dropped first.
MAX_TARGETS_PER_SUSPECT = 8
# Maximum number of pairs of a fingerprint and a target hash in one message to a peer.
MAX_SHARED_PAIRS = 16
# Time after a request has completed within which pairs from peers may still name deaths before it,
# in seconds.
PAIR_DELAY_S = 10.0
# Time after a second death within which peers may still tell of other requests that were in flight
# at both, in seconds.
SETTLE_S = 0.25
# Age up to which a single death is repeated to peers, in seconds.
SINGLE_DEATH_NEWS_S = 10.0


class TargetDeath(NamedTuple):
    """The death of one target with a request in flight.

    Attributes
    ----------
    target : int
        Hash of the name of the target, or of its start.
    at_s : float
        When the request was cut off there, in seconds on this process's monotonic clock.
    is_early : bool
        Whether the request had just begun to run there, or may not have.
    """

    target: int
    at_s: float
    is_early: bool


class Suspicion(NamedTuple):
    """Target deaths that are linked to one fingerprint.

    Attributes
    ----------
    deaths : tuple of TargetDeath
        The distinct targets that died with the request in flight, those before its completion
        included.
    completed_s : float
        When the request last completed, in seconds on this process's monotonic clock; minus
        infinity if it has not. Earlier deaths do not count.
    updated_s : float
        When a death or the completion was last recorded, on the same clock.
    """

    deaths: tuple[TargetDeath, ...] = ()
    completed_s: float = -math.inf
    updated_s: float = 0.0

    @property
    def counted_deaths(self) -> tuple[TargetDeath, ...]:
        """Deaths since the last completion."""
        return tuple(death for death in self.deaths if death.at_s > self.completed_s)


class SuspicionNews(NamedTuple):
    """A suspicion as it is sent to another process, with ages in place of times.

    Attributes
    ----------
    deaths : tuple of (int, int, bool)
        Hash of the target, age in milliseconds and `TargetDeath.is_early`.
    completed_age_ms : int
        Time since the request last completed; -1 if it has not.
    """

    fingerprint: int
    deaths: tuple[tuple[int, int, bool], ...]
    completed_age_ms: int = -1


class SuspectTable:
    """Suspicions held by one process.

    Parameters
    ----------
    runs_one_suspect : bool
        Whether a target runs one suspect at a time, as behind a sidecar. Only one suspect is in
        flight then when a second target dies. Otherwise several requests may have been in flight at
        the same two deaths: they are not blocked until a third death or a completion tells which of
        them crashed the targets.

    Notes
    -----
    The least recently updated suspicion is evicted when the table is full, and each expires
    `SUSPECT_RETENTION_S` after its last update.
    """

    def __init__(self, clock: Clock, max_suspects: int, runs_one_suspect: bool) -> None:
        self._clock = clock
        self._max_suspects = max_suspects
        self._runs_one_suspect = runs_one_suspect
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()

    def record_target_death(
        self,
        fingerprint: int,
        target_name: str,
        at_s: float | None = None,
        is_early: bool = True,
    ) -> bool:
        """Record that a target died with a request in flight; fingerprint 0 is ignored.

        Parameters
        ----------
        target_name : str
            Name of the target, or of its start if that is known.
        at_s : float, optional
            When the request was cut off, on this process's monotonic clock; None for now.
        is_early : bool, optional
            Whether the request had just begun to run there, or may not have.

        Returns
        -------
        bool
            Whether the death was not known.
        """
        if not fingerprint:
            return False
        if at_s is None:
            completed_s = self._suspicions.get(fingerprint, Suspicion()).completed_s
            at_s = max(self._clock.now_s(), math.nextafter(completed_s, math.inf))
        death = TargetDeath(hash_target(target_name), at_s, is_early)
        return self._add(fingerprint, death, is_own=True)

    def record_completed(self, fingerprint: int) -> bool:
        """Clear a suspect that completed; return whether it was one.

        The entry is kept, so that what peers tell of earlier deaths does not make it a suspect
        again.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or not suspicion.counted_deaths:
            return False
        now_s = self._clock.now_s()
        self._put(fingerprint, suspicion._replace(completed_s=now_s))
        return True

    def merge(self, pairs: Iterable[int]) -> None:
        """Add the suspicions of a peer: fingerprints and target hashes, alternating."""
        numbers = tuple(pairs)
        now_s = self._clock.now_s()
        for fingerprint, target in zip(numbers[::2], numbers[1::2]):
            suspicion = self._suspicions.get(fingerprint)
            if suspicion is None or now_s - suspicion.completed_s > PAIR_DELAY_S:
                self._add(fingerprint, TargetDeath(target, now_s, True))

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
            for death in self._suspicions[fingerprint].counted_deaths:
                pairs += (fingerprint, death.target)
            if len(pairs) >= 2 * MAX_SHARED_PAIRS:
                break
        return tuple(pairs[: 2 * MAX_SHARED_PAIRS])

    def news_of(self, fingerprint: int) -> SuspicionNews | None:
        """Return what is known of a fingerprint, for a peer; None if nothing is."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return None
        now_s = self._clock.now_s()
        deaths = tuple(
            (death.target, age_ms(now_s, death.at_s), death.is_early) for death in suspicion.deaths
        )
        has_completed = suspicion.completed_s > -math.inf
        completed_age_ms = age_ms(now_s, suspicion.completed_s) if has_completed else -1
        return SuspicionNews(fingerprint, deaths, completed_age_ms)

    def merge_news(self, news: Iterable[SuspicionNews]) -> list[int]:
        """Add what a peer knows; return the fingerprints of which something was new."""
        now_s = self._clock.now_s()
        changed = []
        for received in news:
            is_new = False
            for target, death_age_ms, is_early in received.deaths[:MAX_TARGETS_PER_SUSPECT]:
                death = TargetDeath(target, now_s - age_s(death_age_ms), is_early)
                is_new |= self._add(received.fingerprint, death)
            if received.completed_age_ms >= 0:
                completed_s = now_s - age_s(received.completed_age_ms)
                is_new |= self._complete(received.fingerprint, completed_s)
            if is_new:
                changed.append(received.fingerprint)
        return changed

    def most_suspected(self, limit: int) -> list[int]:
        """Return the fingerprints that peers have to know of, those with the most deaths first.

        These are the requests with two counted deaths or more, and those with a recent one.
        """
        self._expire()
        oldest_s = self._clock.now_s() - SINGLE_DEATH_NEWS_S
        counts = {}
        for fingerprint, suspicion in self._suspicions.items():
            deaths = suspicion.counted_deaths
            if len(deaths) >= BLOCKING_TARGET_COUNT or (deaths and deaths[0].at_s > oldest_s):
                counts[fingerprint] = len(deaths)
        return sorted(counts, key=counts.__getitem__, reverse=True)[:limit]

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a target died with a request in flight that has not completed since."""
        return bool(self._counted_deaths(fingerprint))

    def is_blocked(self, fingerprint: int, explained: Collection[int] = ()) -> bool:
        """Return whether a request is known to crash targets.

        Parameters
        ----------
        explained : collection of int, optional
            Hashes of targets whose ends something else explains; these do not count.

        Notes
        -----
        It is if `CERTAIN_TARGET_COUNT` distinct targets died with it in flight since it last
        completed, or `BLOCKING_TARGET_COUNT` of them soon after it had begun to run there, while
        no others died, and `settles_in_s` is 0.
        """
        deaths = tuple(
            death for death in self._counted_deaths(fingerprint) if death.target not in explained
        )
        if len(deaths) >= CERTAIN_TARGET_COUNT:
            return True
        early = {death.target for death in deaths if death.is_early}
        if len(early) < BLOCKING_TARGET_COUNT or self.settles_in_s(fingerprint):
            return False
        if any(self._has_common_cause(death, deaths) for death in deaths):
            return False
        return self._runs_one_suspect or not any(self._others_with(fingerprint, early))

    def may_have_common_cause(self, fingerprint: int, explained: Collection[int] = ()) -> bool:
        """Return whether the deaths of a blocked request are two at one moment.

        Something else may have ended both targets, the second one while the request was repeated.

        Parameters
        ----------
        explained : collection of int, optional
            As for `is_blocked`.
        """
        deaths = [
            death for death in self._counted_deaths(fingerprint) if death.target not in explained
        ]
        return (
            len(deaths) < CERTAIN_TARGET_COUNT and count_moments(death.at_s for death in deaths) < 2
        )

    def settles_in_s(self, fingerprint: int) -> float:
        """Return the time until it is known whether a request with two deaths is blocked.

        Returns
        -------
        float
            In seconds; 0 if that is known, or the request has fewer deaths or more.
        """
        suspicion = self._suspicions.get(fingerprint, Suspicion())
        deaths = suspicion.counted_deaths
        if self._runs_one_suspect or len(deaths) != BLOCKING_TARGET_COUNT:
            return 0.0
        if not all(death.is_early for death in deaths):
            return 0.0
        return max(suspicion.updated_s + SETTLE_S - self._clock.now_s(), 0.0)

    def suspected(self) -> Iterator[tuple[int, Suspicion]]:
        """Yield the requests with counted deaths, the last updated first."""
        self._expire()
        for fingerprint in reversed(self._suspicions):
            if self._suspicions[fingerprint].counted_deaths:
                yield fingerprint, self._suspicions[fingerprint]

    def was_in_flight_at_death(self, fingerprint: int, target_name: str) -> bool:
        """Return whether the named target died with a request in flight."""
        target = hash_target(target_name)
        return any(death.target == target for death in self._counted_deaths(fingerprint))

    def clear(self, fingerprint: int) -> bool:
        """Remove a request from this table; return False if it was not in it."""
        return self._suspicions.pop(fingerprint, None) is not None

    def __len__(self) -> int:
        """Return the number of entries, completed requests included."""
        return len(self._suspicions)

    def _counted_deaths(self, fingerprint: int) -> tuple[TargetDeath, ...]:
        self._expire()
        return self._suspicions.get(fingerprint, Suspicion()).counted_deaths

    def _has_common_cause(self, death: TargetDeath, deaths: tuple[TargetDeath, ...]) -> bool:
        """Return whether a target died at that moment without the request, so for another cause."""
        if self._runs_one_suspect:
            return False
        own = {known.target for known in deaths}
        return any(
            other.target not in own and abs(other.at_s - death.at_s) < COMMON_CAUSE_S
            for suspicion in self._suspicions.values()
            for other in suspicion.deaths
        )

    def _others_with(self, fingerprint: int, targets: set[int]) -> Iterator[int]:
        """Yield the other requests that were as early at the deaths of the same targets."""
        for other, suspicion in self._suspicions.items():
            early = {death.target for death in suspicion.counted_deaths if death.is_early}
            if other != fingerprint and early >= targets:
                yield other

    def _add(self, fingerprint: int, death: TargetDeath, is_own: bool = False) -> bool:
        suspicion = self._suspicions.get(fingerprint, Suspicion())
        deaths = {known.target: known for known in suspicion.deaths}
        before = deaths.get(death.target)
        is_new = before is None or (is_own and death.at_s > before.at_s)
        if before is not None:
            # Ages from a peer that was suspended are too small: the earlier time is right.
            at_s = death.at_s if is_new else min(death.at_s, before.at_s)
            is_new |= death.is_early and not before.is_early
            death = TargetDeath(death.target, at_s, death.is_early or before.is_early)
        deaths[death.target] = death
        kept = tuple(deaths.values())[-MAX_TARGETS_PER_SUSPECT:]
        if is_new:
            self._put(fingerprint, suspicion._replace(deaths=kept))
        else:
            self._suspicions[fingerprint] = suspicion._replace(deaths=kept)
        return is_new

    def _complete(self, fingerprint: int, completed_s: float) -> bool:
        """Clear a suspect that completed at a peer; return whether that clears any death here."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or completed_s <= suspicion.completed_s:
            return False
        cleared = suspicion._replace(completed_s=completed_s)
        is_new = len(cleared.counted_deaths) < len(suspicion.counted_deaths)
        if is_new:
            self._put(fingerprint, cleared)
        return is_new

    def _put(self, fingerprint: int, suspicion: Suspicion) -> None:
        self._suspicions[fingerprint] = suspicion._replace(updated_s=self._clock.now_s())
        self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > self._max_suspects:
            self._suspicions.popitem(last=False)

    def _expire(self) -> None:
        oldest_kept_s = self._clock.now_s() - SUSPECT_RETENTION_S
        while self._suspicions:
            fingerprint, oldest = next(iter(self._suspicions.items()))
            if oldest.updated_s > oldest_kept_s:
                return
            del self._suspicions[fingerprint]


def create_suspect_table(
    clock: Clock, max_suspects: int = MAX_SUSPECTS, runs_one_suspect: bool = True
) -> SuspectTable:
    """Create an empty table of at most `max_suspects` entries."""
    return SuspectTable(clock, max_suspects, runs_one_suspect)
