"""Full and incremental builds of versions, and their activation."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavawalk.exception import ConfigurationError
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.version.active import ActivationResult, create_active_version
from guavawalk.version.build import build_version
from guavawalk.version.documents import digest_bytes
from guavawalk.version.publish import render_documents
from guavawalk.version.shards import SIDECAR_KINDS
from guavawalk.version.types import Model, Workspace, WorkspaceLimits

PLAN = kestrel_lane_plan()
ADDRESSES = {target.name: f"10.0.0.{i}:7" for i, target in enumerate(PLAN.targets)}
PARTS = plan_parts(PLAN, ADDRESSES)


def workspace(number: int, weight: float = 1.0, model: str = "quill") -> Workspace:
    name = f"workspace-{number:05}"
    return Workspace(
        name,
        (digest_bytes(name.encode()),),
        ("onsite", "plan"),
        "plan",
        models=(model,),
        weight=weight,
        limits=WorkspaceLimits(requests_per_s=10.0),
    )


def documents(version: int, numbers, weight: float = 1.0, models=("quill",)):
    workspaces = [workspace(n, weight if n % 97 == 0 else 1.0) for n in numbers]
    parts = {**PARTS, "models": [Model(name) for name in models], "workspaces": workspaces}
    return render_documents(version, parts)


class TestSharding:
    def test_a_new_item_changes_few_shards(self):
        before = documents(1, range(0, 6000, 2))
        after = documents(2, [*range(0, 3000, 2), 3001, *range(3002, 6000, 2)])
        fresh = set(after.shards) - set(before.shards)
        assert len(after.shards) > 10
        assert len(fresh) <= 2


class TestIncrementalBuild:
    @settings(max_examples=15)
    @given(
        st.lists(
            st.tuples(
                st.sets(st.integers(0, 1500), max_size=8),
                st.floats(0.5, 2.0),
                st.sampled_from([("quill",), ("quill", "brush")]),
            ),
            min_size=1,
            max_size=5,
        )
    )
    def test_incremental_build_equals_a_full_build(self, changes):
        removed: set[int] = set()
        previous_builds = dict.fromkeys((SIDECAR_KINDS, SIDECAR_KINDS | {"workspaces"}))
        for version, (toggled, weight, models) in enumerate(changes, 1):
            removed ^= toggled
            numbers = [n for n in range(1500) if n not in removed]
            published = documents(version, numbers, weight, models)
            for kinds, previous in previous_builds.items():
                previous_builds[kinds] = build_version(published, previous, kinds)
                assert (
                    previous_builds[kinds].configuration
                    == build_version(published, None, kinds).configuration
                )

    def test_removing_a_model_in_use_is_refused(self):
        first = build_version(documents(1, range(900)))
        with pytest.raises(ConfigurationError, match="not defined"):
            build_version(documents(2, range(900), models=("brush",)), first)

    def test_a_sidecar_refuses_the_same_versions_as_an_entry(self):
        first = build_version(documents(1, range(900)), None, SIDECAR_KINDS)
        assert not first.configuration.workspaces
        with pytest.raises(ConfigurationError, match="not defined"):
            bad = {**PARTS, "workspaces": [workspace(1, model="brush")]}
            build_version(render_documents(2, bad), first, SIDECAR_KINDS)

    def test_a_key_in_two_shards_is_refused(self):
        twin = workspace(1)._replace(name="workspace-99999")
        parts = {**PARTS, "workspaces": [*map(workspace, range(2000)), twin]}
        with pytest.raises(
            ConfigurationError, match="the key also belongs to workspace workspace-00001"
        ):
            build_version(render_documents(1, parts))


class TestActiveVersion:
    def test_a_version_that_cannot_be_built_is_remembered(self):
        active = create_active_version()
        active.activate(documents(1, range(3)))
        bad = documents(2, range(3), models=("brush",))
        with pytest.raises(ConfigurationError):
            active.activate(bad)
        assert active.stamp.version == 1
        assert active.evaluate(bad.stamp) is ActivationResult.REFUSED
        assert active.activate(documents(3, range(3))) is ActivationResult.IN_FORCE

    def test_only_newer_versions_are_activated(self):
        active = create_active_version()
        assert active.activate(documents(2, range(3))) is ActivationResult.IN_FORCE
        assert active.activate(documents(1, range(3))) is ActivationResult.OLDER
        assert active.activate(documents(2, range(3))) is ActivationResult.SAME
        assert active.activate(documents(2, range(4))) is ActivationResult.CONFLICT
        assert active.stamp == documents(2, range(3)).stamp

    @pytest.mark.parametrize("cut", [0, 10, 200])
    def test_truncated_shard_keeps_the_active_version(self, cut):
        active = create_active_version()
        active.activate(documents(1, range(3)))
        second = documents(2, range(4))
        broken = second._replace(shards=(*second.shards[:-1], second.shards[-1][:cut]))
        with pytest.raises(ConfigurationError):
            active.activate(broken)
        assert active.stamp.version == 1
        assert active.activate(second) is ActivationResult.IN_FORCE
