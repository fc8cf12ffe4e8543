"""Taking a version from whoever has it: each shard once, then all of it or nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from guavawalk import events
from guavawalk.exception import ConfigurationError, DamagedValue
from guavawalk.version.build import stamp_of_root
from guavawalk.version.documents import VersionDocuments, digest_bytes, read_root
from guavawalk.version.held import Taken

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["ShardSource", "take_version"]

SPARE_BYTES = 64_000_000


class ShardSource(Protocol):
    """Where the shards of a version are to be had."""

    async def shard(self, digest: str) -> bytes:
        """Return the bytes of a shard; raises what its connection raises."""
        ...


async def take_version(spread: Spread, root: bytes, source: ShardSource) -> Taken:
    """Put the version of a root in force if it is newer than the one held.

    Parameters
    ----------
    spread : Spread
        The process's parts.
    root : bytes
        A root document.
    source : ShardSource
        Asked for the shards that this process doesn't hold.

    Raises
    ------
    ConfigurationError
        If the root or a shard can't be used; the version held stays.
    """
    stamp = stamp_of_root(root)
    verdict = spread.held.judge(stamp)
    if verdict is Taken.CONFLICT:
        spread.log.emit(events.VERSION_CONFLICT, version=stamp.version, digest=stamp.digest)
    if verdict is not Taken.IN_FORCE:
        return verdict
    async with spread.fetching:
        if spread.held.judge(stamp) is not Taken.IN_FORCE:
            return spread.held.judge(stamp)
        digests = [reference["digest"] for reference in read_root(root)["shards"]]
        shards = [await _shard(spread, digest, source) for digest in digests]
        verdict = await spread.held.take_in_steps(VersionDocuments(stamp, root, tuple(shards)))
    if verdict is Taken.IN_FORCE:
        _note_in_force(spread)
    return verdict


def _note_in_force(spread: Spread) -> None:
    held = spread.held
    spread.spare.clear()
    spread.members.roster.learn_configuration(held.configuration)
    spread.log.emit(events.VERSION_IN_FORCE, version=held.stamp.version, digest=held.stamp.digest)


async def _shard(spread: Spread, digest: str, source: ShardSource) -> bytes:
    value = spread.held.shard(digest) or spread.spare.get(digest)
    if value is not None:
        return value
    value = await source.shard(digest)
    found = digest_bytes(value)
    if found != digest:
        raise DamagedValue(f"shard {digest[:12]}", f"the bytes have digest {found[:12]}")
    if sum(map(len, spread.spare.values())) + len(value) > SPARE_BYTES:
        spread.spare.clear()
        raise ConfigurationError("root.shards", f"together above {SPARE_BYTES} bytes")
    spread.spare[digest] = value
    return value
