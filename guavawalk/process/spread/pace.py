"""How fast one node may read the configuration service, so that all together stay in its budget."""

from random import Random

import anyio

from guavawalk.process.clock import Clock
from guavawalk.process.spread.ranking import WATCHERS
from guavawalk.process.spread.roster import Roster

__all__ = ["ReadPace", "create_read_pace"]

SERVICE_READS_PER_S = 2_000.0
WATCHERS_SHARE = 0.4
STAND_INS_SHARE = 0.4
BURST_READS = 4.0
UNKNOWN_FLEET_NODES = 2_500
UNLISTED_FLEET_NODES = 40
BACKOFF_FIRST_S = 0.5
BACKOFF_LIMIT_S = 15.0


class ReadPace:
    """A token bucket that fills with this node's share of the budget, and a back-off."""

    def __init__(self, roster: Roster, clock: Clock, rng: Random) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._tokens = BURST_READS
        self._filled_s = clock.now_s()
        self._failures = 0

    @property
    def reads_per_s(self) -> float:
        """This node's share."""
        roster = self._roster
        if roster.is_alone():
            nodes = UNLISTED_FLEET_NODES if roster.has_list else UNKNOWN_FLEET_NODES
            return SERVICE_READS_PER_S * STAND_INS_SHARE / nodes
        if roster.watch_burden() == 0:
            return SERVICE_READS_PER_S * WATCHERS_SHARE / (WATCHERS * roster.centres)
        return SERVICE_READS_PER_S * STAND_INS_SHARE / roster.size

    async def wait_turn(self) -> None:
        """Wait until one more read is within this node's share."""
        now_s = self._clock.now_s()
        rate = self.reads_per_s
        self._tokens = min(BURST_READS, self._tokens + (now_s - self._filled_s) * rate)
        self._filled_s = now_s
        self._tokens -= 1
        if self._tokens < 0:
            await anyio.sleep(-self._tokens / rate)

    async def back_off(self) -> None:
        """Wait after a failed read, longer each time, with jitter."""
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._failures)
        self._failures += 1
        await anyio.sleep(self._rng.uniform(limit_s / 4, limit_s))

    def note_success(self) -> None:
        """Begin again with the shortest back-off."""
        self._failures = 0


def create_read_pace(roster: Roster, clock: Clock, rng: Random) -> ReadPace:
    """Create a pace that has its burst to spend."""
    return ReadPace(roster, clock, rng)
