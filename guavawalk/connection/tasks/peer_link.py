"""Answers to peers that request versions, on links of their own or on a sidecar's links."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.handshake import perform_handshake
from guavawalk.connection.link import Link
from guavawalk.connection.messages import (
    Failure,
    Message,
    Shard,
    ShardRequest,
    VersionOffer,
    VersionRequest,
)
from guavawalk.exception import LinkBroken, RequestError
from guavawalk.process.suspects import SuspectTable
from guavawalk.version.active import ActiveVersion

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["answer_peer", "serve_peer_link"]

MAX_WAIT_S = 30.0
MAX_WAITING_PEERS = 64
COMPRESSION_LEVEL = 6


async def serve_peer_link(spread: Spread, link: Link) -> None:
    """Serve the messages of a link from a peer until the link breaks."""
    try:
        await perform_handshake(link, spread.identity)
        while True:
            await answer_peer(spread.active, spread.members.suspects, link, await link.receive())
    except LinkBroken as error:
        spread.log.emit(events.LINK_BROKEN, peer=link.peer.instance, reason=str(error))
    except RequestError as error:
        spread.log.emit(events.LINK_REJECTED, code=int(error.code), reason=str(error))


async def answer_peer(
    active: ActiveVersion, suspects: SuspectTable, link: Link, message: Message
) -> None:
    """Answer one request for a version or a shard; any other message gets `BAD_FRAME`.

    A request for a version waits, up to the time that it states, for one newer than the peer's. A
    shard that is not in the active version is answered with empty bytes.
    """
    match message:
        case VersionRequest():
            suspects.merge(message.suspects)
            await _offer_version(active, suspects, link, message)
        case ShardRequest():
            value = active.shard(message.digest) or b""
            await link.send(Shard(message.digest, zlib.compress(value, COMPRESSION_LEVEL)))
        case _:
            await link.send(Failure(ResultCode.BAD_FRAME, f"unexpected {type(message).__name__}"))


async def _offer_version(
    active: ActiveVersion, suspects: SuspectTable, link: Link, request: VersionRequest
) -> None:
    if active.waiting_peers >= MAX_WAITING_PEERS:
        await link.send(Failure(ResultCode.PEER_BUSY))
        return
    active.waiting_peers += 1
    try:
        with anyio.move_on_after(min(max(request.wait_ms, 0) / 1000, MAX_WAIT_S)):
            await active.wait_newer(request.above)
    finally:
        active.waiting_peers -= 1
    stamp = active.stamp
    root = active.documents.root if stamp.version > request.above else b""
    compressed = zlib.compress(root, COMPRESSION_LEVEL)
    await link.send(
        VersionOffer(stamp.version, stamp.digest, compressed, suspects=suspects.newest_pairs())
    )
