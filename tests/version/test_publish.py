"""Sizes of shards, and the number of shards that change with one item."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.exception import ConfigurationError
from guavawalk.version.publish import SHARD_MAX_BYTES, SHARD_MIN_BYTES, render_documents
from guavawalk.version.types import Workspace

COUNT = 3_000


def workspaces(count: int = COUNT) -> list[Workspace]:
    return [Workspace(f"w{i:05}", (f"{i:064x}",), ("onsite",), "onsite") for i in range(count)]


def shards_of(items: list[Workspace]) -> set[bytes]:
    return set(render_documents(1, {"workspaces": items}).shards)


ALL = workspaces()
BEFORE = shards_of(ALL)


class TestShards:
    def test_sizes_are_bounded(self):
        assert max(map(len, BEFORE)) < SHARD_MAX_BYTES + 100
        assert sum(map(len, BEFORE)) // SHARD_MAX_BYTES <= len(BEFORE)
        assert len(BEFORE) <= sum(map(len, BEFORE)) // SHARD_MIN_BYTES + 1

    @given(st.integers(0, COUNT - 1))
    def test_a_change_of_one_changes_one_shard(self, index):
        changed = [*ALL]
        changed[index] = changed[index]._replace(weight=2.5)
        assert len(shards_of(changed) - BEFORE) == 1

    @given(st.integers(0, COUNT - 1))
    def test_removing_one_changes_few_shards(self, index):
        fewer = ALL[:index] + ALL[index + 1 :]
        assert len(shards_of(fewer) - BEFORE) <= 3

    def test_too_large_item_is_named(self):
        large = ALL[0]._replace(key_digests=tuple(f"{i:064x}" for i in range(20_000)))
        with pytest.raises(ConfigurationError, match="bytes, allowed in one shard") as caught:
            shards_of([large])
        assert caught.value.path == "workspaces.w00000"
