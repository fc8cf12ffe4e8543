"""Advice on configurations that are valid but probably contain a mistake."""

import pytest

from guavawalk.version.authoring import advise, check_draft
from tests.version.authoring.test_draft import add_workspace, small_draft


def advice_after(edit) -> list[str]:
    draft = small_draft()
    edit(draft)
    return list(advise(check_draft(draft)))


def add_far_workspace(draft) -> None:
    sooke = draft.add_data_centre("sooke", region="coast")
    draft.add_crossing(sooke, draft.data_centres["victoria"], delay_ms=3)
    quill = draft.models["quill"]
    add_workspace(draft, models=[quill], data_centres=[sooke], keys=["far"])


class TestAdvice:
    @pytest.mark.parametrize(
        ("edit", "lines"),
        [
            (lambda draft: None, []),
            (
                lambda draft: draft.add_model("brush"),
                ["models.brush: no target holds it, or all that do are leaving"],
            ),
            (
                lambda draft: draft.retire_target("booking-0"),
                ["services.booking: no target serves it, or all that do are leaving"],
            ),
            (
                lambda draft: draft.add_data_centre("sooke", region="coast"),
                ["crossings.sooke-victoria: not defined, so it counts as no delay and no price"],
            ),
            (
                add_workspace,
                [
                    "workspaces.council: it has no API key, so no caller can use it",
                    "workspaces.council: it may use neither a model nor a service",
                ],
            ),
            (
                add_far_workspace,
                ["workspaces.council: no target in its data centres holds model quill"],
            ),
        ],
    )
    def test_each_mistake_gives_its_lines(self, edit, lines):
        assert advice_after(edit) == lines
