"""Keeps histograms of request measures by workspace and tier, in bounded memory.

The busiest pairs of workspace and tier have histograms of their own; all others share one set for
each tier.
"""

import math
from bisect import bisect_left
from collections.abc import Collection, Iterator
from enum import StrEnum
from functools import cache
from itertools import accumulate
from operator import mul
from typing import NamedTuple, Protocol

from hdrh.histogram import HdrHistogram

from guavawalk.process.observe.heaviest import create_heaviest_keys

__all__ = [
    "HistogramKey",
    "HistogramSummary",
    "Histograms",
    "Measure",
    "create_histograms",
    "create_null_histograms",
]

# Pairs of workspace and tier with histograms of their own.
TOP_KEYS = 64
# Further pairs whose requests are counted, so that they may be promoted.
CANDIDATE_KEYS = 256
# A candidate replaces the least busy pair of those with histograms of their own once it has had at
# least this many times as many requests.
PROMOTION_FACTOR = 2
# The counts of requests are halved each time that this many requests have been counted, so that
# recent ones count more.
HALVE_AFTER_REQUESTS = 4_096

# Values are recorded in tenths of the unit with two significant digits, so within 1 %. The largest
# value is an hour in milliseconds; larger ones are clamped to it.
TICKS_PER_UNIT = 10
MAX_TICKS = 36_000_000
DIGITS = 2
COUNTER_BYTES = 4


class Measure(StrEnum):
    """A measured property of requests; each value ends with the unit."""

    QUEUE = "queue_ms"
    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    WHOLE = "whole_ms"
    WASTED = "wasted_prompt_tokens"


class HistogramKey(NamedTuple):
    """Workspace and tier of requests.

    An empty workspace stands for all that have no histograms of their own.
    """

    workspace: str
    tier: str


class HistogramSummary(NamedTuple):
    """Statistics of one histogram; all but `count` are in the unit of the measure."""

    key: HistogramKey
    measure: Measure
    count: int
    mean: float
    p50: float
    p95: float
    p99: float
    highest: float


class Histograms(Protocol):
    """Recorder of request measures."""

    def record_request(self, workspace: str, tier: str) -> None:
        """Count a request; the counts determine which keys have histograms of their own."""
        ...

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Record a value `count` times, in the unit of the measure."""
        ...

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Yield the statistics of all histograms, or only of some workspaces.

        Parameters
        ----------
        workspaces : collection of str, optional
            Workspaces to include, without the shared histograms; None for all.
        """
        ...


