"""Summarizes load runs in one pass over their results."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from guavawalk.codes import ResultCode
from guavawalk.exception import ResultsError
from guavawalk.tools.load.results import (
    FaultLine,
    PromiseLine,
    RequestLine,
    ResultLine,
    RunLine,
    WasteLine,
)

__all__ = ["LatencyCurve", "RunSummary", "TierFigures", "summarize_results"]

MEASURES = ("first_token_ms", "between_tokens_ms", "whole_ms")
PERCENTILES = (0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)

# Histograms count ticks of 0.1 ms with three significant digits. Values above an hour are counted
# as an hour.
TICKS_PER_MS = 10
MAX_TICKS = 36_000_000
DIGITS = 3


class LatencyCurve(NamedTuple):
    """Values of one of `MEASURES` at `PERCENTILES`, over `count` completed requests of a tier."""

    tier: str
    measure: str
    count: int
    values_ms: tuple[float, ...]


class TierFigures(NamedTuple):
    """Outcomes of one tier's requests.

    Attributes
    ----------
    goodput_per_s : float
        Requests completed within their deadlines, per second of the run.
    good_tokens_per_s : float
        Output tokens of those requests, per second of the run.
    codes : tuple of tuple
        Outcomes other than completed: name of the code, and number of requests.
    """

    tier: str
    offered: int
    completed: int
    in_time: int
    goodput_per_s: float
    good_tokens_per_s: float
    codes: tuple[tuple[str, int], ...]


class RunSummary(NamedTuple):
    """Summary of one run; `goodput_by_second` counts requests by the second of completion."""

    run: RunLine
    tiers: tuple[TierFigures, ...]
    curves: tuple[LatencyCurve, ...]
    goodput_by_second: tuple[int, ...]
    waste: tuple[WasteLine, ...]
    faults: tuple[FaultLine, ...]
    promises: tuple[PromiseLine, ...]


class TierTally:
    """Counts of one tier while its requests are read."""

    def __init__(self) -> None:
        self.offered = 0
        self.completed = 0
        self.in_time = 0
        self.good_tokens = 0
        self.codes: Counter[str] = Counter()
        self.histograms = {
            measure: HdrHistogram(1, MAX_TICKS, DIGITS, word_size=4) for measure in MEASURES
        }

    def add(self, request: RequestLine) -> None:
        """Count one request."""
        self.offered += 1
        if request["code"] != ResultCode.COMPLETED:
            self.codes[_code_name(request["code"])] += 1
            return
        self.completed += 1
        self.in_time += request["in_time"]
        self.good_tokens += request["output_tokens"] if request["in_time"] else 0
        for measure, histogram in self.histograms.items():
            if request[measure] > 0:
                histogram.record_value(min(round(request[measure] * TICKS_PER_MS), MAX_TICKS))


def _code_name(code: int) -> str:
    try:
        return ResultCode(code).name
    except ValueError:
        return f"code {code}"


class RunTally:
    """Counts of one run while its lines are read."""

    def __init__(self, run: RunLine) -> None:
        self.run = run
        self.tiers: dict[str, TierTally] = {}
        self.goodput: Counter[int] = Counter()
        self.waste: list[WasteLine] = []
        self.faults: list[FaultLine] = []
        self.promises: list[PromiseLine] = []

    def add(self, line: ResultLine) -> None:
        """Count one line."""
        if line["kind"] == "request":
            self.tiers.setdefault(line["tier"], TierTally()).add(line)
            if line["in_time"] and line["code"] == ResultCode.COMPLETED:
                self.goodput[int(line["at_s"] + line["whole_ms"] / 1000)] += 1
        elif line["kind"] == "waste":
            self.waste.append(line)
        elif line["kind"] == "fault":
            self.faults.append(line)
        elif line["kind"] == "promise":
            self.promises.append(line)


def summarize_results(lines: Iterable[ResultLine]) -> list[RunSummary]:
    """Summarize runs in the order of their run lines.

    Raises
    ------
    ResultsError
        If a line comes before the run line of its run, or a run has two run lines.
    """
    tallies: dict[str, RunTally] = {}
    for line in lines:
        name = line["run"]
        if line["kind"] == "run":
            if name in tallies:
                raise ResultsError(f"run {name!r:.80}", "has two run lines, allowed is one")
            tallies[name] = RunTally(line)
        elif name not in tallies:
            raise ResultsError(
                f"run {name!r:.80}", f"found a {line['kind']} line before its run line"
            )
        else:
            tallies[name].add(line)
    return [_summary(tally) for tally in tallies.values()]


def _summary(tally: RunTally) -> RunSummary:
    duration_s = max(tally.run["duration_s"], 1e-9)
    tiers = sorted(tally.tiers.items())
    seconds = range(max(tally.goodput, default=-1) + 1)
    return RunSummary(
        run=tally.run,
        tiers=tuple(_tier(name, counts, duration_s) for name, counts in tiers),
        curves=tuple(curve for name, counts in tiers for curve in _curves(name, counts)),
        goodput_by_second=tuple(tally.goodput[second] for second in seconds),
        waste=tuple(tally.waste),
        faults=tuple(tally.faults),
        promises=tuple(tally.promises),
    )


def _tier(name: str, counts: TierTally, duration_s: float) -> TierFigures:
    return TierFigures(
        tier=name,
        offered=counts.offered,
        completed=counts.completed,
        in_time=counts.in_time,
        goodput_per_s=counts.in_time / duration_s,
        good_tokens_per_s=counts.good_tokens / duration_s,
        codes=tuple(sorted(counts.codes.items())),
    )


def _curves(name: str, counts: TierTally) -> list[LatencyCurve]:
    curves = []
    for measure, histogram in counts.histograms.items():
        if histogram.get_total_count():
            values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
            in_ms = tuple(values[percentile] / TICKS_PER_MS for percentile in PERCENTILES)
            curves.append(LatencyCurve(name, measure, histogram.get_total_count(), in_ms))
    return curves
