"""Tests the statistics of histograms and the bound on their number."""

import random

from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.observe.histograms import (
    MAX_TICKS,
    TICKS_PER_UNIT,
    HistogramKey,
    Measure,
    create_histograms,
)

TWO_DIGITS = 0.01


def by_workspace(histograms) -> dict[str, int]:
    found = histograms.summaries()
    return {s.key.workspace: s.count for s in found if s.measure is Measure.WHOLE}


def add(histograms, workspace: str, tier: str = "onsite", times: int = 1) -> None:
    for _ in range(times):
        histograms.record_request(workspace, tier)
        histograms.record(workspace, tier, Measure.WHOLE, 5.0)


class TestFigures:
    @given(st.lists(st.floats(1, 1_000_000), min_size=1, max_size=50))
    def test_percentiles_are_within_two_digits(self, values):
        histograms = create_histograms()
        histograms.record_request("harbour", "onsite")
        for value in values:
            histograms.record("harbour", "onsite", Measure.WHOLE, value)
        (summary,) = list(histograms.summaries())
        assert summary.key == HistogramKey("harbour", "onsite")
        assert summary.count == len(values)
        tick = 1 / TICKS_PER_UNIT
        assert abs(summary.highest - max(values)) <= max(values) * TWO_DIGITS + tick
        middle = sorted(values)[(len(values) - 1) // 2]
        assert abs(summary.p50 - middle) <= middle * TWO_DIGITS + tick

    def test_values_out_of_range_are_clamped(self):
        histograms = create_histograms()
        histograms.record_request("harbour", "onsite")
        for value in (-1.0, 0.0, 1e12):
            histograms.record("harbour", "onsite", Measure.QUEUE, value)
        (summary,) = list(histograms.summaries())
        assert summary.count == 3
        assert summary.highest >= MAX_TICKS / TICKS_PER_UNIT

    def test_value_is_recorded_several_times(self):
        histograms = create_histograms()
        histograms.record_request("harbour", "onsite")
        histograms.record("harbour", "onsite", Measure.BETWEEN_TOKENS, 20.0, 8)
        assert next(histograms.summaries()).count == 8


class TestBound:
    def test_value_before_the_first_request_has_its_own_histogram(self):
        histograms = create_histograms(top_keys=1)
        histograms.record("harbour", "onsite", Measure.BETWEEN_TOKENS, 20.0)
        histograms.record_request("harbour", "onsite")
        assert [s.key.workspace for s in histograms.summaries()] == ["harbour"]

    def test_other_keys_share_a_histogram(self):
        histograms = create_histograms(top_keys=2)
        for name in ("a", "b", "c", "d"):
            add(histograms, name)
        assert by_workspace(histograms) == {"a": 1, "b": 1, "": 2}

    def test_busier_key_replaces_the_least_busy(self):
        histograms = create_histograms(top_keys=2)
        add(histograms, "a", times=10)
        add(histograms, "b")
        add(histograms, "c", times=6)
        found = by_workspace(histograms)
        assert found["a"] == 10
        assert "b" not in found
        assert found["c"] + found[""] == 7

    def test_no_value_is_lost_and_the_busiest_keys_are_kept(self):
        histograms = create_histograms(top_keys=8)
        rng = random.Random(4)
        weights = [1 / (index + 1) ** 1.5 for index in range(1_000)]
        for index in rng.choices(range(1_000), weights, k=20_000):
            add(histograms, f"w{index}")
        found = by_workspace(histograms)
        assert sum(found.values()) == 20_000
        assert len(found) <= 9
        assert {"w0", "w1", "w2"} <= set(found)

    def test_scope_excludes_other_workspaces_and_shared_histograms(self):
        histograms = create_histograms(top_keys=2)
        for name in ("a", "b", "c"):
            add(histograms, name)
        assert [s.key.workspace for s in histograms.summaries({"a", "c"})] == ["a"]
