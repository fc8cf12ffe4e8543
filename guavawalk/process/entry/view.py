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


class TargetBelief:
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
        return self._fleet.of(name, self._rank, self.cached.get(name, 0))


class FleetView:
    """Beliefs about targets, corrected by every reply of a sidecar."""

    def __init__(self, clock: Clock, cached: CacheView, lengths: LengthEstimator) -> None:
        self.cached = cached
        self.lengths = lengths
        self._clock = clock
        self._beliefs: dict[str, TargetBelief] = {}

    def for_work(self, work: Work) -> WorkViews:
        """Return the views of all targets for one request."""
        return WorkViews(self, work.tier.rank, self.cached.cached_tokens(work.prefix_hashes))

    def of(self, name: str, rank: int, cached_tokens: int) -> TargetView:
        """Return the view of a target for a request of a tier.

        Parameters
        ----------
        cached_tokens : int
            Length of the request's prefix that is believed cached there.
        """
        belief = self._beliefs.get(name)
        if belief is None:
            return UNSEEN
        now_s = self._clock.now_s()
        free = belief.leaving_until_s <= now_s
        if belief.full_until_s > now_s and rank >= belief.full_rank:
            free = False
        lengths = self.lengths
        return TargetView(
            belief.load,
            now_s - belief.reported_s,
            belief.own_running,
            belief.own_long,
            belief.own_new,
            belief.own_prompt_tokens,
            belief.own_output_tokens,
            cached_tokens,
            lengths.mean_tokens,
            lengths.remaining_tokens,
            free and belief.quarantine.admits(now_s, belief.own_running),
        )

    def cached_elsewhere_tokens(self, name: str, work: Work) -> int:
        """Return the longest prefix that a usable target other than `name` is believed to hold."""
        found = self.cached.cached_tokens(work.prefix_hashes)
        others = (tokens for other, tokens in found.items() if other != name)
        return max(others, default=0)

    def note_offer(self, name: str, work: Work) -> None:
        """Count an attempt of this entry."""
        belief = self._belief(name)
        belief.own_running += 1
        belief.own_long += is_long(work)
        belief.own_new += 1
        belief.own_prompt_tokens += work.prompt_tokens
        belief.own_output_tokens += work.expected_output_tokens
        self.cached.note_sent(name, work.prefix_hashes)

    def note_end(self, name: str, work: Work) -> None:
        """Count it no more."""
        belief = self._belief(name)
        belief.own_running -= 1
        belief.own_long -= is_long(work)

    def note_completed(self, name: str, work: Work, outcome: Outcome, cached_tokens: int) -> None:
        """Learn from an answer whose prefix was believed cached for so many tokens."""
        self._belief(name).quarantine.note_success()
        self.lengths.note(work, outcome.usage.output_tokens)
        self.cached.note_usage(name, cached_tokens, outcome.usage)

    def note_load(self, name: str, load: LoadReport) -> None:
        """Take a fresh report."""
        belief = self._belief(name)
        belief.load = load
        belief.reported_s = self._clock.now_s()
        belief.own_new = 0
        belief.own_prompt_tokens = 0
        belief.own_output_tokens = 0
        if load.leaving:
            belief.leaving_until_s = belief.reported_s + LEAVING_FOR_S

    def note_full(self, name: str, work: Work, retry_after_ms: int) -> None:
        """Keep requests of this tier and lower ones away for as long as the target asked."""
        belief = self._belief(name)
        now_s = self._clock.now_s()
        rank = work.tier.rank
        if belief.full_until_s > now_s:
            rank = min(rank, belief.full_rank)
        belief.full_rank = rank
        belief.full_until_s = now_s + min(retry_after_ms / 1000, MAX_FULL_S)

    def note_unreachable(self, name: str) -> None:
        """Avoid a target for a while, longer for each failure in a row."""
        self._belief(name).quarantine.note_failure(self._clock.now_s())

    def note_crash(self, name: str) -> None:
        """Avoid a target that failed, and believe its cache lost."""
        self.note_unreachable(name)
        self.cached.forget_target(name)

    def _belief(self, name: str) -> TargetBelief:
        return self._beliefs.setdefault(name, TargetBelief())


def create_fleet_view(
    clock: Clock, cached: CacheView | None = None, lengths: LengthEstimator | None = None
) -> FleetView:
    """Create a view that knows nothing yet."""
    return FleetView(clock, cached or create_cache_view(), lengths or create_length_estimator())
