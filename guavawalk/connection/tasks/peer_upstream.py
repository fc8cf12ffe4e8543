"""The task of one upstream: fetches new versions from a peer by long polling."""

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

__all__ = ["UPSTREAMS", "follow_peer", "open_peer_link", "poll_peer"]

# Number of peers from which a node fetches versions at a time.
UPSTREAMS = 2
# Time that a peer waits for a newer version before it answers a poll, in seconds.
POLL_WAIT_S = 2.0
# Time for a reply beyond what the peer waits, in seconds.
REPLY_TIMEOUT_S = 1.0
# The pause after a failure doubles with each further one, up to the maximum, in seconds.
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 1.0
MAX_RETRY_DOUBLINGS = 3
# Longest wait for a change of the node table while it has no peer for an upstream, in seconds.
RECHECK_S = 5.0


class PeerShards:
    """Requests shards from the peer at the other end of a link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    async def shard(self, digest: str) -> bytes:
        """Return the bytes of a shard; empty if the peer doesn't have it.

        Raises
        ------
        LinkBroken
            If the link breaks, no reply arrives in time, or the reply is not a shard.
        DamagedValue
            If the reply can't be decompressed.
        """
        reply = await request_reply(self._link, ShardRequest(digest), REPLY_TIMEOUT_S)
        if not isinstance(reply, Shard):
            raise LinkBroken(f"received {type(reply).__name__}, expected Shard")
        return _decompress(reply.value)


async def follow_peer(spread: Spread, slot: int) -> None:
    """Long-poll the upstream peer for newer versions and activate them, until cancelled.

    Parameters
    ----------
    slot : int
        Number of the upstream, from 0 to `UPSTREAMS` - 1. The node table determines its peer, which
        may change over time.
    """
    node_table = spread.members.node_table
    failures = 0
    while True:
        address = node_table.upstream(slot)
        if address is None:
            with anyio.move_on_after(RECHECK_S):
                await node_table.wait_changed()
            continue
        try:
            async with open_peer_link(spread, address) as link:
                while node_table.upstream(slot) == address:
                    await _poll(spread, link, POLL_WAIT_S)
                    failures = 0
        except LinkRefused:
            failures += 1
        except (LinkBroken, RequestError):
            failures += 1
            node_table.record_unreachable(address)
        except ConfigurationError as error:
            spread.log.emit(events.VERSION_INVALID, peer=address, reason=str(error))
        max_pause_s = min(
            MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** min(failures, MAX_RETRY_DOUBLINGS)
        )
        await anyio.sleep(spread.rng.uniform(max_pause_s / 4, max_pause_s))


async def poll_peer(spread: Spread, address: str) -> None:
    """Activate the version that a peer has now, if it is newer.

    An unreachable peer or an invalid version is logged; nothing is raised.
    """
    try:
        async with open_peer_link(spread, address) as link:
            await _poll(spread, link, 0.0)
    except (LinkBroken, LinkRefused, RequestError) as error:
        spread.log.emit(events.PEER_UNREACHABLE, peer=address, reason=str(error))
    except ConfigurationError as error:
        spread.log.emit(events.VERSION_INVALID, peer=address, reason=str(error))


@asynccontextmanager
async def open_peer_link(spread: Spread, address: str):
    """Open a link to a peer, perform the handshake, and close the link at the end of the block.

    Raises
    ------
    LinkRefused
        If no link could be opened. The node table has recorded the peer as unreachable then.
    LinkBroken
        If the link breaks during the handshake.
    RequestError
        If the handshake is refused.
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


async def request_reply(link: Link, message: Message, wait_s: float) -> Message:
    """Send a message and return the reply.

    Parameters
    ----------
    wait_s : float
        Time for sending and the reply together, in seconds.

    Raises
    ------
    LinkBroken
        If the link breaks, or there is no reply within `wait_s`.
    """
    try:
        with anyio.fail_after(wait_s):
            await link.send(message)
            return await link.receive()
    except TimeoutError as error:
        raise LinkBroken("no reply within the time limit") from error


async def _poll(spread: Spread, link: Link, wait_s: float) -> None:
    active = spread.active
    suspects = spread.members.suspects
    request = VersionRequest(active.stamp.version, int(wait_s * 1000), suspects.newest_pairs())
    reply = await request_reply(link, request, wait_s + REPLY_TIMEOUT_S)
    if not isinstance(reply, VersionOffer):
        raise LinkBroken(f"received {type(reply).__name__}, expected VersionOffer")
    suspects.merge(reply.suspects)
    root = _decompress(reply.root)
    if root:
        await apply_version(spread, root, PeerShards(link))
    elif active.evaluate(VersionStamp(reply.version, reply.digest)) is ActivationResult.CONFLICT:
        spread.log.emit(events.VERSION_CONFLICT, version=reply.version, digest=reply.digest)


def _decompress(value: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        unpacked = reader.decompress(value, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise DamagedValue("peer's value", str(error)) from error
    if not reader.eof:
        raise DamagedValue("peer's value", f"truncated, or larger than {MAX_VALUE_BYTES} bytes")
    return unpacked
