"""Explanations of a placement match the order of the policy, and state the reasons."""

import pytest

from guavawalk.request.explain import explain_placement
from guavawalk.request.placement import capable_targets, create_least_reported_load
from guavawalk.request.policies import PLACEMENTS, create_placement
from guavawalk.tools.commands.config import request_of
from guavawalk.version.authoring import check_draft
from tests.version.authoring.test_draft import add_engine, small_draft


def reasons(draft, local_data_centre: str = "victoria", **changes) -> dict[str, str]:
    work = request_of(check_draft(draft), "harbour", "", "quill", "")._replace(**changes)
    rows = explain_placement(work, local_data_centre, create_least_reported_load())
    capable = {target.name for target in capable_targets(work, work.configuration)}
    assert {row.target for row in rows if row.order} == capable
    assert {row.target for row in rows} == set(work.configuration.targets)
    return {row.target: row.reason for row in rows}


class TestExplanation:
    @pytest.mark.parametrize("policy", PLACEMENTS)
    def test_every_policy_can_be_explained(self, policy):
        work = request_of(check_draft(small_draft()), "harbour", "", "quill", "")
        first, *others = explain_placement(work, "victoria", create_placement(policy, 1))
        assert (first.target, first.order) == ("engine-0", 1)
        assert [row.order for row in others] == [0]

    def test_reason_states_the_speed_of_a_capable_target(self):
        reason_of = reasons(small_draft(), prompt_tokens=4_000, expected_output_tokens=120)
        assert "in victoria, the entry's data centre" in reason_of["engine-0"]
        assert "gen-a: prefill 1000 ms, answer 1000 ms" in reason_of["engine-0"]
        assert reason_of["booking-0"] == "does not hold model 'quill'"

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"role": "prefill"}, "only fills caches"),
            ({"models": []}, "does not hold model 'quill'"),
        ],
    )
    def test_reason_states_why_a_target_is_excluded(self, changes, reason):
        draft = small_draft()
        add_engine(draft, **changes)
        assert reason in reasons(draft)["engine-1"]

    def test_leaving_target_is_excluded_with_that_reason(self):
        draft = small_draft()
        draft.retire_target("engine-0")
        assert reasons(draft)["engine-0"] == "is leaving"

    def test_target_without_the_adapter_is_excluded(self):
        assert "does not hold adapter 'gilt'" in reasons(small_draft(), adapter="gilt")["engine-0"]

    def test_target_outside_the_workspaces_data_centres_is_excluded(self):
        draft = small_draft()
        draft.add_data_centre("sooke", region="coast")
        owner = draft.workspaces["harbour"]
        draft.workspaces["harbour"] = owner._replace(data_centres=("sooke",))
        assert "not among the workspace's data centres" in reasons(draft)["engine-0"]

    def test_reason_states_the_crossing(self):
        draft = small_draft()
        sooke = draft.add_data_centre("sooke", region="coast")
        assert "no crossing from sooke" in reasons(draft, "sooke")["engine-0"]
        draft.add_crossing(sooke, draft.data_centres["victoria"], delay_ms=4, price=2)
        assert "4 ms from sooke at price 2" in reasons(draft, "sooke")["engine-0"]
