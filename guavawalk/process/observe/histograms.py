"""Histograms for each workspace and tier, for the busiest ones, and for the rest together."""

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

TOP_KEYS = 64
CANDIDATE_KEYS = 256
PROMOTION_FACTOR = 2
HALVE_AFTER_REQUESTS = 4_096

# A value is kept in tenths, to two digits: within 1 %, up to an hour in ms.
TICKS_PER_UNIT = 10
MAX_TICKS = 36_000_000
DIGITS = 2
COUNTER_BYTES = 4


class Measure(StrEnum):
    """What is measured of requests."""

    QUEUE = "queue_ms"
    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    WHOLE = "whole_ms"
    WASTED = "wasted_prompt_tokens"


class HistogramKey(NamedTuple):
    """Whose requests; an empty workspace stands for all that have no histogram of their own."""

    workspace: str
    tier: str


class HistogramSummary(NamedTuple):
    """Figures of one histogram, in the measure's unit."""

    key: HistogramKey
    measure: Measure
    count: int
    mean: float
    p50: float
    p95: float
    p99: float
    highest: float


class Histograms(Protocol):
    """Where measures of requests go."""

    def record_request(self, workspace: str, tier: str) -> None:
        """Count a request, which decides whose histograms are kept apart."""
        ...

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Record a value, `count` times."""
        ...

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Give the figures of all, or of some workspaces without the rest."""
        ...


class Series:
    """Histograms of one key, each made when it is first needed."""

    def __init__(self) -> None:
        self.requests = 0
        self.by_measure: dict[Measure, HdrHistogram] = {}

    def record(self, measure: Measure, value: float, count: int) -> None:
        """Record a value."""
        ticks = min(max(round(value * TICKS_PER_UNIT), 0), MAX_TICKS)
        self.of(measure).record_value(ticks, count)

    def of(self, measure: Measure) -> HdrHistogram:
        """Return the histogram of a measure."""
        found = self.by_measure.get(measure)
        if found is None:
            found = self.by_measure[measure] = _create_histogram()
        return found

    def add(self, other: "Series") -> None:
        """Take in what another has recorded."""
        self.requests += other.requests
        for measure, histogram in other.by_measure.items():
            self.of(measure).add(histogram)


class BoundedHistograms:
    """Histograms of the busiest keys, and one for the rest of each tier."""

    def __init__(self, top_keys: int) -> None:
        self._top_keys = top_keys
        self._top: dict[HistogramKey, Series] = {}
        self._rest: dict[str, Series] = {}
        self._candidates = create_heaviest_keys(CANDIDATE_KEYS)
        self._requests = 0

    def record_request(self, workspace: str, tier: str) -> None:
        """Count a request; a key that has become busier than one held takes its place."""
        self._requests += 1
        if self._requests % HALVE_AFTER_REQUESTS == 0:
            self._halve()
        key = HistogramKey(workspace, tier)
        series = self._held(key)
        if series is not None:
            series.requests += 1
            return
        self._rest_of(tier).requests += 1
        self._consider(key, self._candidates.add(key))

    def _held(self, key: HistogramKey) -> Series | None:
        series = self._top.get(key)
        if series is None and len(self._top) < self._top_keys:
            series = self._top[key] = Series()
        return series

    def _consider(self, key: HistogramKey, count: int) -> None:
        least = min(self._top, key=lambda held: self._top[held].requests)
        if count < PROMOTION_FACTOR * (self._top[least].requests + 1):
            return
        self._rest_of(least.tier).add(self._top.pop(least))
        self._candidates.forget(key)
        series = self._top[key] = Series()
        series.requests = count

    def _halve(self) -> None:
        self._candidates.halve()
        for series in self._top.values():
            series.requests //= 2

    def _rest_of(self, tier: str) -> Series:
        return self._rest.setdefault(tier, Series())

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Record a value with its key, or with the rest of its tier."""
        series = self._held(HistogramKey(workspace, tier)) or self._rest_of(tier)
        series.record(measure, value, count)

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Give the figures by workspace and tier, the rest of each tier last."""
        for key, series in sorted(self._top.items()):
            if workspaces is None or key.workspace in workspaces:
                yield from _summaries(key, series)
        if workspaces is None:
            for tier, series in sorted(self._rest.items()):
                yield from _summaries(HistogramKey("", tier), series)


def _summaries(key: HistogramKey, series: Series) -> Iterator[HistogramSummary]:
    for measure in Measure:
        if measure in series.by_measure:
            yield _summary(key, measure, series.by_measure[measure])


def _summary(key: HistogramKey, measure: Measure, histogram: HdrHistogram) -> HistogramSummary:
    # The library's own percentiles walk the counters in Python, one walk for each.
    first = histogram.get_counts_array_index(histogram.get_min_value())
    last = histogram.get_counts_array_index(histogram.get_max_value())
    counts = histogram.counts[first : last + 1]
    reached = list(accumulate(counts))
    values = _highest_values()[first : last + 1]

    def at(share: float) -> float:
        index = bisect_left(reached, max(math.ceil(share * reached[-1]), 1))
        return values[index] / TICKS_PER_UNIT

    mean = sum(map(mul, counts, values)) / reached[-1] / TICKS_PER_UNIT
    highest = histogram.get_max_value() / TICKS_PER_UNIT
    return HistogramSummary(
        key, measure, reached[-1], round(mean, 1), at(0.5), at(0.95), at(0.99), highest
    )


@cache
def _highest_values() -> tuple[int, ...]:
    histogram = _create_histogram()
    indexes = range(histogram.counts_len)
    lowest = map(histogram.get_value_from_index, indexes)
    return tuple(histogram.get_highest_equivalent_value(value) for value in lowest)


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TICKS, DIGITS, word_size=COUNTER_BYTES)


class NullHistograms:
    """Nowhere."""

    def record_request(self, workspace: str, tier: str) -> None:
        """Do nothing."""

    def record(
        self, workspace: str, tier: str, measure: Measure, value: float, count: int = 1
    ) -> None:
        """Drop it."""

    def summaries(self, workspaces: Collection[str] | None = None) -> Iterator[HistogramSummary]:
        """Give nothing."""
        return iter(())


def create_histograms(top_keys: int = TOP_KEYS) -> Histograms:
    """Create histograms that keep the busiest `top_keys` pairs of workspace and tier apart."""
    return BoundedHistograms(top_keys)


def create_null_histograms() -> Histograms:
    """Create histograms that keep nothing."""
    return NullHistograms()
