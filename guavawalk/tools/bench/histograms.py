"""`guavawalk bench histograms`: cost of latency histograms of many workspaces."""

import gc
import random
import time
import tracemalloc
from itertools import accumulate
from typing import NamedTuple

from guavawalk.process.observe.histograms import Histograms, Measure, create_histograms

__all__ = ["HistogramFigures", "measure_histograms"]

TIERS = ("tier-0", "tier-1", "tier-2", "tier-3")
TOKENS_EACH = 10


class HistogramFigures(NamedTuple):
    """Cost of recording.

    Attributes
    ----------
    held_bytes : int
        Memory of the histograms after all requests were recorded.
    request_us : float
        Mean time to record one request with a value of each measure.
    token_us : float
        Mean time to record the time between two tokens.
    summaries_ms : float
        Time to summarize all histograms.
    top_share : float
        Part of the requests whose workspace and tier have histograms of their own at the end.
    """

    workspaces: int
    requests: int
    held_bytes: int
    request_us: float
    token_us: float
    summaries_ms: float
    top_share: float


def measure_histograms(workspaces: int, requests: int, seed: int) -> HistogramFigures:
    """Measure recording requests whose workspaces are drawn by Zipf's law."""
    names = [f"workspace-{index}" for index in range(workspaces)]
    weights = list(accumulate(1 / (index + 1) for index in range(workspaces)))
    rng = random.Random(seed)
    drawn = rng.choices(names, cum_weights=weights, k=requests)
    tracemalloc.start()
    histograms = create_histograms()
    for workspace in drawn:
        _record(histograms, workspace, rng)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    summaries_s, summaries = _timed(lambda: list(histograms.summaries()))
    top = {(s.key.workspace, s.key.tier) for s in summaries if s.key.workspace}
    top_names = {workspace for workspace, _ in top}
    return HistogramFigures(
        workspaces=workspaces,
        requests=requests,
        held_bytes=held_bytes,
        request_us=_request_us(drawn, seed),
        token_us=_token_us(names[0]),
        summaries_ms=summaries_s * 1000,
        top_share=sum(name in top_names for name in drawn) / requests,
    )


def _record(histograms: Histograms, workspace: str, rng: random.Random) -> None:
    tier = TIERS[len(workspace) % len(TIERS)]
    histograms.record_request(workspace, tier)
    for measure in Measure:
        histograms.record(workspace, tier, measure, rng.lognormvariate(4, 1.5))


def _timed(call):
    started_s = time.perf_counter()
    result = call()
    return time.perf_counter() - started_s, result


def _request_us(drawn: list[str], seed: int) -> float:
    histograms = create_histograms()
    rng = random.Random(seed)

    def record_all() -> None:
        for workspace in drawn:
            _record(histograms, workspace, rng)

    elapsed_s, _ = _timed(record_all)
    return elapsed_s * 1e6 / len(drawn)


def _token_us(workspace: str) -> float:
    histograms = create_histograms()
    histograms.record_request(workspace, TIERS[0])
    count = 100_000

    def record_all() -> None:
        for _ in range(count):
            histograms.record(workspace, TIERS[0], Measure.BETWEEN_TOKENS, 20.0)

    elapsed_s, _ = _timed(record_all)
    return elapsed_s * 1e6 / count
