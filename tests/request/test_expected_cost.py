"""Placement by expected cost: against a full scan of the targets, and its single rules."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.request.affinity import affinity_order
from guavawalk.request.expected_cost import SCAN_ALL_UP_TO, create_expected_cost, estimate_cost
from guavawalk.request.placement import capable_targets
from guavawalk.request.target_view import StaticViews, TargetView
from guavawalk.request.types import LoadReport
from guavawalk.tools.bench.placement import create_placement_scenario
from guavawalk.version.build import build_configuration
from guavawalk.version.publish import render_documents

SEEDS = st.integers(0, 10_000)


def items_by_kind(configuration):
    kinds = ("tiers", "data_centres", "generations", "models", "workspaces")
    return {kind: getattr(configuration, kind).values() for kind in kinds}


def total_s(estimate):
    return estimate.finish_s + estimate.penalty_s


def full_scan(work, local_data_centre, targets, views):
    usable = [target for target in targets if views[target.name].usable]
    return min(
        usable,
        key=lambda t: total_s(estimate_cost(work, local_data_centre, t, views[t.name])),
        default=None,
    )


def random_views(targets, rng):
    views = {}
    for target in targets:
        queued = tuple(rng.randrange(5) for _ in range(3))
        tokens = tuple(20 * count for count in queued)
        running = rng.randrange(10)
        load = LoadReport(queued, running, 8, queued_output_by_rank=tokens)
        views[target.name] = TargetView(load, rng.random() * 3, usable=rng.random() < 0.8)
    return StaticViews(views)


class TestAgainstFullScan:
    @given(SEEDS, st.integers(1, SCAN_ALL_UP_TO))
    def test_few_targets_are_all_scored(self, seed, count):
        rng = random.Random(seed)
        work, local_data_centre, targets = create_placement_scenario(count, count, seed)
        work = work._replace(prefix_hashes=())
        views = random_views(targets, rng)
        ranked = create_expected_cost(seed).rank(work, local_data_centre, targets, views)
        best = full_scan(work, local_data_centre, targets, views)
        assert (ranked[0].target if ranked else None) == best

    def test_a_sample_of_many_is_close_to_the_best(self):
        rng = random.Random(1)
        work, local_data_centre, targets = create_placement_scenario(60, 60, 1)
        policy = create_expected_cost(1)
        ratios = []
        for _ in range(200):
            views = random_views(targets, rng)
            first = policy.rank(work, local_data_centre, targets, views)[0]
            best = full_scan(work, local_data_centre, targets, views)
            best_s = total_s(estimate_cost(work, local_data_centre, best, views[best.name]))
            ratios.append(first.cost_ms / 1000 / best_s)
        assert sum(ratios) / len(ratios) < 1.5

    @given(SEEDS)
    def test_unusable_targets_are_never_ranked(self, seed):
        rng = random.Random(seed)
        work, local_data_centre, targets = create_placement_scenario(30, 30, seed)
        views = random_views(targets, rng)
        for candidate in create_expected_cost(seed).rank(work, local_data_centre, targets, views):
            assert views[candidate.target.name].usable


class TestAffinity:
    @given(st.integers(-(2**63), 2**63 - 1), st.permutations([f"t{i}" for i in range(8)]))
    def test_order_does_not_depend_on_the_order_of_names(self, key, names):
        weights = (1.0,) * len(names)
        order = affinity_order(key, tuple(names), weights)
        assert order == affinity_order(key, tuple(sorted(names)), weights)

    def test_share_of_keys_follows_the_weight(self):
        firsts = [affinity_order(key, ("a", "b"), (1.0, 3.0))[0] for key in range(2_000)]
        assert 0.70 < firsts.count("b") / 2_000 < 0.80

    def test_entries_choose_the_same_target_independently(self):
        work, local_data_centre, targets = create_placement_scenario(30, 30, 5)
        targets = [target._replace(generation="gen-1") for target in targets]
        views = StaticViews({target.name: TargetView() for target in targets})
        chosen = {
            create_expected_cost(seed).rank(work, local_data_centre, targets, views)[0].target.name
            for seed in range(10)
        }
        assert len(chosen) == 1

    def test_a_full_target_gets_no_affinity_credit(self):
        work, local_data_centre, targets = create_placement_scenario(10, 10, 5)
        idle = StaticViews({target.name: TargetView() for target in targets})
        first = create_expected_cost(0).rank(work, local_data_centre, targets, idle)[0].target.name
        full = TargetView(LoadReport((6,), 8, 8, queued_output_by_rank=(200,)))
        views = StaticViews({**idle.views, first: full})
        assert (
            create_expected_cost(0).rank(work, local_data_centre, targets, views)[0].target.name
            != first
        )


class TestCost:
    def test_wait_counts_only_the_same_and_more_urgent_tiers(self):
        work, local_data_centre, targets = create_placement_scenario(1, 1, 0)
        lower = LoadReport((0, 0, 50), 4, 4, queued_output_by_rank=(0, 0, 5_000))
        higher = LoadReport((50, 0, 0), 4, 4, queued_output_by_rank=(5_000, 0, 0))
        costs = [
            estimate_cost(work, local_data_centre, targets[0], TargetView(load)).wait_s
            for load in (lower, higher)
        ]
        assert costs[0] < costs[1]

    def test_wait_shrinks_with_the_age_of_the_report(self):
        work, local_data_centre, targets = create_placement_scenario(1, 1, 0)
        load = LoadReport((50,), 4, 4, queued_output_by_rank=(5_000,))
        fresh, old = (
            estimate_cost(work, local_data_centre, targets[0], TargetView(load, age))
            for age in (0, 10)
        )
        assert old.wait_s < fresh.wait_s

    @pytest.mark.parametrize("own_long, expected", [(0, False), (8, True)])
    def test_long_work_beyond_its_share_of_slots_is_penalised(self, own_long, expected):
        work, local_data_centre, targets = create_placement_scenario(1, 1, 0)
        work = work._replace(expected_output_tokens=1_000)
        view = TargetView(LoadReport(window=8), own_long=own_long)
        assert (estimate_cost(work, local_data_centre, targets[0], view).penalty_s > 5) is expected


class TestCapability:
    def test_leaving_prefill_and_forbidden_targets_are_left_out(self):
        work, _, targets = create_placement_scenario(8, 8, 0)
        leaving = targets[0]._replace(leaving=True)
        prefill = targets[1]._replace(desired=targets[1].desired._replace(role="prefill"))
        others = [*targets[2:], leaving, prefill]
        documents = render_documents(1, {**items_by_kind(work.configuration), "targets": others})
        configuration = build_configuration(documents)
        data_centre = targets[2].data_centre
        workspace = work.workspace._replace(data_centres=(data_centre,))
        capable = capable_targets(work._replace(workspace=workspace), configuration)
        changed = {leaving.name, prefill.name}
        assert capable
        assert not {t.name for t in capable} & changed
        assert {t.data_centre for t in capable} == {data_centre}
