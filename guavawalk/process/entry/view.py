"""What an entry believes of each target that it uses."""

from collections.abc import Mapping

from guavawalk.process.clock import Clock
from guavawalk.process.entry.cached import CacheView, create_cache_view
from guavawalk.process.entry.lengths import LengthEstimator, create_length_estimator
from guavawalk.process.entry.quarantine import create_quarantine
from guavawalk.request.expected_cost import is_long
from guavawalk.request.target_view import TargetView
from guavawalk.request.types import LoadReport, Outcome, Work

__all__ = ["FleetView", "WorkViews", "create_fleet_view"]

LEAVING_FOR_S = 30.0
MAX_FULL_S = 5.0
UNSEEN = TargetView(report_age_s=float("inf"))


class TrackedTarget:
    """What is remembered of one target."""

    def __init__(self) -> None:
        self.load = LoadReport()
        self.reported_s = 0.0
        self.leaving_until_s = 0.0
        self.full_until_s = 0.0
        self.full_rank = 0
        self.quarantine = create_quarantine()
        self.own_running = 0
        self.own_long = 0
        self.own_new = 0
        self.own_prompt_tokens = 0
        self.own_output_tokens = 0


class WorkViews:
    """The beliefs about targets as they bear on one request.

    Attributes
    ----------
    cached : mapping of str to int
        Length of the prefix believed cached, for the targets that have one, longest first.
    """

    def __init__(self, fleet: "FleetView", rank: int, cached: Mapping[str, int]) -> None:
        self.cached = cached
        self._rank = rank
        self._fleet = fleet

    def __getitem__(self, name: str) -> TargetView:
        """Return the view of a target."""
        return self._fleet.target_view(name, self._rank, self.cached.get(name, 0))


class FleetView:
    """Beliefs about targets, corrected by every reply of a sidecar."""

    def __init__(self, clock: Clock, cached: CacheView, lengths: LengthEstimator) -> None:
        self.cached = cached
        self.lengths = lengths
        self._clock = clock
        self._targets: dict[str, TrackedTarget] = {}

    def for_work(self, work: Work) -> WorkViews:
        """Return the views of all targets for one request."""
        return WorkViews(self, work.tier.rank, self.cached.cached_tokens(work.prefix_hashes))

    def target_view(self, name: str, rank: int, cached_tokens: int) -> TargetView:
        """Return the view of a target for a request of a tier.

        Parameters
        ----------
        cached_tokens : int
            Length of the request's prefix that is believed cached there.
        """
        tracked = self._targets.get(name)
        if tracked is None:
            return UNSEEN
        now_s = self._clock.now_s()
        free = tracked.leaving_until_s <= now_s
        if tracked.full_until_s > now_s and rank >= tracked.full_rank:
            free = False
        lengths = self.lengths
        return TargetView(
            tracked.load,
            now_s - tracked.reported_s,
            tracked.own_running,
            tracked.own_long,
            tracked.own_new,
            tracked.own_prompt_tokens,
            tracked.own_output_tokens,
            cached_tokens,
            lengths.mean_tokens,
            lengths.remaining_tokens,
            free and tracked.quarantine.admits(now_s, tracked.own_running),
        )

    def cached_elsewhere_tokens(self, name: str, work: Work) -> int:
        """Return the longest prefix that a usable target other than `name` is believed to hold."""
        found = self.cached.cached_tokens(work.prefix_hashes)
        others = (tokens for other, tokens in found.items() if other != name)
        return max(others, default=0)

    def record_offer(self, name: str, work: Work) -> None:
        """Count an attempt of this entry."""
        tracked = self._tracked(name)
        tracked.own_running += 1
        tracked.own_long += is_long(work)
        tracked.own_new += 1
        tracked.own_prompt_tokens += work.prompt_tokens
        tracked.own_output_tokens += work.expected_output_tokens
        self.cached.record_sent(name, work.prefix_hashes)

    def record_offer_end(self, name: str, work: Work) -> None:
        """Count it no more."""
        tracked = self._tracked(name)
        tracked.own_running -= 1
        tracked.own_long -= is_long(work)

    def record_completed(self, name: str, work: Work, outcome: Outcome, cached_tokens: int) -> None:
        """Learn from an answer whose prefix was believed cached for so many tokens."""
        self._tracked(name).quarantine.record_success()
        self.lengths.record(work, outcome.usage.output_tokens)
        self.cached.record_usage(name, cached_tokens, outcome.usage)

    def record_load(self, name: str, load: LoadReport) -> None:
        """Take a fresh report."""
        tracked = self._tracked(name)
        tracked.load = load
        tracked.reported_s = self._clock.now_s()
        tracked.own_new = 0
        tracked.own_prompt_tokens = 0
        tracked.own_output_tokens = 0
        if load.leaving:
            tracked.leaving_until_s = tracked.reported_s + LEAVING_FOR_S

    def record_overload(self, name: str, work: Work, retry_after_ms: int) -> None:
        """Keep requests of this tier and lower ones away for as long as the target asked."""
        tracked = self._tracked(name)
        now_s = self._clock.now_s()
        rank = work.tier.rank
        if tracked.full_until_s > now_s:
            rank = min(rank, tracked.full_rank)
        tracked.full_rank = rank
        tracked.full_until_s = now_s + min(retry_after_ms / 1000, MAX_FULL_S)

    def record_unreachable(self, name: str) -> None:
        """Avoid a target for a while, longer for each failure in a row."""
        self._tracked(name).quarantine.record_failure(self._clock.now_s())

    def record_crash(self, name: str) -> None:
        """Avoid a target that failed, and believe its cache lost."""
        self.record_unreachable(name)
        self.cached.forget_target(name)

    def _tracked(self, name: str) -> TrackedTarget:
        return self._targets.setdefault(name, TrackedTarget())


def create_fleet_view(
    clock: Clock, cached: CacheView | None = None, lengths: LengthEstimator | None = None
) -> FleetView:
    """Create a view that knows nothing yet."""
    return FleetView(clock, cached or create_cache_view(), lengths or create_length_estimator())
