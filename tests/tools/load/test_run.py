"""A run of a small load plan, its results file and summary, and violations found by the checks."""

from collections import Counter
from types import SimpleNamespace

import pytest

from guavawalk.tools.bench.arrivals import draw_arrivals
from guavawalk.tools.bench.policy import bench_plan
from guavawalk.tools.load.driver import CALL_TIER, CallAnswer, ModelAnswer
from guavawalk.tools.load.oracle import check_promises
from guavawalk.tools.load.page import render_page
from guavawalk.tools.load.plan_file import Fault, LoadPlan
from guavawalk.tools.load.results import format_line, read_results
from guavawalk.tools.load.run import lines_of_run, run_policy_of_plan
from guavawalk.tools.load.summary import summarize_results

CRASHING_TIMES = 3
PLAN = LoadPlan(
    title="small",
    deployment="kestrel",
    load=0.3,
    duration_s=4.0,
    calls_per_s=4.0,
    faults=(
        Fault("sidecar_kill", 1.0, 0.5, "engine-1"),
        Fault("entry_kill", 1.5, 0.5, "nanaimo"),
        Fault("crashing_request", 2.0, 1.0, factor=float(CRASHING_TIMES)),
    ),
)


@pytest.fixture(scope="module")
def finished():
    return run_policy_of_plan(PLAN, "expected_cost")


class TestRun:
    def test_breaks_no_promise(self, finished):
        assert [line for line in finished.promises if line["broken"]] == []

    def test_every_request_has_a_result_line(self, finished):
        drawn = draw_arrivals(bench_plan(PLAN.deployment), PLAN.load, PLAN.duration_s, PLAN.seed)
        calls = sum(line["tier"] == CALL_TIER for line in finished.requests)
        assert len(finished.requests) - calls == len(drawn) + CRASHING_TIMES
        assert calls > 0

    def test_repeats_exactly(self, finished):
        assert run_policy_of_plan(PLAN, "expected_cost") == finished


class TestResultsFile:
    def test_read_results_returns_the_written_lines(self, finished, tmp_path):
        path = tmp_path / "results.jsonl"
        path.write_text("".join(map(format_line, lines_of_run(finished))))
        assert list(read_results([path])) == list(lines_of_run(finished))

    def test_summary_counts_every_request(self, finished):
        (summary,) = summarize_results(lines_of_run(finished))
        assert sum(tier.offered for tier in summary.tiers) == len(finished.requests)
        assert "<svg" in render_page([summary])


def fake_run(runs=(), models=(), ran=(), calls=()):
    engine = SimpleNamespace(runs=[SimpleNamespace(prompt=prompt) for prompt in runs])
    service = SimpleNamespace(run_counts=Counter(ran))
    fleet = SimpleNamespace(engines={"e": engine}, services={"s": service})
    driver = SimpleNamespace(model_answers=list(models), call_answers=list(calls))
    return [check.promise for check in check_promises(fleet, driver) if check.broken]


class TestOracle:
    def test_accepts_correct_outcomes(self):
        complete_answer = ModelAnswer("p", 0, True)
        assert (
            fake_run(["p"], [complete_answer], ["c"], [CallAnswer("c", 0), CallAnswer("c", 0)])
            == []
        )

    @pytest.mark.parametrize(
        ("violation", "words"),
        [
            (
                {"runs": ["p", "p"], "models": [ModelAnswer("p", 0, True)]},
                "at most once",
            ),
            ({"runs": ["p"], "models": [ModelAnswer("p", 201, False)]}, "told not run"),
            ({"runs": ["p"], "models": [ModelAnswer("p", 0, False)]}, "is whole"),
            ({"ran": ["c", "c"], "calls": [CallAnswer("c", 0)]}, "one ticket"),
            ({"ran": ["c"], "calls": [CallAnswer("c", 209)]}, "told the truth"),
            ({"calls": [CallAnswer("c", 0)]}, "told the truth"),
        ],
    )
    def test_finds_each_violation(self, violation, words):
        found = fake_run(**violation)
        assert len(found) == 1
        assert words in found[0]
