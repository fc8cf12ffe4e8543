"""State of targets as an entry knows it when it places a request."""

from collections.abc import Mapping
from typing import NamedTuple

from guavawalk.request.types import LoadReport

__all__ = ["StaticViews", "TargetView"]


class TargetView(NamedTuple):
    """State of one target as an entry knows it, for one request.

    Attributes
    ----------
    load : LoadReport
        The target's last report.
    report_age_s : float
        Time since that report, in seconds; infinity before the first one.
    own_running, own_long : int
        Attempts that this entry has at the target, and how many of them are long.
    own_since_report : int
        Attempts that this entry has offered since the report.
    own_prompt_tokens, own_output_tokens : int
        Prompt tokens and expected output tokens of the attempts since the report.
    cached_tokens : int
        Length in tokens of the request's longest prefix expected in the target's cache.
    mean_output_tokens, remaining_tokens : float
        Expected length of any answer, and of the rest of a running one, in tokens; 0 before the
        first answer.
    usable : bool
        False while the target is leaving, has no room for the request's tier, is quarantined or
        can't be reached.
    """

    load: LoadReport = LoadReport()
    report_age_s: float = 0.0
    own_running: int = 0
    own_long: int = 0
    own_since_report: int = 0
    own_prompt_tokens: int = 0
    own_output_tokens: int = 0
    cached_tokens: int = 0
    mean_output_tokens: float = 0.0
    remaining_tokens: float = 0.0
    usable: bool = True


class StaticViews(NamedTuple):
    """Fixed views of targets by name; for tools, explanations and tests."""

    views: Mapping[str, TargetView]
    cached: Mapping[str, int] = {}

    def __getitem__(self, name: str) -> TargetView:
        """Return the view of a target; KeyError for an unknown name."""
        return self.views[name]
