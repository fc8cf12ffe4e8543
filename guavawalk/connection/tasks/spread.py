"""Everything that keeps the configuration in force in one process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.tasks.follow_platform import follow_platform
from guavawalk.connection.tasks.peer_upstream import UPSTREAMS, ask_peer, follow_peer
from guavawalk.exception import PlatformUnavailable
from guavawalk.process.pauses import watch_pauses

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["run_spread"]

PEERS_TO_ASK = 5
ASK_S = 2.0
LIST_EVERY_S = 60.0
LIST_READ_S = 3.0
CHASE_GRACE_S = 0.25


async def run_spread(spread: Spread) -> None:
    """Find the fleet, take its newest version, and keep up with it until cancelled.

    Notes
    -----
    The peers are asked before the platform is obeyed, since what it answers may be old.
    """
    async with anyio.create_task_group() as tasks:
        revalidate = partial(_revalidate, spread)
        tasks.start_soon(watch_pauses, spread.members.pauses, revalidate, spread.log, spread.sleep)
        await anyio.sleep(spread.rng.uniform(0.0, spread.start_jitter_s))
        await _read_instances(spread)
        await _ask_peers(spread)
        for slot in range(UPSTREAMS):
            tasks.start_soon(follow_peer, spread, slot)
        tasks.start_soon(_follow_instances, spread)
        tasks.start_soon(_chase_updates, spread)
        tasks.start_soon(follow_platform, spread)


async def _ask_peers(spread: Spread) -> None:
    with anyio.move_on_after(ASK_S):
        async with anyio.create_task_group() as tasks:
            for address in spread.members.node_table.peers_to_ask(spread.rng, PEERS_TO_ASK):
                tasks.start_soon(ask_peer, spread, address)


async def _follow_instances(spread: Spread) -> None:
    while True:
        await anyio.sleep(spread.rng.uniform(LIST_EVERY_S / 2, LIST_EVERY_S * 1.5))
        await _read_instances(spread)


async def _read_instances(spread: Spread) -> None:
    try:
        with anyio.move_on_after(LIST_READ_S):
            spread.members.node_table.update_from_instances(await spread.platform.instances())
    except PlatformUnavailable as error:
        spread.log.emit(events.PLATFORM_UNAVAILABLE, reason=str(error))


async def _chase_updates(spread: Spread) -> None:
    """Fetch a version that a message has named, if no upstream brings it by itself."""
    updates = spread.members.advertised_version
    while True:
        await updates.wait_above(spread.active.stamp.version)
        with anyio.move_on_after(CHASE_GRACE_S):
            await spread.active.wait_newer(updates.version - 1)
        if spread.active.stamp.version < updates.version:
            await ask_peer(spread, updates.address)
        if spread.active.stamp.version < updates.version:
            updates.forget()


async def _revalidate(spread: Spread) -> None:
    spread.members.node_table.clear_reachability()
    await _ask_peers(spread)
