"""The policy benchmark: arrivals, and waste counted from the records of engines."""

from guavawalk.tools.bench.arrivals import capacity_requests_per_s, draw_arrivals, work_kinds
from guavawalk.tools.bench.policy import bench_plan, count_waste, run_policy
from guavawalk.tools.standins.engine_model import RunRecord

PROMPT = "a" * 1024


class TestArrivals:
    def test_same_seed_gives_same_arrivals(self):
        plan = bench_plan("asante")
        assert draw_arrivals(plan, 1.0, 2.0, 3) == draw_arrivals(plan, 1.0, 2.0, 3)
        assert draw_arrivals(plan, 1.0, 2.0, 3) != draw_arrivals(plan, 1.0, 2.0, 4)

    def test_mean_rate_is_load_times_capacity(self):
        plan = bench_plan("kestrel")
        expected = 1.5 * capacity_requests_per_s(plan) * 400
        assert abs(len(draw_arrivals(plan, 1.5, 400.0, 0)) - expected) < 0.1 * expected

    def test_long_requests_are_100_times_bulk_requests(self):
        quick, long, bulk = work_kinds(bench_plan("kestrel"))
        assert long.prompt_tokens == 100 * bulk.prompt_tokens
        assert long.output_tokens == 100 * bulk.output_tokens


class TestWaste:
    def test_first_useful_run_wastes_nothing(self):
        assert count_waste([RunRecord("1", PROMPT, 256)], {PROMPT}) == (0, 0)

    def test_second_run_elsewhere_repeats(self):
        runs = [RunRecord("1", PROMPT, 256), RunRecord("2", PROMPT, 256)]
        assert count_waste(runs, {PROMPT}) == (256, 0)

    def test_cached_run_repeats_nothing(self):
        runs = [RunRecord("1", PROMPT, 256), RunRecord("2", PROMPT, 0)]
        assert count_waste(runs, {PROMPT}) == (0, 0)

    def test_run_not_completed_in_time_is_discarded(self):
        assert count_waste([RunRecord("1", PROMPT, 256)], set()) == (0, 256)


class TestRun:
    def test_every_arrival_has_one_outcome(self):
        result = run_policy("kestrel", "round_robin", 0.7, 1.0, 1)
        assert sum(t.in_time + t.late + t.not_run + t.failed for t in result.tiers) == sum(
            t.offered for t in result.tiers
        )
        assert (result.not_run_but_ran, result.ran_twice) == (0, 0)
