"""Estimates how fast a sidecar's queue drains, for expected waits and retry hints."""

from math import exp
from typing import NamedTuple

from guavawalk.request.attempt import Attempt

__all__ = ["DrainRate", "DrainRates", "create_drain_rate", "create_drain_rates"]

# Time constant, in busy time, with which a rate's cost and busy time decay.
TIME_CONSTANT_S = 10.0
# Of the time between two dispatches, at most this counts as busy time.
MAX_GAP_S = 5.0
# Busy time below which the rate counts as unknown.
MIN_BUSY_S = 0.5
# Bounds of the retry hint, and the hint while the rate is unknown.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
UNKNOWN_RETRY_MS = 1_000


class DrainRate:
    """Cost dispatched per second of busy time, that is time in which attempts wait.

    Notes
    -----
    Cost and busy time decay exponentially with the time constant `TIME_CONSTANT_S`. Idle time does
    not count, since an idle target could have run more than it was given. Between two dispatches at
    most `MAX_GAP_S` seconds count, so that a pause of the process does not look like a slow target.
    """

    def __init__(self) -> None:
        self._cost_tokens = 0.0
        self._busy_s = 0.0
        self._last_s: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """Dispatched cost per busy second; 0.0 while the busy time is below `MIN_BUSY_S`."""
        return self._cost_tokens / self._busy_s if self._busy_s >= MIN_BUSY_S else 0.0

    def record_dispatch(self, cost_tokens: int, now_s: float, waiting: int) -> None:
        """Record a dispatch after which `waiting` attempts are still queued."""
        if self._last_s is not None:
            elapsed_s = min(now_s - self._last_s, MAX_GAP_S)
            fade = exp(-elapsed_s / TIME_CONSTANT_S)
            self._busy_s = self._busy_s * fade + elapsed_s
            self._cost_tokens = self._cost_tokens * fade + cost_tokens
        self._last_s = now_s if waiting else None

    def wait_s(self, cost_tokens: int) -> float:
        """Return how long it takes to dispatch a waiting cost; 0.0 if the rate is unknown."""
        rate = self.tokens_per_s
        return cost_tokens / rate if rate else 0.0

    def retry_after_ms(self, cost_tokens: int) -> int:
        """Return a retry hint: the time to dispatch a waiting cost, between the two bounds.

        Notes
        -----
        If the rate is unknown, the hint is `UNKNOWN_RETRY_MS`.
        """
        rate = self.tokens_per_s
        if not rate:
            return UNKNOWN_RETRY_MS
        return int(min(max(cost_tokens * 1000 / rate, MIN_RETRY_MS), MAX_RETRY_MS))


class DrainRates(NamedTuple):
    """Drain rates of the short and of the long lane."""

    short: DrainRate
    long: DrainRate

    def for_attempt(self, attempt: Attempt) -> DrainRate:
        """Return the drain rate of an attempt's lane."""
        return self.long if attempt.is_long else self.short


def create_drain_rate() -> DrainRate:
    """Create a drain rate without samples."""
    return DrainRate()


def create_drain_rates() -> DrainRates:
    """Create drain rates without samples for both lanes."""
    return DrainRates(create_drain_rate(), create_drain_rate())