class HistogramGroup:
    """The histograms of one key, each created when its measure is first recorded.

    Attributes
    ----------
    requests : int
        Requests of the key. `BoundedHistograms` halves the counts of keys with histograms of their
        own.
    by_measure : dict of Measure to HdrHistogram
        Histograms of the measures recorded, in ticks.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.by_measure: dict[Measure, HdrHistogram] = {}

    def record(self, measure: Measure, value: float, count: int) -> None:
        """Record a value `count` times; values out of range are clamped."""
        ticks = min(max(round(value * TICKS_PER_UNIT), 0), MAX_TICKS)
        self.histogram_of(measure).record_value(ticks, count)

    def histogram_of(self, measure: Measure) -> HdrHistogram:
        """Return the histogram of a measure; create it if there is none."""
        histogram = self.by_measure.get(measure)
        if histogram is None:
            histogram = self.by_measure[measure] = _create_histogram()
        return histogram

    def add(self, other: "HistogramGroup") -> None:
        """Add the requests and values recorded by another group."""
        self.requests += other.requests
        for measure, histogram in other.by_measure.items():
            self.histogram_of(measure).add(histogram)


class BoundedHistograms:
    """Histograms of the busiest keys, and shared ones for all other keys of each tier."""

    def __init__(self, top_keys: int) -> None:
        self._top_keys = top_keys
        self._top: dict[HistogramKey, HistogramGroup] = {}
        self._shared: dict[str, HistogramGroup] = {}
        self._candidates = create_heaviest_keys(CANDIDATE_KEYS)
        self._requests = 0

    def record_request(self, workspace: str, tier: str) -> None:
        """Count a request, and promote its key if that has become busy enough.

        A promoted key replaces the least busy one, whose histograms are added to the shared ones.
        """
        self._requests += 1
        if self._requests % HALVE_AFTER_REQUESTS == 0:
            self._halve()
        key = HistogramKey(workspace, tier)
        group = self._own_group(key)
        if group is not None:
            group.requests += 1
            return
        self._shared_group(tier).requests += 1
        self._promote_if_busier(key, self._candidates.add(key))

    def _own_group(self, key: HistogramKey) -> HistogramGroup | None:
        group = self._top.get(key)
        if group is None and len(self._top) < self._top_keys:
            group = self._top[key] = HistogramGroup()
        return group

    def _promote_if_busier(self, key: HistogramKey, count: int) -> None:
        least_busy = min(self._top, key=lambda top_key: self._top[top_key].requests)
        if count < PROMOTION_FACTOR * (self._top[least_busy].requests + 1):
            return
        self._shared_group(least_busy.tier).add(self._top.pop(least_busy))
        self._candidates.remove(key)
        group = self._top[key] = HistogramGroup()
        group.requests = count

    def _halve(self) -> None:
        self._candidates.halve()
        for group in self._top.values():
            group.requests //= 2

    def _shared_group(self, tier: str) -> HistogramGroup:
        return self._shared.setdefault(tier, HistogramGroup())

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Record a value with the key's own histograms, or with the shared ones of its tier."""
        group = self._own_group(HistogramKey(workspace, tier)) or self._shared_group(tier)
        group.record(measure, value, count)

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Yield statistics by workspace and tier, the shared histograms last."""
        for key, group in sorted(self._top.items()):
            if workspaces is None or key.workspace in workspaces:
                yield from _summaries(key, group)
        if workspaces is None:
            for tier, group in sorted(self._shared.items()):
                yield from _summaries(HistogramKey("", tier), group)


def _summaries(key: HistogramKey, group: HistogramGroup) -> Iterator[HistogramSummary]:
    for measure in Measure:
        if measure in group.by_measure:
            yield _summary(key, measure, group.by_measure[measure])


def _summary(key: HistogramKey, measure: Measure, histogram: HdrHistogram) -> HistogramSummary:
    # The library's percentiles iterate over all counters in Python, once for each percentile. Here
    # one pass serves all of them.
    first = histogram.get_counts_array_index(histogram.get_min_value())
    last = histogram.get_counts_array_index(histogram.get_max_value())
    counts = histogram.counts[first : last + 1]
    cumulative = list(accumulate(counts))
    values = _highest_values()[first : last + 1]

    def percentile(share: float) -> float:
        index = bisect_left(cumulative, max(math.ceil(share * cumulative[-1]), 1))
        return values[index] / TICKS_PER_UNIT

    mean = sum(map(mul, counts, values)) / cumulative[-1] / TICKS_PER_UNIT
    highest = histogram.get_max_value() / TICKS_PER_UNIT
    return HistogramSummary(
        key,
        measure,
        cumulative[-1],
        round(mean, 1),
        percentile(0.5),
        percentile(0.95),
        percentile(0.99),
        highest,
    )


@cache
def _highest_values() -> tuple[int, ...]:
    # The largest value, in ticks, that each counter of a histogram counts, by its index.
    histogram = _create_histogram()
    indexes = range(histogram.counts_len)
    lowest = map(histogram.get_value_from_index, indexes)
    return tuple(histogram.get_highest_equivalent_value(value) for value in lowest)


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TICKS, DIGITS, word_size=COUNTER_BYTES)


class NullHistograms:
    """Histograms that record nothing."""

    def record_request(self, workspace: str, tier: str) -> None:
        """Do nothing."""

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Drop the value."""

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Yield nothing."""
        return iter(())


def create_histograms(top_keys: int = TOP_KEYS) -> Histograms:
    """Create histograms; the busiest `top_keys` pairs of workspace and tier have their own."""
    return BoundedHistograms(top_keys)


def create_null_histograms() -> Histograms:
    """Create histograms that record nothing."""
    return NullHistograms()
