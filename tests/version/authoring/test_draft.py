"""Checks of a draft: each error states the path of the field."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring import Draft, check_draft, create_draft, render_draft
from guavawalk.version.build import build_configuration
from guavawalk.version.types import DataCentre, Generation, Model, Tier


def small_draft() -> Draft:
    draft = create_draft()
    tier = draft.add_tier("onsite")
    centre = draft.add_data_centre("victoria", region="coast")
    speeds = {"prefill_tokens_per_s": 4_000, "decode_tokens_per_s": 120, "batch_slots": 8}
    generation = draft.add_generation("gen-a", **speeds)
    model = draft.add_model("quill")
    service = draft.add_service("booking")
    draft.add_engine("engine-0", centre, "10.0.0.1:7000", generation, models=[model])
    draft.add_service_target("booking-0", centre, "10.0.0.2:7000", service)
    draft.add_workspace("harbour", tiers=[tier], models=[model], services=[service], keys=["k"])
    return draft


def add_engine(draft: Draft, name: str = "engine-1", **changes):
    fields = {
        "data_centre": draft.data_centres["victoria"],
        "sidecar": "10.0.0.3:7000",
        "generation": draft.generations["gen-a"],
        "models": [draft.models["quill"]],
        **changes,
    }
    return draft.add_engine(name, **fields)


def add_workspace(draft: Draft, name: str = "council", **changes):
    return draft.add_workspace(name, **{"tiers": [draft.tiers["onsite"]], **changes})


class TestTargets:
    @pytest.mark.parametrize(
        ("changes", "field_path"),
        [
            ({"name": "engine-0"}, "targets.engine-0"),
            ({"name": "engine 1"}, "targets.name"),
            ({"name": "e" * 65}, "targets.name"),
            ({"data_centre": DataCentre("sooke", "coast")}, "targets.engine-1.data_centre"),
            ({"data_centre": "victoria"}, "targets.engine-1.data_centre"),
            ({"data_centre": None}, "targets.engine-1.data_centre"),
            ({"generation": None}, "targets.engine-1.generation"),
            ({"generation": []}, "targets.engine-1.generation"),
            ({"generation": Generation("gen-z", 1, 1, 1)}, "targets.engine-1.generation"),
            ({"models": [Model("brush")]}, "targets.engine-1.models"),
            ({"role": "idle"}, "targets.engine-1.role"),
            ({"sidecar": "10.0.0.1:7000"}, "targets.engine-1.sidecar"),
        ],
    )
    def test_error_for_a_bad_engine_states_the_field(self, changes, field_path):
        with pytest.raises(ConfigurationError) as caught:
            add_engine(small_draft(), **changes)
        assert caught.value.path == field_path

    @pytest.mark.parametrize(
        "address",
        ["", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "host:70", "10.0.0:7", "a:²"],
    )
    def test_malformed_address_is_shown(self, address):
        with pytest.raises(ConfigurationError, match="allowed is IP:port") as caught:
            add_engine(small_draft(), sidecar=address)
        assert caught.value.path == "targets.engine-1.sidecar"

    def test_ipv6_address_is_accepted(self):
        assert add_engine(small_draft(), sidecar="[::1]:7000").sidecar == "[::1]:7000"

    def test_unknown_target_cannot_be_retired(self):
        with pytest.raises(ConfigurationError, match="no such target") as caught:
            small_draft().retire_target("engine-9")
        assert caught.value.path == "targets.engine-9"

    def test_retired_target_is_marked_as_leaving(self):
        draft = small_draft()
        draft.retire_target("engine-0")
        assert check_draft(draft).targets["engine-0"].leaving


class TestCrossings:
    def test_crossing_to_an_unknown_data_centre_is_refused(self):
        draft = small_draft()
        with pytest.raises(ConfigurationError, match="'sooke', which is not defined") as caught:
            other = DataCentre("sooke", "coast")
            draft.add_crossing(draft.data_centres["victoria"], other, delay_ms=3.0)
        assert caught.value.path == "crossings.victoria-sooke"

    def test_only_one_crossing_for_each_pair(self):
        draft = small_draft()
        victoria = draft.data_centres["victoria"]
        sooke = draft.add_data_centre("sooke", region="coast")
        draft.add_crossing(victoria, sooke, delay_ms=3.0)
        with pytest.raises(ConfigurationError, match="one crossing"):
            draft.add_crossing(sooke, victoria, delay_ms=3.0)
        with pytest.raises(ConfigurationError, match="one crossing"):
            draft.add_crossing(sooke, sooke, delay_ms=3.0)


class TestTiers:
    def test_ranks_follow_the_order_of_adding(self):
        draft = create_draft()
        assert [draft.add_tier(name).rank for name in ("onsite", "plan", "tag")] == [0, 1, 2]

    @pytest.mark.parametrize("rank", [0, 2])
    def test_gap_or_duplicate_rank_is_refused(self, rank):
        draft = small_draft()
        draft.add_tier("tag", rank=rank)
        with pytest.raises(ConfigurationError, match=f"found ranks .*{rank}") as caught:
            check_draft(draft)
        assert caught.value.path == "tiers"

    @pytest.mark.parametrize("share", [-0.1, 1.1, float("nan")])
    def test_reserved_share_is_a_fraction(self, share):
        with pytest.raises(ConfigurationError) as caught:
            create_draft().add_tier("onsite", reserved_share=share)
        assert caught.value.path == "tiers.onsite.reserved_share"


class TestWorkspaces:
    @pytest.mark.parametrize(
        ("changes", "field_path"),
        [
            ({"requests_per_s": -1}, "limits.requests_per_s"),
            ({"prompt_tokens_per_s": float("inf")}, "limits.prompt_tokens_per_s"),
            ({"long_requests": -1}, "limits.long_requests"),
            ({"long_requests": True}, "limits.long_requests"),
            ({"weight": 0}, "weight"),
            ({"tiers": []}, "tiers"),
            ({"tiers": [Tier("plan", 1)]}, "tiers"),
            ({"default_tier": Tier("plan", 1)}, "default_tier"),
            ({"models": [Model("brush")]}, "models"),
            ({"key_digests": ["my key"]}, "key_digests"),
            ({"keys": ["k"]}, "keys"),
        ],
    )
    def test_error_for_a_bad_workspace_states_the_field(self, changes, field_path):
        with pytest.raises(ConfigurationError) as caught:
            add_workspace(small_draft(), **changes)
        assert caught.value.path == f"workspaces.council.{field_path}"

    def test_a_key_is_never_shown(self):
        draft = small_draft()
        add_workspace(draft, keys=["sesame"])
        for changes in ({"keys": ["sesame"]}, {"key_digests": ["sesame"]}):
            with pytest.raises(ConfigurationError) as caught:
                add_workspace(draft, "lamplight", **changes)
            assert "sesame" not in str(caught.value)
        assert "sesame" not in repr(draft.workspaces)
        assert b"sesame" not in b"".join(render_draft(draft, 1).shards)


class TestRendering:
    def test_nodes_build_the_items_of_the_draft(self):
        draft = small_draft()
        built = build_configuration(render_draft(draft, 3))
        assert built.stamp.version == 3
        assert built.workspaces == draft.workspaces
        assert built.targets == draft.targets

    def test_documents_do_not_depend_on_the_order_of_adding(self):
        first, second = small_draft(), small_draft()
        for names, draft in ((("a", "b"), first), (("b", "a"), second)):
            for name in names:
                add_workspace(draft, name)
        assert render_draft(first, 1) == render_draft(second, 1)

    def test_version_below_1_is_refused(self):
        with pytest.raises(ConfigurationError, match="found 0, allowed is 1 or more"):
            render_draft(small_draft(), 0)


ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.lists(st.integers(), max_size=2),
    st.builds(object),
)
METHODS = {
    "add_tier": ("name", "deadline_ms", "first_token_ms", "reserved_share", "rank"),
    "add_generation": ("name", "prefill_tokens_per_s", "decode_tokens_per_s", "batch_slots"),
    "add_model": ("name", "context_tokens", "expected_output_tokens"),
    "add_service": ("path", "idempotent_methods", "deadline_ms"),
    "add_engine": ("name", "data_centre", "sidecar", "generation", "adapters", "role"),
    "add_workspace": ("name", "default_tier", "keys", "key_digests", "weight", "long_requests"),
}


def good_arguments(draft: Draft, method: str) -> dict:
    return {
        "add_tier": {"name": "plan"},
        "add_generation": {
            "name": "gen-b",
            "prefill_tokens_per_s": 1,
            "decode_tokens_per_s": 1,
            "batch_slots": 1,
        },
        "add_model": {"name": "brush"},
        "add_service": {"path": "ledger"},
        "add_engine": {
            "name": "engine-1",
            "data_centre": draft.data_centres["victoria"],
            "sidecar": "10.0.0.3:7000",
            "generation": draft.generations["gen-a"],
            "models": [],
        },
        "add_workspace": {"name": "council", "tiers": [draft.tiers["onsite"]]},
    }[method]


class TestOddValues:
    @settings(max_examples=400)
    @given(st.data())
    def test_accepted_values_can_be_rendered(self, data):
        draft = small_draft()
        method = data.draw(st.sampled_from(sorted(METHODS)))
        field = data.draw(st.sampled_from(METHODS[method]))
        arguments = {**good_arguments(draft, method), field: data.draw(ODD)}
        try:
            getattr(draft, method)(**arguments)
        except (ConfigurationError, TypeError):
            return
        try:
            render_draft(draft, 1)
        except ConfigurationError as error:
            assert error.path == "tiers"
