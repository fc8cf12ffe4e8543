"""Fetches the shards of a version from a source, and activates the version as a whole."""

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

# Largest total size of the shards that are fetched for one version, in bytes.
MAX_FETCHED_BYTES = 64_000_000


class ShardSource(Protocol):
    """A source of the shards of a version."""

    async def shard(self, digest: str) -> bytes:
        """Return the bytes of a shard; errors of the connection are raised unchanged."""
        ...


async def apply_version(spread: Spread, root: bytes, source: ShardSource) -> ActivationResult:
    """Activate the version of a root document if it is newer than the active one.

    Parameters
    ----------
    spread : Spread
        State of the configuration tasks of the process.
    root : bytes
        A root document.
    source : ShardSource
        Source of the shards that this process doesn't have yet.

    Returns
    -------
    ActivationResult
        `IN_FORCE` if the version was activated, otherwise why not.

    Raises
    ------
    ConfigurationError
        If the root or a shard can't be used; the active version stays. Errors of `source` are
        raised too.
    """
    stamp = stamp_of_root(root)
    result = spread.active.evaluate(stamp)
    if result is ActivationResult.CONFLICT:
        spread.log.emit(events.VERSION_CONFLICT, version=stamp.version, digest=stamp.digest)
    if result is not ActivationResult.IN_FORCE:
        return result
    async with spread.fetching:
        # Another task may have activated this version or a newer one while this one waited.
        if spread.active.evaluate(stamp) is not ActivationResult.IN_FORCE:
            return spread.active.evaluate(stamp)
        digests = [reference["digest"] for reference in read_root(root)["shards"]]
        shards = [await _find_shard(spread, digest, source) for digest in digests]
        result = await spread.active.activate_in_steps(VersionDocuments(stamp, root, tuple(shards)))
    if result is ActivationResult.IN_FORCE:
        _finish_activation(spread)
    return result


def _finish_activation(spread: Spread) -> None:
    active = spread.active
    spread.fetched_shards.clear()
    spread.members.node_table.update_from_configuration(active.configuration)
    spread.log.emit(
        events.VERSION_IN_FORCE, version=active.stamp.version, digest=active.stamp.digest
    )


async def _find_shard(spread: Spread, digest: str, source: ShardSource) -> bytes:
    value = spread.active.shard(digest) or spread.fetched_shards.get(digest)
    if value is not None:
        return value
    value = await source.shard(digest)
    value_digest = digest_bytes(value)
    if value_digest != digest:
        raise DamagedValue(f"shard {digest[:12]}", f"the bytes have digest {value_digest[:12]}")
    if sum(map(len, spread.fetched_shards.values())) + len(value) > MAX_FETCHED_BYTES:
        spread.fetched_shards.clear()
        raise ConfigurationError(
            "root.shards", f"the fetched shards are together larger than {MAX_FETCHED_BYTES} bytes"
        )
    spread.fetched_shards[digest] = value
    return value
