"""Tracks load, reachability, caches and answer lengths of the targets that an entry uses."""

from collections.abc import Mapping

from guavawalk.process.clock import Clock
from guavawalk.process.entry.cached import CacheView, create_cache_view
from guavawalk.process.entry.lengths import LengthEstimator, create_length_estimator
from guavawalk.process.entry.quarantine import create_quarantine
from guavawalk.request.expected_cost import is_long
from guavawalk.request.target_view import TargetView
from guavawalk.request.types import LoadReport, Outcome, Work

__all__ = ["FleetView", "WorkViews", "create_fleet_view"]

# Time for which a target that reported that it is leaving is avoided.
LEAVING_FOR_S = 30.0
# Longest time for which a refusal keeps further requests away.
MAX_OVERLOAD_S = 5.0
UNKNOWN_TARGET = TargetView(report_age_s=float("inf"))


class TrackedTarget:
    """What this entry has recorded about one target; times are in seconds of its clock.

    Attributes
    ----------
    load : LoadReport
        The last load report, received at `reported_at_s`.
    overload_rank : int
        Requests of this tier rank and of lower tiers are kept away until `overloaded_until_s`.
    own_running, own_long : int
        Running attempts of this entry, and the long ones among them.
    own_since_report, own_prompt_tokens, own_output_tokens : int
        Attempts of this entry since the last load report, and their tokens.
    """

    def __init__(self) -> None:
        self.load = LoadReport()
        self.reported_at_s = 0.0
        self.leaving_until_s = 0.0
        self.overloaded_until_s = 0.0
        self.overload_rank = 0
        self.quarantine = create_quarantine()
        self.own_running = 0
        self.own_long = 0
        self.own_since_report = 0
        self.own_prompt_tokens = 0
        self.own_output_tokens = 0


class WorkViews:
    """Views of the targets for one request, by name.

    Attributes
    ----------
    cached : mapping of str to int
        Expected length of the request's cached prefix in tokens, for the targets that have one;
        those with the most cached blocks come first.
    """

    def __init__(self, fleet: "FleetView", rank: int, cached: Mapping[str, int]) -> None:
        self.cached = cached
        self._rank = rank
        self._fleet = fleet

    def __getitem__(self, name: str) -> TargetView:
        """Return the view of a target, also of one without records."""
        return self._fleet.target_view(name, self._rank, self.cached.get(name, 0))


class FleetView:
    """Records about all targets, updated with every reply of a sidecar."""

    def __init__(self, clock: Clock, cached: CacheView, lengths: LengthEstimator) -> None:
        self.cached = cached
        self.lengths = lengths
        self._clock = clock
        self._targets: dict[str, TrackedTarget] = {}

    def for_work(self, work: Work) -> WorkViews:
        """Return the views of all targets for one request."""
        return WorkViews(self, work.tier.rank, self.cached.cached_tokens(work.prefix_hashes))

    def target_view(self, name: str, rank: int, cached_tokens: int) -> TargetView:
        """Return the view of a target for a request.

        Parameters
        ----------
        rank : int
            Rank of the request's tier.
        cached_tokens : int
            Expected length of the request's cached prefix there, in tokens.

        Returns
        -------
        TargetView
            For a target without records, one with an empty load report of infinite age.
        """
        tracked = self._targets.get(name)
        if tracked is None:
            return UNKNOWN_TARGET
        now_s = self._clock.now_s()
        usable = tracked.leaving_until_s <= now_s
        if tracked.overloaded_until_s > now_s and rank >= tracked.overload_rank:
            usable = False
        lengths = self.lengths
        return TargetView(
            tracked.load,
            now_s - tracked.reported_at_s,
            tracked.own_running,
            tracked.own_long,
            tracked.own_since_report,
            tracked.own_prompt_tokens,
            tracked.own_output_tokens,
            cached_tokens,
            lengths.mean_tokens,
            lengths.remaining_tokens,
            usable and tracked.quarantine.admits(now_s, tracked.own_running),
        )

    def cached_elsewhere_tokens(self, name: str, work: Work) -> int:
        """Return the longest prefix expected in the cache of a target other than `name`.

        Returns
        -------
        int
            Tokens; 0 if no other target is expected to have any.
        """
        found = self.cached.cached_tokens(work.prefix_hashes)
        others = (tokens for other, tokens in found.items() if other != name)
        return max(others, default=0)

    def record_offer(self, name: str, work: Work) -> None:
        """Record an attempt of this entry to run a request at a target."""
        tracked = self._tracked(name)
        tracked.own_running += 1
        tracked.own_long += is_long(work)
        tracked.own_since_report += 1
        tracked.own_prompt_tokens += work.prompt_tokens
        tracked.own_output_tokens += work.expected_output_tokens
        self.cached.record_sent(name, work.prefix_hashes)

    def record_offer_end(self, name: str, work: Work) -> None:
        """Record that an attempt of this entry has ended."""
        tracked = self._tracked(name)
        tracked.own_running -= 1
        tracked.own_long -= is_long(work)

    def record_completed(self, name: str, work: Work, outcome: Outcome, cached_tokens: int) -> None:
        """Record a completed answer.

        Parameters
        ----------
        cached_tokens : int
            Length of the cached prefix that was expected when the target was selected, in tokens.
        """
        self._tracked(name).quarantine.record_success()
        self.lengths.record(work, outcome.usage.output_tokens)
        self.cached.record_usage(name, cached_tokens, outcome.usage)

    def record_load(self, name: str, load: LoadReport) -> None:
        """Replace the load report of a target and reset what was counted since the last one."""
        tracked = self._tracked(name)
        tracked.load = load
        tracked.reported_at_s = self._clock.now_s()
        tracked.own_since_report = 0
        tracked.own_prompt_tokens = 0
        tracked.own_output_tokens = 0
        if load.leaving:
            tracked.leaving_until_s = tracked.reported_at_s + LEAVING_FOR_S

    def record_overload(self, name: str, work: Work, retry_after_ms: int) -> None:
        """Keep requests of this tier and lower ones away for `retry_after_ms`.

        Notes
        -----
        The time is bounded by `MAX_OVERLOAD_S`.
        """
        tracked = self._tracked(name)
        now_s = self._clock.now_s()
        rank = work.tier.rank
        if tracked.overloaded_until_s > now_s:
            rank = min(rank, tracked.overload_rank)
        tracked.overload_rank = rank
        tracked.overloaded_until_s = now_s + min(retry_after_ms / 1000, MAX_OVERLOAD_S)

    def record_unreachable(self, name: str) -> None:
        """Quarantine a target, longer after each failure in a row."""
        self._tracked(name).quarantine.record_failure(self._clock.now_s())

    def record_crash(self, name: str) -> None:
        """Quarantine a target that crashed and drop its expected cache."""
        self.record_unreachable(name)
        self.cached.forget_target(name)

    def _tracked(self, name: str) -> TrackedTarget:
        return self._targets.setdefault(name, TrackedTarget())


def create_fleet_view(
    clock: Clock, cached: CacheView | None = None, lengths: LengthEstimator | None = None
) -> FleetView:
    """Create a view without records about any target."""
    return FleetView(clock, cached or create_cache_view(), lengths or create_length_estimator())
