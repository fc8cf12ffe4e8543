"""Taking a version from whoever has it: each shard once, then all of it or nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from guavawalk import events
from guavawalk.exception import ConfigurationError, DamagedValue
from guavawalk.version.active import ActivationResult
from guavawalk.version.build import stamp_of_root
from guavawalk.version.documents import VersionDocuments, digest_bytes, read_root

if TYPE_CHECKING:
    from guavawalk.process.spread.state import Spread

__all__ = ["ShardSource", "apply_version"]

MAX_FETCHED_SHARDS_BYTES = 64_000_000


class ShardSource(Protocol):
    """Where the shards of a version are to be had."""

    async def shard(self, digest: str) -> bytes:
        """Return the bytes of a shard; raises what its connection raises."""
        ...


async def apply_version(spread: Spread, root: bytes, source: ShardSource) -> ActivationResult:
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
    verdict = spread.active.evaluate(stamp)
    if verdict is ActivationResult.CONFLICT:
        spread.log.emit(events.VERSION_CONFLICT, version=stamp.version, digest=stamp.digest)
    if verdict is not ActivationResult.IN_FORCE:
        return verdict
    async with spread.fetching:
        if spread.active.evaluate(stamp) is not ActivationResult.IN_FORCE:
            return spread.active.evaluate(stamp)
        digests = [reference["digest"] for reference in read_root(root)["shards"]]
        shards = [await _shard(spread, digest, source) for digest in digests]
        verdict = await spread.active.activate_in_steps(
            VersionDocuments(stamp, root, tuple(shards))
        )
    if verdict is ActivationResult.IN_FORCE:
        _record_in_force(spread)
    return verdict


def _record_in_force(spread: Spread) -> None:
    active = spread.active
    spread.fetched_shards.clear()
    spread.members.node_table.update_from_configuration(active.configuration)
    spread.log.emit(
        events.VERSION_IN_FORCE, version=active.stamp.version, digest=active.stamp.digest
    )


async def _shard(spread: Spread, digest: str, source: ShardSource) -> bytes:
    value = spread.active.shard(digest) or spread.fetched_shards.get(digest)
    if value is not None:
        return value
    value = await source.shard(digest)
    found = digest_bytes(value)
    if found != digest:
        raise DamagedValue(f"shard {digest[:12]}", f"the bytes have digest {found[:12]}")
    if sum(map(len, spread.fetched_shards.values())) + len(value) > MAX_FETCHED_SHARDS_BYTES:
        spread.fetched_shards.clear()
        raise ConfigurationError("root.shards", f"together above {MAX_FETCHED_SHARDS_BYTES} bytes")
    spread.fetched_shards[digest] = value
    return value
