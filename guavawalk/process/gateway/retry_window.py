"""A budget for repeats that all gateways keep without telling each other.

Each gateway repeats within its own share of what all may, so the sum stays within the bound.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryBounds", "RetryWindows", "create_retry_windows"]

# Part of its share that a gateway uses: requests are counted by others at slightly other times.
USED_PART = 0.7


class RetryBounds(NamedTuple):
    """The bound on repeats at one service.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, in each window, of all gateways together.
    window_s : float
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class _ServiceWindow:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()


class RetryWindows:
    """Requests and repeats of the last window, by service."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._windows: dict[str, _ServiceWindow] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._window(service, now_s).requests.append(now_s)

    def try_spend(self, service: str, gateways: int, now_s: float) -> bool:
        """Take one repeat; False if this gateway's share is spent.

        Parameters
        ----------
        gateways : int
            How many share the slack.
        """
        if self.remaining(service, gateways, now_s) < 1.0:
            return False
        self._window(service, now_s).repeats.append(now_s)
        return True

    def remaining(self, service: str, gateways: int, now_s: float) -> float:
        """Return how many repeats this gateway may still make now."""
        window = self._window(service, now_s)
        bounds = self._bounds
        allowed = bounds.ratio * len(window.requests) + bounds.slack / max(gateways, 1)
        return USED_PART * allowed - len(window.repeats)

    def services(self) -> list[str]:
        """Return the services that were asked for."""
        return list(self._windows)

    def _window(self, service: str, now_s: float) -> _ServiceWindow:
        window = self._windows.setdefault(service, _ServiceWindow())
        horizon_s = now_s - self._bounds.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < horizon_s:
                times.popleft()
        return window


def create_retry_windows(bounds: RetryBounds) -> RetryWindows:
    """Create windows without requests."""
    return RetryWindows(bounds)
