"""How fast one node may read the configuration service, so that all together stay in its budget."""

from random import Random

import anyio

from guavawalk.process.clock import Clock
from guavawalk.process.spread.node_table import NodeTable
from guavawalk.process.spread.ranking import WATCHERS

__all__ = ["ReadRateLimiter", "create_read_rate_limiter"]

SERVICE_READS_PER_S = 2_000.0
WATCHERS_SHARE = 0.4
STAND_INS_SHARE = 0.4
BURST_READS = 4.0
UNKNOWN_FLEET_NODES = 2_500
UNLISTED_FLEET_NODES = 40
BACKOFF_FIRST_S = 0.5
BACKOFF_LIMIT_S = 15.0


class ReadRateLimiter:
    """A token bucket that fills with this node's share of the budget, and a back-off."""

    def __init__(self, node_table: NodeTable, clock: Clock, rng: Random) -> None:
        self._node_table = node_table
        self._clock = clock
        self._rng = rng
        self._tokens = BURST_READS
        self._filled_s = clock.now_s()
        self._failures = 0

    @property
    def reads_per_s(self) -> float:
        """This node's share."""
        node_table = self._node_table
        if node_table.is_alone():
            nodes = UNLISTED_FLEET_NODES if node_table.has_instance_list else UNKNOWN_FLEET_NODES
            return SERVICE_READS_PER_S * STAND_INS_SHARE / nodes
        if node_table.stand_in_count() == 0:
            return SERVICE_READS_PER_S * WATCHERS_SHARE / (WATCHERS * node_table.data_centre_count)
        return SERVICE_READS_PER_S * STAND_INS_SHARE / node_table.node_count

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

    def record_success(self) -> None:
        """Begin again with the shortest back-off."""
        self._failures = 0


def create_read_rate_limiter(node_table: NodeTable, clock: Clock, rng: Random) -> ReadRateLimiter:
    """Create a pace that has its burst to spend."""
    return ReadRateLimiter(node_table, clock, rng)
