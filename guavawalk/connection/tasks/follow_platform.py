"""The task that reads new configuration versions from the platform and activates them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.platform import Platform, PublishedValue
from guavawalk.connection.tasks.apply_version import apply_version
from guavawalk.exception import ConfigurationError, PlatformUnavailable
from guavawalk.version.documents import ROOT_KEY, shard_key

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["follow_platform"]

# Waiting time of a watch, in seconds: nothing but its time-out shows that its answer was lost, and
# a version has to be in force everywhere within 5 s.
WATCH_TIMEOUT_S = 2.0
# Interval at which a watch returns what is published now, changed or not, in seconds.
REREAD_EVERY_S = 25.0
ANY_REVISION = -1
# Longest pause between two reads by a node that stands in for an unreachable watcher, in seconds
# for each unreachable node of its data centre. The more nodes are unreachable, the likelier it is
# that this node is cut off, together with many others that stand in too; so it reads less often.
STAND_IN_POLL_S = 1.0
RECHECK_S = 5.0


class PlatformShards:
    """Reads shards from the configuration service, within this node's read rate."""

    def __init__(self, spread: Spread) -> None:
        self._platform: Platform = spread.platform
        self._rate_limiter = spread.read_rate_limiter

    async def shard(self, digest: str) -> bytes:
        """Return the bytes of a shard.

        Raises
        ------
        PlatformUnavailable
            If the platform can't be read, or the shard is not published.
        """
        await self._rate_limiter.wait_turn()
        published = await self._platform.read(shard_key(digest))
        if published is None:
            raise PlatformUnavailable(f"shard {digest[:12]} is not published")
        return published.value


async def follow_platform(spread: Spread) -> None:
    """Watch the root document while this node is a watcher, and activate each newer version.

    Notes
    -----
    Each `REREAD_EVERY_S` a watch that times out without a change is followed by one from
    `ANY_REVISION`, which returns what is published now. Otherwise a service that has lost its
    revisions, and counts them from a lower one, would not be noticed.
    """
    revision = ANY_REVISION
    answered_s = spread.clock.now_s()
    while True:
        covered_node_count = spread.members.node_table.covered_node_count()
        if covered_node_count is None:
            await _wait_for_node_updates(spread)
            continue
        try:
            published = await _next_root(spread, covered_node_count, revision)
            if published is not None:
                revision, answered_s = published.revision, spread.clock.now_s()
                await apply_version(spread, published.value, PlatformShards(spread))
            elif spread.clock.now_s() - answered_s >= REREAD_EVERY_S:
                revision = ANY_REVISION
            spread.read_rate_limiter.record_success()
        except PlatformUnavailable as error:
            revision = ANY_REVISION
            spread.log.emit(events.PLATFORM_UNAVAILABLE, reason=str(error))
            await spread.read_rate_limiter.back_off()
        except ConfigurationError as error:
            revision = ANY_REVISION
            spread.log.emit(events.VERSION_INVALID, reason=str(error))
            await spread.read_rate_limiter.back_off()


async def _next_root(
    spread: Spread, covered_node_count: int, revision: int
) -> PublishedValue | None:
    await spread.read_rate_limiter.wait_turn()
    if covered_node_count == 0:
        return await spread.platform.watch(ROOT_KEY, revision, WATCH_TIMEOUT_S)
    pause_s = STAND_IN_POLL_S * covered_node_count
    await anyio.sleep(spread.rng.uniform(pause_s / 2, pause_s))
    return await spread.platform.read(ROOT_KEY)


async def _wait_for_node_updates(spread: Spread) -> None:
    with anyio.move_on_after(RECHECK_S):
        await spread.members.node_table.wait_changed()
