"""Averages in which older observations weigh less, by age or by the number of later ones."""

import math

__all__ = ["DecayingShare", "MovingAverage"]


class DecayingShare:
    """Share of failures among observations, weighted by age.

    Parameters
    ----------
    half_life_s : float
        Age at which an observation has half its weight, in seconds.
    prior_weight : float
        Number of successes added to the observations, so that a single failure does not give a
        share of 1. Must be above 0, as the share would not be defined without observations.
    """

    def __init__(self, half_life_s: float, prior_weight: float) -> None:
        self._rate = math.log(2) / half_life_s
        self._prior = prior_weight
        self._failures = 0.0
        self._total = 0.0
        self._at_s = 0.0

    def record(self, failed: bool, now_s: float) -> None:
        """Record one observation."""
        self._decay(now_s)
        self._total += 1.0
        self._failures += failed

    def weighted_counts(self, now_s: float) -> tuple[float, float]:
        """Return the sums of the weights of failures and of all observations."""
        self._decay(now_s)
        return self._failures, self._total

    def share(self, now_s: float, others: tuple[float, float] = (0.0, 0.0)) -> float:
        """Return the share of failures, from 0 to 1.

        Parameters
        ----------
        others : tuple of (float, float), optional
            Weighted counts of failures and of all observations, made elsewhere, that are added to
            the own ones.
        """
        failures, total = self.weighted_counts(now_s)
        return (failures + others[0]) / (total + others[1] + self._prior)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-self._rate * max(now_s - self._at_s, 0.0))
        self._failures *= factor
        self._total *= factor
        self._at_s = max(now_s, self._at_s)


class MovingAverage:
    """Exponentially weighted moving average.

    Parameters
    ----------
    initial : float
        Value before the first observation.
    weight : float
        Weight of a new observation, from 0 to 1. The first few weigh more, so that `initial` soon
        loses its effect.

    Attributes
    ----------
    value : float
        Current average.
    count : int
        Observations so far.
    """

    def __init__(self, initial: float, weight: float) -> None:
        self.value = initial
        self.count = 0
        self._weight = weight

    def update(self, value: float) -> None:
        """Add one observation."""
        self.count += 1
        weight = max(self._weight, 1.0 / (self.count + 1))
        self.value += weight * (value - self.value)
