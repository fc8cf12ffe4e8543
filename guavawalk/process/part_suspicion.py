"""What is known of a part of prompts that may end targets, here and as it is told to peers."""

import math
from typing import NamedTuple

__all__ = ["PartDeath", "PartNews", "PartSuspicion"]


class PartDeath(NamedTuple):
    """The end of one target at which a request with the part had just begun to run.

    Attributes
    ----------
    target : int
        Hash of the name of the target's start.
    at_s : float
        When the request was cut off there, in seconds on this process's monotonic clock.
    """

    target: int
    at_s: float


class PartSuspicion(NamedTuple):
    """What is known of one part.

    Attributes
    ----------
    name : str
        Id of the part; empty if only other processes have seen it.
    deaths : tuple of PartDeath
        Distinct targets that ended, the oldest first, those before `survived_s` included.
    survived_s : float
        When the last run with the part was sent that outlived its beginning, in seconds on this
        process's monotonic clock; minus infinity before any. Deaths until then do not count.
    trials : int
        Number of trials that are known.
    tried_s : float
        When the last of them began, on the same clock; minus infinity before any.
    updated_s : float
        When something was last recorded, on the same clock.
    """

    name: str = ""
    deaths: tuple[PartDeath, ...] = ()
    survived_s: float = -math.inf
    trials: int = 0
    tried_s: float = -math.inf
    updated_s: float = 0.0

    @property
    def counted_deaths(self) -> tuple[PartDeath, ...]:
        """Deaths since the last run that outlived its beginning was sent."""
        return tuple(death for death in self.deaths if death.at_s > self.survived_s)

    @property
    def counted_trials(self) -> int:
        """Trials since then."""
        return self.trials if self.tried_s > self.survived_s else 0


class PartNews(NamedTuple):
    """A suspicion as it is sent to another process, with ages in place of times.

    Attributes
    ----------
    key : int
        The part's `SharedPart.key`.
    deaths : tuple of (int, int)
        Hash of the target, and age in milliseconds.
    survived_age_ms, tried_age_ms : int
        Ages of `survived_s` and `tried_s`; -1 if there is none.
    """

    key: int
    deaths: tuple[tuple[int, int], ...] = ()
    survived_age_ms: int = -1
    trials: int = 0
    tried_age_ms: int = -1
