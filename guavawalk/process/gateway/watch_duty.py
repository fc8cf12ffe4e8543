"""Decides whether this gateway watches the registry, or learns of changes from those that do.

A few gateways of each data centre watch; they are the first by rank whose registry answers. The
others fetch newer versions from gateways that report them. A gateway that hears no other of its
data centre watches.
"""

import math

import anyio

from guavawalk.process.clock import Clock
from guavawalk.process.gateway.peers import PeerTable

__all__ = ["WATCHERS", "WatchDuty", "create_watch_duty"]

# Gateways of a data centre that watch: a second one, so that no change is missed while the first
# one's end, or the loss of its connection to the registry, has not been noticed.
WATCHERS = 2
# Time after a failed call to the registry for which a gateway leaves the watch to others, in
# seconds. After it the registry may answer this gateway again.
FAILING_FOR_S = 3.0
# Time for which a gateway watches since it could not fetch a newer version, in seconds.
TAKEN_OVER_FOR_S = 5.0
# Interval at which the passing of these times is noticed without other news, in seconds.
CHECK_EVERY_S = 1.0


class WatchDuty:
    """Tracks whether the registry answers this gateway, and whether it watches."""

    def __init__(self, peers: PeerTable, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        # When calls last failed, by what was read; nothing for what was read successfully since.
        self._failed_s: dict[str, float] = {}
        self._last_failed_s = -math.inf
        self._taken_over_until_s = 0.0

    def record_success(self, what: str) -> None:
        """Record that the registry has answered."""
        self._failed_s.pop(what, None)

    def record_failure(self, what: str) -> None:
        """Record that the registry has not answered."""
        self._failed_s[what] = self._last_failed_s = self._clock.now_s()

    def take_over(self) -> None:
        """Watch for some time, since newer versions can't be fetched from other gateways."""
        self._taken_over_until_s = self._clock.now_s() + TAKEN_OVER_FOR_S

    def is_failing(self) -> bool:
        """Return whether the registry has just failed to answer."""
        horizon_s = self._clock.now_s() - FAILING_FOR_S
        return any(failed_s > horizon_s for failed_s in self._failed_s.values())

    def has_failed_since(self, since_s: float) -> bool:
        """Return whether it failed to answer any gateway of the data centre after a moment."""
        return max(self._last_failed_s, self._peers.registry_failed_s) > since_s

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the registry now."""
        if self._clock.now_s() < self._taken_over_until_s:
            return True
        ranked = self._peers.ranked_by_registry(self.is_failing())
        return self._peers.own_address in ranked[:WATCHERS]

    async def wait(self) -> None:
        """Wait until this gateway watches."""
        while not self.is_watcher():
            with anyio.move_on_after(CHECK_EVERY_S):
                await self._peers.changed.wait()


def create_watch_duty(peers: PeerTable, clock: Clock) -> WatchDuty:
    """Create the duty of a gateway that has not called the registry yet."""
    return WatchDuty(peers, clock)
