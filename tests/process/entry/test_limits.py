"""Workspace limits, checked with an oracle over all time windows; one test checks the oracle."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.entry import limits as limits_module
from guavawalk.process.entry.bucket import TokenBucket
from guavawalk.process.entry.limits import BURST_S, create_share_limiter
from guavawalk.request.expected_cost import LONG_OUTPUT_TOKENS
from guavawalk.tools.bench.placement import create_placement_scenario
from guavawalk.version.types import WorkspaceLimits

WORK = create_placement_scenario(1, 1, 0)[0]
STEPS = st.lists(st.tuples(st.floats(0, 0.7), st.integers(0, 2)), min_size=1, max_size=60)


class FakeClock:
    def __init__(self):
        self.time_s = 5.0

    def now_s(self):
        return self.time_s


def limited_work(prompt_tokens=10, output_tokens=5, name="studio", **limits):
    workspace = WORK.workspace._replace(name=name, limits=WorkspaceLimits(**limits))
    return WORK._replace(
        workspace=workspace, prompt_tokens=prompt_tokens, expected_output_tokens=output_tokens
    )


def admission_error(limiter, work):
    try:
        limiter.admit(work)
    except RequestError as error:
        return error
    return None


def admitted_times(steps, work, entries):
    """Send a request for each step (pause in seconds, entry); return when one was admitted."""
    clock = FakeClock()
    limiters = [create_share_limiter(clock, lambda: entries) for _ in range(entries)]
    times = []
    for pause_s, entry in steps:
        clock.time_s += pause_s
        if admission_error(limiters[entry % entries], work) is None:
            times.append(clock.time_s)
    return times


def assert_within_rate(times, amount, rate, bound):
    """Assert that every window admits at most its length times the rate, plus the bound."""
    for first in range(len(times)):
        for last in range(first, len(times)):
            allowed = rate * (times[last] - times[first]) + bound
            assert (last - first + 1) * amount <= allowed + 1e-6


class TestRates:
    @given(STEPS, st.integers(1, 3), st.sampled_from([0.5, 2.0, 9.0]))
    def test_requests_stay_within_the_bound_over_all_entries(self, steps, entries, rate):
        times = admitted_times(steps, limited_work(requests_per_s=rate), entries)
        assert_within_rate(times, 1, rate, max(entries, BURST_S * rate))

    @given(STEPS, st.integers(1, 3))
    def test_prompt_tokens_stay_within_the_bound_and_one_prompt(self, steps, entries):
        work = limited_work(prompt_tokens=1_500, prompt_tokens_per_s=3_000.0)
        bound = max(entries * limits_module.MIN_TOKEN_BURST, BURST_S * 3_000) + entries * 1_500
        assert_within_rate(admitted_times(steps, work, entries), 1_500, 3_000, bound)

    def test_oracle_catches_a_bucket_that_never_empties(self, monkeypatch):
        monkeypatch.setattr(TokenBucket, "spend", lambda bucket, amount: None)
        times = admitted_times([(0.0, 0)] * 20, limited_work(requests_per_s=2.0), 1)
        with pytest.raises(AssertionError):
            assert_within_rate(times, 1, 2.0, BURST_S * 2.0)

    @given(STEPS)
    def test_a_steady_caller_below_the_rate_is_never_refused(self, steps):
        steps = [(max(pause, 0.5), 0) for pause, _ in steps]
        assert len(admitted_times(steps, limited_work(requests_per_s=2.0), 1)) == len(steps)

    @given(STEPS, st.sampled_from([{"requests_per_s": 3.0}, {"prompt_tokens_per_s": 200.0}]))
    def test_request_is_admitted_after_the_retry_hint(self, steps, limits):
        clock = FakeClock()
        limiter = create_share_limiter(clock, lambda: 1)
        work = limited_work(prompt_tokens=100, **limits)
        for pause_s, _ in steps:
            clock.time_s += pause_s
            error = admission_error(limiter, work)
            if error is not None:
                clock.time_s += error.retry_after_ms / 1000
                assert admission_error(limiter, work) is None

    def test_refusal_by_one_limit_is_not_charged_to_another(self):
        clock = FakeClock()
        limiter = create_share_limiter(clock, lambda: 1)
        heavy = limited_work(5_000, requests_per_s=1.0, prompt_tokens_per_s=10.0)
        light = limited_work(0, requests_per_s=1.0, prompt_tokens_per_s=10.0)
        assert admission_error(limiter, heavy) is None
        assert admission_error(limiter, heavy).code is ResultCode.LIMIT_TOKENS
        assert admission_error(limiter, light).code is ResultCode.LIMIT_TOKENS
        clock.time_s += 500.0
        assert admission_error(limiter, light) is None


class TestVersions:
    def test_new_version_keeps_the_balance_of_the_bucket(self):
        clock = FakeClock()
        limiter = create_share_limiter(clock, lambda: 1)
        while admission_error(limiter, limited_work(requests_per_s=2.0)) is None:
            pass
        assert (
            admission_error(limiter, limited_work(requests_per_s=4.0)).code
            is ResultCode.LIMIT_REQUESTS
        )
        clock.time_s += 0.25
        assert admission_error(limiter, limited_work(requests_per_s=4.0)) is None

    def test_more_entries_shrink_the_share_at_once(self):
        clock = FakeClock()
        count = [1]
        limiter = create_share_limiter(clock, lambda: count[0])
        count[0] = 10
        admitted = 0
        while admission_error(limiter, limited_work(requests_per_s=10.0)) is None:
            admitted += 1
        assert admitted == BURST_S


class TestLongRequests:
    @given(st.lists(st.booleans(), max_size=60), st.integers(1, 5))
    def test_never_more_than_the_limit_run(self, steps, bound):
        limiter = create_share_limiter(FakeClock(), lambda: 1)
        work = limited_work(output_tokens=LONG_OUTPUT_TOKENS, long_requests=bound)
        running = 0
        for starts in steps:
            if starts:
                error = admission_error(limiter, work)
                assert (error is None) == (running < bound)
                running += error is None
            elif running:
                limiter.release(work)
                running -= 1

    def test_short_requests_do_not_count(self):
        limiter = create_share_limiter(FakeClock(), lambda: 1)
        for _ in range(10):
            assert admission_error(limiter, limited_work(long_requests=1)) is None


class TestTable:
    def test_is_bounded_and_keeps_workspaces_with_running_requests(self):
        limiter = create_share_limiter(FakeClock(), lambda: 1, 100)
        long = limited_work(output_tokens=LONG_OUTPUT_TOKENS, name="kept", long_requests=1)
        assert admission_error(limiter, long) is None
        for index in range(1_000):
            admission_error(limiter, limited_work(name=f"w{index}", requests_per_s=1.0))
        assert len(limiter) <= 101
        assert admission_error(limiter, long).code is ResultCode.LIMIT_LONG
