"""Limits the reads of the configuration service by one node, as its share of a common budget."""

from random import Random

import anyio

from guavawalk.process.clock import Clock
from guavawalk.process.spread.node_table import NodeTable
from guavawalk.process.spread.ranking import WATCHERS

__all__ = ["ReadRateLimiter", "create_read_rate_limiter"]

# Budget for the reads of the configuration service by all nodes together.
SERVICE_READS_PER_S = 2_000.0
# Parts of the budget for the regular watchers, and for nodes that stand in for unreachable ones.
WATCHERS_SHARE = 0.4
STAND_INS_SHARE = 0.4
BURST_READS = 4.0
# Nodes among which the budget is divided while this one knows no other: before the instance list is
# read, and if the list is empty.
UNKNOWN_FLEET_NODES = 2_500
UNLISTED_FLEET_NODES = 40
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


class ReadRateLimiter:
    """A token bucket that refills at this node's share of the read budget, and a back-off."""

    def __init__(self, node_table: NodeTable, clock: Clock, rng: Random) -> None:
        self._node_table = node_table
        self._clock = clock
        self._rng = rng
        self._tokens = BURST_READS
        self._refilled_at_s = clock.now_s()
        self._failures = 0

    @property
    def reads_per_s(self) -> float:
        """This node's share of the budget, given the nodes that it knows and can reach."""
        node_table = self._node_table
        if node_table.is_alone():
            nodes = UNLISTED_FLEET_NODES if node_table.has_instance_list else UNKNOWN_FLEET_NODES
            return SERVICE_READS_PER_S * STAND_INS_SHARE / nodes
        if node_table.covered_node_count() == 0:
            return SERVICE_READS_PER_S * WATCHERS_SHARE / (WATCHERS * node_table.data_centre_count)
        return SERVICE_READS_PER_S * STAND_INS_SHARE / node_table.node_count

    async def wait_turn(self) -> None:
        """Spend a token, and wait until the bucket is no longer overdrawn."""
        now_s = self._clock.now_s()
        rate_per_s = self.reads_per_s
        self._tokens = min(BURST_READS, self._tokens + (now_s - self._refilled_at_s) * rate_per_s)
        self._refilled_at_s = now_s
        self._tokens -= 1
        if self._tokens < 0:
            await anyio.sleep(-self._tokens / rate_per_s)

    async def back_off(self) -> None:
        """Wait a random time after a failed read; its bound doubles with each failure in a row."""
        limit_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        self._failures += 1
        await anyio.sleep(self._rng.uniform(limit_s / 4, limit_s))

    def record_success(self) -> None:
        """Reset the back-off after a successful read."""
        self._failures = 0


def create_read_rate_limiter(node_table: NodeTable, clock: Clock, rng: Random) -> ReadRateLimiter:
    """Create a limiter with a full bucket."""
    return ReadRateLimiter(node_table, clock, rng)
