"""Limits retries at each service over all gateways, without messages between them.

Each gateway stays within its own share of the limit, so the sum over all gateways does too.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryBounds", "RetryWindows", "create_retry_windows"]

# Fraction of its share that a gateway uses. The rest is a margin, since requests are counted
# elsewhere at slightly different times.
USED_FRACTION = 0.7


class RetryBounds(NamedTuple):
    """Limit on retries at one service over all gateways.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Further retries allowed in each window, for all gateways together.
    window_s : float
        Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class _ServiceWindow:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class RetryWindows:
    """Requests and retries of this gateway in the last window, by service."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._windows: dict[str, _ServiceWindow] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Record a caller's request."""
        self._window(service, now_s).requests.append(now_s)

    def try_spend(self, service: str, gateways: int, now_s: float) -> bool:
        """Spend one retry; return False if this gateway's share is spent.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the slack.
        """
        if self.remaining(service, gateways, now_s) < 1.0:
            return False
        self._window(service, now_s).retries.append(now_s)
        return True

    def remaining(self, service: str, gateways: int, now_s: float) -> float:
        """Return how many retries this gateway may still make in the window.

        Notes
        -----
        It may be a fraction. It is below 0 after requests have left the window or gateways were
        added, if the retries in the window exceed the lower limit.
        """
        window = self._window(service, now_s)
        bounds = self._bounds
        allowed = bounds.ratio * len(window.requests) + bounds.slack / max(gateways, 1)
        return USED_FRACTION * allowed - len(window.retries)

    def services(self) -> list[str]:
        """Return the names of the services seen so far."""
        return list(self._windows)

    def _window(self, service: str, now_s: float) -> _ServiceWindow:
        window = self._windows.setdefault(service, _ServiceWindow())
        horizon_s = now_s - self._bounds.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < horizon_s:
                times.popleft()
        return window


def create_retry_windows(bounds: RetryBounds) -> RetryWindows:
    """Create windows without requests."""
    return RetryWindows(bounds)
