"""What an entry believes of one target when it chooses."""

from collections.abc import Mapping
from typing import NamedTuple

from guavawalk.request.types import LoadReport

__all__ = ["StaticViews", "TargetView"]


class TargetView(NamedTuple):
    """What an entry believes of one target.

    Attributes
    ----------
    load : LoadReport
        The last report.
    report_age_s : float
        How old it is.
    own_running, own_long : int
        Attempts that this entry has there now, and the long ones of them.
    own_since_report : int
        Attempts that this entry has offered since the report.
    own_prompt_tokens, own_output_tokens : int
        Their tokens.
    cached_tokens : int
        Longest prefix of this request believed cached there.
    mean_output_tokens, remaining_tokens : float
        Expected length of any answer, and of the rest of one that runs.
    usable : bool
        False while it leaves, is quarantined or can't be reached.
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
    """Views that do not change."""

    views: Mapping[str, TargetView]
    cached: Mapping[str, int] = {}

    def __getitem__(self, name: str) -> TargetView:
        """Return the view of a target."""
        return self.views[name]
