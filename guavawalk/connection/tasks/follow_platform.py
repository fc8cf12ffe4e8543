"""The task of the connection to the platform: it brings new versions into force."""

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

WATCH_S = 25.0
ANY_REVISION = -1
STAND_IN_PAUSE_S = 1.0
RECHECK_S = 5.0


class PlatformShards:
    """Shards from the configuration service, at this node's pace."""

    def __init__(self, spread: Spread) -> None:
        self._platform: Platform = spread.platform
        self._pace = spread.read_rate_limiter

    async def shard(self, digest: str) -> bytes:
        """Read a shard; `PlatformUnavailable` if it isn't there."""
        await self._pace.wait_turn()
        found = await self._platform.read(shard_key(digest))
        if found is None:
            raise PlatformUnavailable(f"shard {digest[:12]} is not published")
        return found.value


async def follow_platform(spread: Spread) -> None:
    """Watch the root while this node is a watcher, and take each newer version.

    Notes
    -----
    A wait that ends without news is followed by a read of whatever is published, so that a
    service that lost its revisions is noticed.
    """
    revision = ANY_REVISION
    while True:
        burden = spread.members.node_table.stand_in_count()
        if burden is None:
            await _wait_for_node_updates(spread)
            continue
        try:
            found = await _next_root(spread, burden, revision)
            revision = ANY_REVISION if found is None else found.revision
            if found is not None:
                await apply_version(spread, found.value, PlatformShards(spread))
            spread.read_rate_limiter.record_success()
        except PlatformUnavailable as error:
            revision = ANY_REVISION
            spread.log.emit(events.PLATFORM_UNAVAILABLE, reason=str(error))
            await spread.read_rate_limiter.back_off()
        except ConfigurationError as error:
            revision = ANY_REVISION
            spread.log.emit(events.VERSION_INVALID, reason=str(error))
            await spread.read_rate_limiter.back_off()


async def _next_root(spread: Spread, burden: int, revision: int) -> PublishedValue | None:
    await spread.read_rate_limiter.wait_turn()
    if burden == 0:
        return await spread.platform.watch(ROOT_KEY, revision, WATCH_S)
    pause_s = STAND_IN_PAUSE_S * burden
    await anyio.sleep(spread.rng.uniform(pause_s / 2, pause_s))
    return await spread.platform.read(ROOT_KEY)


async def _wait_for_node_updates(spread: Spread) -> None:
    with anyio.move_on_after(RECHECK_S):
        await spread.members.node_table.wait_changed()
