"""How fast a sidecar's backlog goes down, as measured."""

from math import exp
from typing import NamedTuple

from guavawalk.request.attempt import Attempt

__all__ = ["DrainRate", "DrainRates", "create_drain_rate", "create_drain_rates"]

TIME_CONSTANT_S = 10.0
MAX_GAP_S = 5.0
MIN_BUSY_S = 0.5
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
UNKNOWN_RETRY_MS = 1_000


class DrainRate:
    """Cost dispatched for each second in which something waited.

    Notes
    -----
    Both sums fade over `TIME_CONSTANT_S` of busy time. Idle time doesn't count, since an idle target
    could have taken more than it was given. A gap counts for at most `MAX_GAP_S`, so a paused
    process doesn't take its own pause for a slow target.
    """

    def __init__(self) -> None:
        self._cost_tokens = 0.0
        self._busy_s = 0.0
        self._last_s: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """Cost dispatched a second; 0.0 before enough was seen."""
        return self._cost_tokens / self._busy_s if self._busy_s >= MIN_BUSY_S else 0.0

    def record_dispatch(self, cost_tokens: int, now_s: float, waiting: int) -> None:
        """Note a dispatch that leaves `waiting` attempts behind."""
        if self._last_s is not None:
            elapsed_s = min(now_s - self._last_s, MAX_GAP_S)
            fade = exp(-elapsed_s / TIME_CONSTANT_S)
            self._busy_s = self._busy_s * fade + elapsed_s
            self._cost_tokens = self._cost_tokens * fade + cost_tokens
        self._last_s = now_s if waiting else None

    def wait_s(self, cost_tokens: int) -> float:
        """Return how long a waiting cost takes to go out; 0.0 if nothing is known."""
        rate = self.tokens_per_s
        return cost_tokens / rate if rate else 0.0

    def retry_after_ms(self, cost_tokens: int) -> int:
        """Return when a waiting cost will have gone out, within bounds."""
        rate = self.tokens_per_s
        if not rate:
            return UNKNOWN_RETRY_MS
        return int(min(max(cost_tokens * 1000 / rate, MIN_RETRY_MS), MAX_RETRY_MS))


class DrainRates(NamedTuple):
    """The rates of short and of long attempts, which have separate lanes."""

    short: DrainRate
    long: DrainRate

    def for_attempt(self, attempt: Attempt) -> DrainRate:
        """Return the rate of an attempt's kind."""
        return self.long if attempt.is_long else self.short


def create_drain_rate() -> DrainRate:
    """Create a rate that has seen nothing."""
    return DrainRate()


def create_drain_rates() -> DrainRates:
    """Create rates that have seen nothing."""
    return DrainRates(create_drain_rate(), create_drain_rate())
