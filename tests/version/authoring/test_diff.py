"""Descriptions of the differences between two configurations."""

from guavawalk.version.authoring import check_draft, describe_changes
from tests.version.authoring.test_draft import add_engine, add_workspace, small_draft


def changes_after(edit) -> list[str]:
    old, new = small_draft(), small_draft()
    edit(new)
    return [str(change) for change in describe_changes(check_draft(old), check_draft(new))]


class TestChanges:
    def test_no_changes_between_equal_configurations(self):
        assert changes_after(lambda draft: None) == []

    def test_new_workspace_affects_itself(self):
        assert changes_after(add_workspace) == [
            "workspace council: is new; concerns workspace council"
        ]

    def test_new_engine_affects_the_workspaces_that_may_use_it(self):
        assert changes_after(add_engine) == [
            "target engine-1: is new; concerns workspace harbour",
            "model quill: served by 2 targets instead of 1; concerns workspace harbour",
        ]

    def test_leaving_target_no_longer_counts_as_serving(self):
        assert changes_after(lambda draft: draft.retire_target("engine-0")) == [
            "target engine-0: leaving from no to yes; concerns workspace harbour",
            "model quill: served by 0 targets instead of 1; concerns workspace harbour",
        ]

    def test_changed_fields_are_shown_with_old_and_new_values(self):
        def edit(draft):
            owner = draft.workspaces["harbour"]
            limits = owner.limits._replace(requests_per_s=5.0)
            draft.workspaces["harbour"] = owner._replace(limits=limits)
            draft.tiers["onsite"] = draft.tiers["onsite"]._replace(deadline_ms=9_000)

        assert changes_after(edit) == [
            "tier onsite: deadline_ms from 60000 to 9000; concerns workspace harbour",
            "workspace harbour: requests_per_s from 0.0 to 5.0; concerns workspace harbour",
        ]

    def test_keys_are_counted_and_not_shown(self):
        def edit(draft):
            owner = draft.workspaces["harbour"]
            draft.workspaces["harbour"] = owner._replace(key_digests=("a" * 64, "b" * 64))

        (change,) = changes_after(edit)
        assert "2 API keys added, 1 withdrawn" in change
        assert "aaaa" not in change

    def test_item_that_no_workspace_uses_affects_none(self):
        assert changes_after(lambda draft: draft.add_model("brush")) == [
            "model brush: is new; concerns no workspace"
        ]
