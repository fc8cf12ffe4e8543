"""Averages whose weight of old observations halves with time or with each new one."""

import math

__all__ = ["DecayingShare", "MovingAverage"]


class DecayingShare:
    """The share of observations that were failures, the lately made ones counting most.

    Parameters
    ----------
    half_life_s : float
        Time after which an observation counts half.
    prior_weight : float
        How many successes are taken as seen before, so that one failure alone is not all.
    """

    def __init__(self, half_life_s: float, prior_weight: float) -> None:
        self._rate = math.log(2) / half_life_s
        self._prior = prior_weight
        self._failures = 0.0
        self._total = 0.0
        self._at_s = 0.0

    def record(self, failed: bool, now_s: float) -> None:
        """Count one observation."""
        self._age(now_s)
        self._total += 1.0
        self._failures += failed

    def weighted_counts(self, now_s: float) -> tuple[float, float]:
        """Return the failures and all observations, as much as they still count."""
        self._age(now_s)
        return self._failures, self._total

    def share(self, now_s: float, more: tuple[float, float] = (0.0, 0.0)) -> float:
        """Return the share of failures, from 0 to 1, with the counts of others added."""
        failures, total = self.weighted_counts(now_s)
        return (failures + more[0]) / (total + more[1] + self._prior)

    def _age(self, now_s: float) -> None:
        factor = math.exp(-self._rate * max(now_s - self._at_s, 0.0))
        self._failures *= factor
        self._total *= factor
        self._at_s = max(now_s, self._at_s)


class MovingAverage:
    """An exponentially weighted average.

    Parameters
    ----------
    initial : float
        Value before the first observation.
    weight : float
        Weight of each new observation.
    """

    def __init__(self, initial: float, weight: float) -> None:
        self.value = initial
        self.count = 0
        self._weight = weight

    def update(self, value: float) -> None:
        """Take one observation; the first few count more than later ones."""
        self.count += 1
        weight = max(self._weight, 1.0 / (self.count + 1))
        self.value += weight * (value - self.value)
