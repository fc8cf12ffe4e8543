"""The task of one upstream: it learns new versions from a peer by waiting at it."""

from __future__ import annotations

import zlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.handshake import perform_handshake
from guavawalk.connection.link import Link
from guavawalk.connection.messages import (
    Message,
    Shard,
    ShardRequest,
    VersionOffer,
    VersionRequest,
)
from guavawalk.connection.tasks.apply_version import apply_version
from guavawalk.exception import (
    ConfigurationError,
    DamagedValue,
    LinkBroken,
    LinkRefused,
    RequestError,
)
from guavawalk.version.active import ActivationResult
from guavawalk.version.documents import MAX_VALUE_BYTES
from guavawalk.version.types import VersionStamp

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["UPSTREAMS", "ask_peer", "follow_peer", "open_peer"]

UPSTREAMS = 2
POLL_S = 2.0
ANSWER_S = 1.0
RETRY_S = 0.2
RETRY_LIMIT_S = 1.0
RETRY_DOUBLINGS = 3
RECHECK_S = 5.0


class PeerShards:
    """Shards from the peer at the other end of a link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    async def shard(self, digest: str) -> bytes:
        """Ask for a shard."""
        reply = await exchange(self._link, ShardRequest(digest), ANSWER_S)
        if not isinstance(reply, Shard):
            raise LinkBroken(f"found {type(reply).__name__}, expected Shard")
        return _unpack(reply.value)


async def follow_peer(spread: Spread, slot: int) -> None:
    """Follow whichever peer this task should learn from, for as long as the process lives."""
    node_table = spread.members.node_table
    failures = 0
    while True:
        address = node_table.upstream(slot)
        if address is None:
            with anyio.move_on_after(RECHECK_S):
                await node_table.wait_changed()
            continue
        try:
            async with open_peer(spread, address) as link:
                while node_table.upstream(slot) == address:
                    await _poll(spread, link, POLL_S)
                    failures = 0
        except LinkRefused:
            failures += 1
        except (LinkBroken, RequestError):
            failures += 1
            node_table.record_unreachable(address)
        except ConfigurationError as error:
            spread.log.emit(events.VERSION_INVALID, peer=address, reason=str(error))
        limit_s = min(RETRY_LIMIT_S, RETRY_S * 2 ** min(failures, RETRY_DOUBLINGS))
        await anyio.sleep(spread.rng.uniform(limit_s / 4, limit_s))


async def ask_peer(spread: Spread, address: str) -> None:
    """Take the newest version that a peer has now; do nothing if it can't be asked."""
    try:
        async with open_peer(spread, address) as link:
            await _poll(spread, link, 0.0)
    except (LinkBroken, LinkRefused, RequestError) as error:
        spread.log.emit(events.PEER_UNREACHABLE, peer=address, reason=str(error))
    except ConfigurationError as error:
        spread.log.emit(events.VERSION_INVALID, peer=address, reason=str(error))


@asynccontextmanager
async def open_peer(spread: Spread, address: str):
    """Open a greeted link to a peer for as long as the block lasts.

    Raises
    ------
    LinkRefused
        If there is none to be had; the node table knows it then.
    """
    node_table = spread.members.node_table
    try:
        link = await spread.network.connect(address)
    except LinkRefused:
        node_table.record_unreachable(address)
        raise
    try:
        hello = await perform_handshake(link, spread.identity)
        if node_table.record_reachable(address, hello):
            spread.log.emit(events.MEMBER_RESTARTED, peer=address, instance=hello.instance)
        yield link
    finally:
        with anyio.CancelScope(shield=True):
            await link.aclose()


async def exchange(link: Link, message: Message, wait_s: float) -> Message:
    """Send a message and return the reply; `LinkBroken` if none comes in time."""
    try:
        with anyio.fail_after(wait_s):
            await link.send(message)
            return await link.receive()
    except TimeoutError as error:
        raise LinkBroken("no reply in time") from error


async def _poll(spread: Spread, link: Link, wait_s: float) -> None:
    active = spread.active
    suspects = spread.members.suspects
    request = VersionRequest(active.stamp.version, int(wait_s * 1000), suspects.newest_pairs())
    reply = await exchange(link, request, wait_s + ANSWER_S)
    if not isinstance(reply, VersionOffer):
        raise LinkBroken(f"found {type(reply).__name__}, expected VersionOffer")
    suspects.merge(reply.suspects)
    root = _unpack(reply.root)
    if root:
        await apply_version(spread, root, PeerShards(link))
    elif active.evaluate(VersionStamp(reply.version, reply.digest)) is ActivationResult.CONFLICT:
        spread.log.emit(events.VERSION_CONFLICT, version=reply.version, digest=reply.digest)


def _unpack(value: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(value, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise DamagedValue("peer's value", str(error)) from error
    if not reader.eof:
        raise DamagedValue("peer's value", f"cut short, or above {MAX_VALUE_BYTES} bytes")
    return found
