"""The tasks that keep the configuration of one process up to date."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.tasks.follow_platform import follow_platform
from guavawalk.connection.tasks.peer_upstream import UPSTREAMS, follow_peer, poll_peer
from guavawalk.exception import PlatformUnavailable
from guavawalk.process.pauses import watch_pauses

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["run_spread"]

# Largest number of peers that are polled together, and time for all of them, in seconds.
MAX_POLLED_PEERS = 5
POLL_TIMEOUT_S = 2.0
# Mean time between two reads of the instance list, and time-out of one read, in seconds.
LIST_INTERVAL_S = 60.0
LIST_TIMEOUT_S = 3.0
# Time for an upstream to deliver a version that a peer has advertised, in seconds; after that the
# version is fetched from the peer itself.
UPSTREAM_GRACE_S = 0.25


async def run_spread(spread: Spread) -> None:
    """Find the other nodes, activate their newest version and follow updates until cancelled.

    Notes
    -----
    Peers are polled before the platform is read, since the platform may answer with an old version.
    """
    async with anyio.create_task_group() as tasks:
        revalidate = partial(_revalidate, spread)
        tasks.start_soon(watch_pauses, spread.members.pauses, revalidate, spread.log, spread.sleep)
        await anyio.sleep(spread.rng.uniform(0.0, spread.start_jitter_s))
        await _read_instances(spread)
        await _poll_peers(spread)
        for slot in range(UPSTREAMS):
            tasks.start_soon(follow_peer, spread, slot)
        tasks.start_soon(_follow_instances, spread)
        tasks.start_soon(_fetch_advertised_versions, spread)
        tasks.start_soon(follow_platform, spread)


async def _poll_peers(spread: Spread) -> None:
    with anyio.move_on_after(POLL_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            for address in spread.members.node_table.peers_to_ask(spread.rng, MAX_POLLED_PEERS):
                tasks.start_soon(poll_peer, spread, address)


async def _follow_instances(spread: Spread) -> None:
    while True:
        await anyio.sleep(spread.rng.uniform(LIST_INTERVAL_S / 2, LIST_INTERVAL_S * 1.5))
        await _read_instances(spread)


async def _read_instances(spread: Spread) -> None:
    try:
        with anyio.move_on_after(LIST_TIMEOUT_S):
            spread.members.node_table.update_from_instances(await spread.platform.instances())
    except PlatformUnavailable as error:
        spread.log.emit(events.PLATFORM_UNAVAILABLE, reason=str(error))


async def _fetch_advertised_versions(spread: Spread) -> None:
    """Fetch advertised versions from their peers if no upstream delivers them in time.

    The time is `UPSTREAM_GRACE_S`. An advertised version that its peer does not deliver either is
    forgotten.
    """
    advertised = spread.members.advertised_version
    while True:
        await advertised.wait_above(spread.active.stamp.version)
        with anyio.move_on_after(UPSTREAM_GRACE_S):
            await spread.active.wait_newer(advertised.version - 1)
        if spread.active.stamp.version < advertised.version:
            await poll_peer(spread, advertised.address)
        if spread.active.stamp.version < advertised.version:
            advertised.forget()


async def _revalidate(spread: Spread) -> None:
    """Fetch the newest version from peers after a pause of this process."""
    spread.members.node_table.clear_reachability()
    await _poll_peers(spread)
