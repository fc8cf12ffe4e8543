"""Renders the items of a configuration into the documents that are published."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from xxhash import xxh32_intdigest

from guavawalk.exception import ConfigurationError
from guavawalk.version.build import stamp_of_root
from guavawalk.version.documents import (
    FORMAT,
    MAX_VALUE_BYTES,
    ROOT_KEY,
    VersionDocuments,
    digest_bytes,
    shard_key,
)

__all__ = ["published_values", "render_documents"]

# A shard of at least the first size ends at the next boundary item. It exceeds the second size only
# if it consists of a single item.
SHARD_MIN_BYTES = 24_000
SHARD_MAX_BYTES = 400_000
# Average number of items from one boundary item to the next.
ITEMS_TO_BOUNDARY = 100
# Largest rendered item: a shard that consists of it alone must not exceed `MAX_VALUE_BYTES`.
MAX_ITEM_BYTES = MAX_VALUE_BYTES - 1_000


def render_documents(version: int, parts: Mapping[str, Iterable[Any]]) -> VersionDocuments:
    """Render items into a root and shards; the same input gives the same bytes.

    Parameters
    ----------
    version : int
        Number of the version, 1 or more.
    parts : mapping of str to iterable
        Items by field of `ShardDocument`; an item starts with its name.

    Returns
    -------
    VersionDocuments
        Shards of at most `MAX_VALUE_BYTES`, and the root that refers to them.

    Raises
    ------
    ConfigurationError
        If a single item is too large for a shard, or the version is below 1.
    """
    shards = [shard for field, items in parts.items() for shard in _shards(field, items)]
    references = [{"digest": digest_bytes(s), "size_bytes": len(s)} for s in shards]
    root = _render({"format": FORMAT, "version": version, "shards": references})
    return VersionDocuments(stamp_of_root(root), root, tuple(shards))


def published_values(documents: VersionDocuments) -> dict[str, bytes]:
    """Return the values to publish by key, with the root last: it refers to the others."""
    values = {shard_key(digest_bytes(shard)): shard for shard in documents.shards}
    values[ROOT_KEY] = documents.root
    return values


def _shards(field: str, items: Iterable[Any]) -> Iterable[bytes]:
    pending: list[Any] = []
    size = 0
    for item in items:
        rendered = _render(item)
        item_bytes = len(rendered) + 1
        if item_bytes > MAX_ITEM_BYTES:
            problem = f"found {item_bytes} bytes, allowed in one shard are {MAX_ITEM_BYTES}"
            raise ConfigurationError(f"{field}.{item[0]:.80}", problem)
        if pending and size + item_bytes > SHARD_MAX_BYTES:
            yield _render({field: pending})
            pending, size = [], 0
        pending.append(item)
        size += item_bytes
        if size >= SHARD_MIN_BYTES and _ends_shard(item):
            yield _render({field: pending})
            pending, size = [], 0
    if pending:
        yield _render({field: pending})


def _ends_shard(item: Any) -> bool:
    # A boundary that depends on a name alone stays in place when other items are added, removed or
    # changed, so that few shards change with them.
    return xxh32_intdigest(item[0].encode()) % ITEMS_TO_BOUNDARY == 0


def _render(value: Any) -> bytes:
    # A NamedTuple is published as an array, which the readers' typed decoder expects.
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode()
