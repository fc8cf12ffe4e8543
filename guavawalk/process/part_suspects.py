"""Finds the parts of prompts that end each target that begins to write an answer on them.

Requests that share such a part need have nothing else in common. A part is suspected by the targets
that ended while a request with it had just begun to run there, and cleared by a run that outlives
its beginning. Parts that were at the same ends can't be told apart: only requests that hold all of
them are refused, so that runs with just one of them tell which it is.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator

from guavawalk.process.clock import Clock
from guavawalk.process.part_suspicion import PartDeath, PartNews, PartSuspicion
from guavawalk.process.target_ends import (
    SUSPECT_RETENTION_S,
    age_ms,
    age_s,
    count_moments,
    hash_target,
)
from guavawalk.request.call import SharedPart

__all__ = ["PartSuspectTable", "create_part_suspect_table"]

MAX_PARTS = 4_096
# Number of distinct moments at which targets ended that a part must have been at to be blamed: what
# ends several targets at once need not be what they run.
BLAMED_MOMENTS = 3
# Number of moments from which a part may explain the ends at which other requests were in flight.
REPEATED_MOMENTS = 2
# Most parts that may explain the ends at which another one was: more are not bad at a time.
MAX_CAUSES = 2
# Time after a part has come to be blamed until requests are refused for it, in seconds: peers may
# tell of another part that was at the same ends.
SETTLE_S = 0.3
# Most targets that are kept for one part, and most of which peers are told; the oldest are dropped
# first.
MAX_TARGETS_PER_PART = 32
MAX_TOLD_TARGETS = 8
# Age up to which a part at a single end is repeated to peers, in seconds.
SINGLE_END_NEWS_S = 10.0
# Time without an end after which one request with a blamed part may run again, in seconds. It grows
# by `TRIAL_FACTOR` with each trial that ended a target.
FIRST_TRIAL_S = 30.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_S = 600.0
MAX_TRIALS = 16
# Further time within which each process begins its trial at a random moment, in seconds for each
# process that shares the targets, so that the others usually hear of the first one before.
TRIAL_SPREAD_S = 0.5


class PartSuspectTable:
    """Suspicions of prompt parts held by one process.

    Notes
    -----
    The least recently updated suspicion is evicted when the table is full, and each expires
    `SUSPECT_RETENTION_S` after its last update.
    """

    def __init__(self, clock: Clock, max_parts: int) -> None:
        self._clock = clock
        self._max_parts = max_parts
        self._suspicions: OrderedDict[int, PartSuspicion] = OrderedDict()
        # Counted deaths of the parts that were at `REPEATED_MOMENTS` moments or more.
        self._repeated: dict[int, tuple[PartDeath, ...]] = {}
        # When each part that was at `BLAMED_MOMENTS` or more came to be blamed.
        self._blamed: dict[int, float] = {}
        # The blamed parts that `pop_verdicts` has returned.
        self._told_blamed: set[int] = set()
        self._trial_share = random.random()

    def __len__(self) -> int:
        """Return the number of entries, cleared parts included."""
        return len(self._suspicions)

    @property
    def blamed_count(self) -> int:
        """Number of parts that were at enough ends to be blamed."""
        self._expire()
        return len(self._blamed)

    def record_target_death(
        self, parts: Iterable[SharedPart], target_name: str, at_s: float
    ) -> list[int]:
        """Record that a target ended just after a request with some parts had begun to run there.

        Parameters
        ----------
        target_name : str
            Name of the target's start.
        at_s : float
            When the request was cut off, on this process's monotonic clock.

        Returns
        -------
        list of int
            Keys of the parts for which the end was not known.
        """
        death = PartDeath(hash_target(target_name), at_s)
        return [part.key for part in parts if self._add(part.key, death, part.part_id)]

    def record_survival(self, parts: Iterable[SharedPart], sent_s: float) -> list[int]:
        """Clear the parts of a run that outlived its beginning; return the keys of those cleared.

        Parameters
        ----------
        sent_s : float
            When the run was sent, on this process's monotonic clock. Ends after that still count:
            the part may have gone bad meanwhile.
        """
        if not self._suspicions:
            return []
        return [part.key for part in parts if self._survive(part.key, sent_s)]

    def clear(self, key: int) -> bool:
        """Clear a part by an operator's decision; return whether it was suspected."""
        return self._survive(key, self._clock.now_s())

    def blocking_parts(self, parts: Iterable[SharedPart]) -> list[SharedPart]:
        """Return the parts for which a request is refused; empty if it may run.

        A part blocks a request if it was at the ends of targets at `BLAMED_MOMENTS` moments at
        which no other blamed part was, or only others that the request holds too, and that is known
        for `SETTLE_S`.
        """
        self._expire()
        if not self._blamed:
            return []
        settled_s = self._clock.now_s() - SETTLE_S
        held = {
            part.key: part for part in parts if self._blamed.get(part.key, math.inf) <= settled_s
        }
        if not held:
            return []
        return [
            part
            for key, part in held.items()
            if self._unexplained_moments(key, held, self._blamed) >= BLAMED_MOMENTS
        ]

    def is_doubtful(self, parts: Iterable[SharedPart]) -> bool:
        """Return whether a request may soon be refused for one of its parts.

        It is if a part was at `REPEATED_MOMENTS` moments at which no other repeated part was. Such
        a request is better not repeated.
        """
        self._expire()
        held = {part.key for part in parts if part.key in self._repeated}
        return any(
            self._unexplained_moments(key, held, self._repeated) >= REPEATED_MOMENTS for key in held
        )

    def _unexplained_moments(
        self, key: int, held: Collection[int], suspected: Collection[int]
    ) -> int:
        """Return at how many moments a part was that no suspected parts outside `held` explain.

        Up to `MAX_CAUSES` of these do, those that were at most of the ends first. Many sound parts
        may each have been at some of them.
        """
        ends_s = {death.target: death.at_s for death in self._repeated[key]}
        others = [
            {death.target for death in self._repeated[other]}
            for other in suspected
            if other not in held
        ]
        for _ in range(MAX_CAUSES):
            best = max(others, key=lambda targets: len(targets & ends_s.keys()), default=set())
            ends_s = {target: at_s for target, at_s in ends_s.items() if target not in best}
        return count_moments(ends_s.values())

    def explained_targets(self, parts: Iterable[SharedPart]) -> set[int]:
        """Return hashes of targets whose ends another part than those of a request may explain.

        Parts that were at the ends of targets at `REPEATED_MOMENTS` moments or more may.
        """
        self._expire()
        held = {part.key for part in parts}
        return {
            death.target
            for key, deaths in self._repeated.items()
            if key not in held
            for death in deaths
        }

    def begin_trial(self, parts: Iterable[SharedPart], processes: int) -> list[int]:
        """Begin a trial with a blocked request if one is due.

        Parameters
        ----------
        processes : int
            Number of processes that share the targets, this one included.

        Returns
        -------
        list of int
            Keys of the parts that are tried; empty if no trial is due, so that the request is to be
            refused.
        """
        blocking = self.blocking_parts(parts)
        delay_s = self._trial_share * TRIAL_SPREAD_S * processes
        now_s = self._clock.now_s()
        if any(now_s < self.trial_due_s(part.key) + delay_s for part in blocking):
            return []
        for part in blocking:
            suspicion = self._suspicions[part.key]
            trials = min(suspicion.counted_trials + 1, MAX_TRIALS)
            self._put(part.key, suspicion._replace(trials=trials, tried_s=now_s))
        return [part.key for part in blocking]

    def trial_due_s(self, key: int) -> float:
        """Return when the next trial of a part may begin, on this process's monotonic clock."""
        suspicion = self._suspicions.get(key, PartSuspicion())
        last_s = max((death.at_s for death in suspicion.deaths), default=-math.inf)
        wait_s = min(FIRST_TRIAL_S * TRIAL_FACTOR**suspicion.counted_trials, MAX_TRIAL_S)
        return max(last_s, suspicion.tried_s) + wait_s

    def is_blamed(self, key: int) -> bool:
        """Return whether a part was at enough ends to be blamed, alone or with others."""
        return key in self._blamed

    def pop_verdicts(self, keys: Iterable[int]) -> list[tuple[int, bool]]:
        """Return for each part whether it is blamed, where that has changed since the last call."""
        changed = [key for key in keys if (key in self._blamed) != (key in self._told_blamed)]
        self._told_blamed.symmetric_difference_update(changed)
        return [(key, key in self._blamed) for key in changed]

    def get(self, key: int) -> PartSuspicion:
        """Return what is known of a part; a suspicion without deaths if nothing is."""
        return self._suspicions.get(key, PartSuspicion())

    def suspected(self) -> Iterator[tuple[int, PartSuspicion]]:
        """Yield the parts with counted deaths, the last updated first."""
        self._expire()
        for key in reversed(self._suspicions):
            if self._suspicions[key].counted_deaths:
                yield key, self._suspicions[key]

    def news_of(self, key: int) -> PartNews | None:
        """Return what is known of a part, for a peer; None if nothing is."""
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            return None
        now_s = self._clock.now_s()
        deaths = tuple(
            (death.target, age_ms(now_s, death.at_s))
            for death in suspicion.deaths[-MAX_TOLD_TARGETS:]
        )
        return PartNews(
            key,
            deaths,
            _age_or_none_ms(now_s, suspicion.survived_s),
            suspicion.trials,
            _age_or_none_ms(now_s, suspicion.tried_s),
        )

    def merge_news(self, news: Iterable[PartNews]) -> list[int]:
        """Add what a peer knows; return the keys of the parts of which something was new."""
        now_s = self._clock.now_s()
        changed = []
        for received in news:
            is_new = False
            for target, death_age_ms in received.deaths[:MAX_TOLD_TARGETS]:
                is_new |= self._add(received.key, PartDeath(target, now_s - age_s(death_age_ms)))
            if received.survived_age_ms >= 0:
                is_new |= self._survive(received.key, now_s - age_s(received.survived_age_ms))
            if received.tried_age_ms >= 0:
                tried_s = now_s - age_s(received.tried_age_ms)
                is_new |= self._merge_trials(received.key, received.trials, tried_s)
            if is_new:
                changed.append(received.key)
        return changed

    def most_suspected(self, limit: int) -> list[int]:
        """Return the keys of the parts that peers have to know of, the most suspected first.

        These are the parts with two counted deaths or more, and those with a recent one.
        """
        oldest_s = self._clock.now_s() - SINGLE_END_NEWS_S
        counts = {}
        for key, suspicion in self.suspected():
            deaths = suspicion.counted_deaths
            if len(deaths) > 1 or deaths[0].at_s > oldest_s:
                counts[key] = len(deaths)
        return sorted(counts, key=counts.__getitem__, reverse=True)[:limit]

    def _add(self, key: int, death: PartDeath, name: str = "") -> bool:
        suspicion = self._suspicions.get(key, PartSuspicion())
        by_target = {known.target: known for known in suspicion.deaths}
        before = by_target.get(death.target)
        # Ages from a peer that was suspended are too small: the earlier time is right.
        if before is None or death.at_s < before.at_s:
            by_target[death.target] = death
        deaths = sorted(by_target.values(), key=lambda known: known.at_s)[-MAX_TARGETS_PER_PART:]
        updated = suspicion._replace(name=suspicion.name or name, deaths=tuple(deaths))
        if before is not None:
            self._keep(key, updated)
            return False
        self._put(key, updated)
        return True

    def _survive(self, key: int, sent_s: float) -> bool:
        """Clear the deaths of a part until `sent_s`; return whether any counted."""
        suspicion = self._suspicions.get(key)
        if suspicion is None or sent_s <= suspicion.survived_s:
            return False
        survived = suspicion._replace(survived_s=sent_s)
        if len(survived.counted_deaths) == len(suspicion.counted_deaths):
            return False
        self._put(key, survived)
        return True

    def _merge_trials(self, key: int, trials: int, tried_s: float) -> bool:
        """Take over a peer's trials if they are more; return whether they are."""
        suspicion = self._suspicions.get(key)
        if suspicion is None or tried_s <= suspicion.survived_s:
            return False
        if min(trials, MAX_TRIALS) <= suspicion.counted_trials:
            return False
        self._put(key, suspicion._replace(trials=min(trials, MAX_TRIALS), tried_s=tried_s))
        return True

    def _put(self, key: int, suspicion: PartSuspicion) -> None:
        self._keep(key, suspicion._replace(updated_s=self._clock.now_s()))
        self._suspicions.move_to_end(key)
        if len(self._suspicions) > self._max_parts:
            self._remove(next(iter(self._suspicions)))

    def _keep(self, key: int, suspicion: PartSuspicion) -> None:
        self._suspicions[key] = suspicion
        deaths = suspicion.counted_deaths
        moments = count_moments(death.at_s for death in deaths)
        if moments >= REPEATED_MOMENTS:
            self._repeated[key] = deaths
        else:
            self._repeated.pop(key, None)
        if moments < BLAMED_MOMENTS:
            self._blamed.pop(key, None)
        elif key not in self._blamed:
            self._blamed[key] = self._clock.now_s()

    def _remove(self, key: int) -> None:
        del self._suspicions[key]
        self._repeated.pop(key, None)
        self._blamed.pop(key, None)
        self._told_blamed.discard(key)

    def _expire(self) -> None:
        oldest_kept_s = self._clock.now_s() - SUSPECT_RETENTION_S
        while self._suspicions:
            key, oldest = next(iter(self._suspicions.items()))
            if oldest.updated_s > oldest_kept_s:
                return
            self._remove(key)


def _age_or_none_ms(now_s: float, at_s: float) -> int:
    return age_ms(now_s, at_s) if at_s > -math.inf else -1


def create_part_suspect_table(clock: Clock, max_parts: int = MAX_PARTS) -> PartSuspectTable:
    """Create an empty table of at most `max_parts` entries."""
    return PartSuspectTable(clock, max_parts)
