"""Selects the target to which an entry offers a request next, or refuses the request."""

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

# Codes with which a target refuses a request because it has too much work.
OVERLOAD_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED, ResultCode.DEADLINE_UNREACHABLE)
# Factors by which the expected completion time is multiplied before it is compared with the time
# left to the deadline. A factor below 1 lets requests through that are expected to be late.
TOP_TIER_FACTOR = 0.8
LOWEST_TIER_FACTOR = 1.1
# A load report is fresh below the first age, and stale from the second on.
FRESH_REPORT_S = 0.5
STALE_REPORT_S = 2.0
# Number of targets that may refuse a request for overload before no further target is offered it,
# by the age of the load report of the target that would be next.
MAX_OFFERS_FRESH = 2
MAX_OFFERS_AGEING = 3
MAX_OFFERS_STALE = 4
# Bounds of the retry hint of a request that no target can complete in time.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000


class Choice(NamedTuple):
    """A selected target.

    Attributes
    ----------
    cached_tokens : int
        Length of the request's prefix that is expected to be cached there, in tokens.
    """

    target: Target
    cached_tokens: int


def choose_target(
    entry: Entry, work: Work, tried_names: Collection[str], refusals: int = 0
) -> Choice | None:
    """Return the best target for the next offer of a request.

    Parameters
    ----------
    tried_names : collection of str
        Names of targets that are left out.
    refusals : int
        Number of targets that have refused this request with one of `OVERLOAD_CODES`.

    Returns
    -------
    Choice or None
        None if no usable target is left, or if `max_offers` targets have refused the request.

    Raises
    ------
    RequestError
        `DEADLINE_UNREACHABLE` if no target is expected to complete the request in time, with a
        hint when to retry.
    """
    targets = capable_targets(work, work.configuration)
    if tried_names:
        targets = [target for target in targets if target.name not in tried_names]
    views = entry.view.for_work(work)
    ranked = entry.placement.rank(work, entry.data_centre, targets, views)
    if not ranked:
        return None
    remaining_s = work.deadline_s - entry.clock.now_s()
    candidate = _first_within_deadline(ranked, remaining_s, deadline_factor(work))
    if candidate is None:
        raise _deadline_unreachable(ranked, remaining_s)
    if refusals and refusals >= max_offers(views[candidate.target.name].report_age_s):
        return None
    return Choice(candidate.target, views.cached.get(candidate.target.name, 0))


def max_offers(report_age_s: float) -> int:
    """Return after how many refusals for overload a request is offered to no further target.

    Parameters
    ----------
    report_age_s : float
        Age in seconds of the load report of the target that would be next; infinity if it has
        sent none.

    Notes
    -----
    A target that a fresh report shows as overloaded need not be offered the request. A stale
    report may be wrong, so more targets are offered it.
    """
    if report_age_s < FRESH_REPORT_S:
        return MAX_OFFERS_FRESH
    return MAX_OFFERS_AGEING if report_age_s < STALE_REPORT_S else MAX_OFFERS_STALE


def deadline_factor(work: Work) -> float:
    """Return the factor on the expected completion time for the comparison with the deadline.

    Notes
    -----
    The factor grows from the top tier to the lowest. So where estimates are wrong the lowest tier
    is refused first, and the top tier only if its deadline is far out of reach.
    """
    lowest = max(len(work.configuration.tiers) - 1, 1)
    share = min(work.tier.rank / lowest, 1.0)
    return TOP_TIER_FACTOR + (LOWEST_TIER_FACTOR - TOP_TIER_FACTOR) * share


def _first_within_deadline(
    ranked: list[Candidate], remaining_s: float, factor: float
) -> Candidate | None:
    for candidate in ranked:
        if candidate.finish_s * factor <= remaining_s:
            return candidate
    return None


def _deadline_unreachable(ranked: list[Candidate], remaining_s: float) -> RequestError:
    soonest_s = min(candidate.finish_s for candidate in ranked)
    retry_ms = int((soonest_s - remaining_s) * 1000)
    return RequestError(
        ResultCode.DEADLINE_UNREACHABLE,
        f"expected after {soonest_s:.1f} s, allowed are {max(remaining_s, 0.0):.1f} s",
        min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS),
    )
