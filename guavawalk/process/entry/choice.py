"""An entry's choice of the target to ask next, or the refusal to ask any."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING, NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.placement import Candidate, capable_targets
from guavawalk.request.types import Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["OVERLOAD_CODES", "Choice", "choose_target", "deadline_factor", "max_offers"]

OVERLOAD_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED, ResultCode.DEADLINE_UNREACHABLE)
TOP_TIER_FACTOR = 0.8
LOWEST_TIER_FACTOR = 1.1
FRESH_S = 0.5
STALE_S = 2.0
ASKS_FRESH = 2
ASKS_BETWEEN = 3
ASKS_STALE = 4
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000


class Choice(NamedTuple):
    """A target, and the prefix believed cached there."""

    target: Target
    cached_tokens: int


def choose_target(
    entry: Entry, work: Work, tried_names: Collection[str], refusals: int = 0
) -> Choice | None:
    """Return the best target not yet tried; None if there is none that is worth asking.

    Parameters
    ----------
    refusals : int
        How many targets have said that they are too full for this request.

    Raises
    ------
    RequestError
        `DEADLINE_UNREACHABLE` if no target is expected to end the work in time.
    """
    targets = capable_targets(work, work.configuration)
    if tried_names:
        targets = [target for target in targets if target.name not in tried_names]
    views = entry.view.for_work(work)
    ranked = entry.placement.rank(work, entry.data_centre, targets, views)
    if not ranked:
        return None
    remaining_s = work.deadline_s - entry.clock.now_s()
    timely = _first_in_time(ranked, remaining_s, deadline_factor(work))
    if timely is None:
        raise _unreachable(ranked, remaining_s)
    if refusals and refusals >= max_offers(views[timely.target.name].report_age_s):
        return None
    return Choice(timely.target, views.cached.get(timely.target.name, 0))


def max_offers(report_age_s: float) -> int:
    """Return how many targets may be asked, the next one's report being so old.

    Notes
    -----
    What fresh reports show as full need not be asked; a stale one may be wrong.
    """
    if report_age_s < FRESH_S:
        return ASKS_FRESH
    return ASKS_BETWEEN if report_age_s < STALE_S else ASKS_STALE


def deadline_factor(work: Work) -> float:
    """Return the part of its expected time that must fit before the deadline.

    Notes
    -----
    The lower the tier, the larger the part; so where estimates are wrong the lowest tier is
    refused first, and the top tier only when it is far from possible.
    """
    lowest = max(len(work.configuration.tiers) - 1, 1)
    share = min(work.tier.rank / lowest, 1.0)
    return TOP_TIER_FACTOR + (LOWEST_TIER_FACTOR - TOP_TIER_FACTOR) * share


def _first_in_time(ranked: list[Candidate], remaining_s: float, margin: float) -> Candidate | None:
    for candidate in ranked:
        if candidate.finish_s * margin <= remaining_s:
            return candidate
    return None


def _unreachable(ranked: list[Candidate], remaining_s: float) -> RequestError:
    soonest_s = min(candidate.finish_s for candidate in ranked)
    retry_ms = int((soonest_s - remaining_s) * 1000)
    return RequestError(
        ResultCode.DEADLINE_UNREACHABLE,
        f"expected after {soonest_s:.1f} s, allowed are {max(remaining_s, 0.0):.1f} s",
        min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS),
    )
