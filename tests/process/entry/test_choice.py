"""Target selection of an entry: early refusal by tier, and the number of offers."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.entry import choice
from guavawalk.process.entry.choice import choose_target, max_offers
from guavawalk.process.entry.view import create_fleet_view
from guavawalk.request.policies import create_placement
from guavawalk.request.types import LoadReport
from guavawalk.tools.bench.placement import create_placement_scenario

WORK, DATA_CENTRE, TARGETS = create_placement_scenario(3, 3, 0)
TIERS = sorted(WORK.configuration.tiers.values(), key=lambda tier: tier.rank)


class FakeClock:
    def now_s(self):
        return 50.0


def loaded_entry(seed):
    """Create an entry with random load reports of its targets and the default placement policy."""
    rng = random.Random(seed)
    view = create_fleet_view(FakeClock())
    for target in TARGETS:
        counts = tuple(rng.randrange(200) for _ in TIERS)
        tokens = tuple(20 * count for count in counts)
        view.record_load(target.name, LoadReport(counts, 8, 8, queued_output_by_rank=tokens))
    placement = create_placement("expected_cost", seed)
    return SimpleNamespace(
        view=view, placement=placement, clock=FakeClock(), data_centre=DATA_CENTRE
    )


def refused_by_tier(seed, deadline_ms):
    entry = loaded_entry(seed)
    refused = []
    for tier in TIERS:
        work = WORK._replace(tier=tier, deadline_s=50.0 + deadline_ms / 1000)
        try:
            choose_target(entry, work, ())
        except RequestError as error:
            assert error.code is ResultCode.DEADLINE_UNREACHABLE
            assert error.retry_after_ms > 0
            refused.append(tier.rank)
    return refused


def assert_lowest_first(refused):
    """Assert that all tiers below a refused one are refused too."""
    assert refused == [tier.rank for tier in TIERS[len(TIERS) - len(refused) :]]


class TestEarlyRefusal:
    @given(st.integers(0, 500), st.integers(100, 60_000))
    def test_the_lowest_tier_is_refused_first(self, seed, deadline_ms):
        assert_lowest_first(refused_by_tier(seed, deadline_ms))

    def test_assertion_fails_with_reversed_factors(self, monkeypatch):
        monkeypatch.setattr(choice, "TOP_TIER_FACTOR", 50.0)
        monkeypatch.setattr(choice, "LOWEST_TIER_FACTOR", 0.01)
        with pytest.raises(AssertionError):
            for seed in range(200):
                assert_lowest_first(refused_by_tier(seed, 10_000))

    def test_idle_targets_are_selected_for_a_request_that_fits_its_deadline(self):
        entry = loaded_entry(0)
        for target in TARGETS:
            entry.view.record_load(target.name, LoadReport(window=8))
        assert choose_target(entry, WORK._replace(deadline_s=110.0), ()) is not None


class TestOffers:
    def test_older_reports_allow_more_offers(self):
        allowed = [max_offers(age_s) for age_s in (0.0, 1.0, 5.0, float("inf"))]
        assert allowed == sorted(allowed)
        assert allowed[0] < allowed[-1]

    def test_tried_targets_are_left_out(self):
        entry = loaded_entry(1)
        work = WORK._replace(deadline_s=3_000.0)
        tried_names = [TARGETS[0].name, TARGETS[1].name]
        assert choose_target(entry, work, tried_names).target == TARGETS[2]
        assert choose_target(entry, work, [target.name for target in TARGETS]) is None

    def test_two_refusals_end_the_offers_if_reports_are_fresh(self):
        work = WORK._replace(deadline_s=3_000.0)
        assert choose_target(loaded_entry(1), work, [TARGETS[0].name], refusals=2) is None
