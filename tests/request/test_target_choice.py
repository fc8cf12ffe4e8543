from hypothesis import given
from hypothesis import strategies as st

from guavawalk.request.engine_time import nominal_event_gap_s, nominal_first_event_s
from guavawalk.request.target_choice import (
    TargetSnapshot,
    choose_target,
    expected_first_event_s,
    unfinished_share,
)
from guavawalk.version.routes import RouteKind
from tests.gateway_calls import make_call, make_route

STREAM = make_route(RouteKind.STREAM, "model", latency_goal_s=0.5)


def snapshot(target_id="i-1", data_centre="a", slots=10, **fields):
    return TargetSnapshot(target_id, data_centre, slots, **fields)


def chosen(call, *snapshots, now_s=0.0):
    return choose_target(call, "a", snapshots, now_s).target_id


class TestChooseTarget:
    def test_none_without_targets(self):
        assert choose_target(make_call(STREAM), "a", (), 0.0) is None

    def test_local_target_comes_first(self):
        far = snapshot("far", "b")
        assert chosen(make_call(STREAM), far, snapshot("near")) == "near"

    def test_remote_target_comes_before_a_late_one(self):
        call = make_call(STREAM, prompt_tokens=20_000)
        slow = snapshot("slow", slowness=3.0)
        assert chosen(call, slow, snapshot("far", "b")) == "far"

    def test_target_with_the_cached_prefix_comes_first(self):
        call = make_call(STREAM, prompt_tokens=30_000)
        warm = snapshot("warm", cached_tokens=30_000)
        assert chosen(call, snapshot("cold"), warm) == "warm"

    def test_failing_target_is_chosen_only_without_an_alternative(self):
        failing = snapshot("failing", failure_share=0.5)
        assert chosen(make_call(STREAM), failing, snapshot("far", "b")) == "far"
        assert chosen(make_call(STREAM), failing) == "failing"

    def test_overdue_calls_count_against_a_target(self):
        stuck = snapshot("stuck", overdue=2)
        assert chosen(make_call(STREAM), stuck, snapshot("busy", running=8)) == "busy"

    def test_target_with_fewer_running_requests_comes_first(self):
        assert chosen(make_call(STREAM), snapshot("b", running=5), snapshot("a")) == "a"


class TestExpectedFirst:
    @given(st.integers(0, 50_000), st.integers(0, 50_000), st.floats(0.5, 4.0))
    def test_grows_with_the_prompt_the_backlog_and_the_slowness(self, prompt, backlog, slowness):
        call = make_call(STREAM, prompt_tokens=prompt)
        longer = make_call(STREAM, prompt_tokens=prompt + 100)
        short = snapshot(prefill_tokens=backlog, slowness=slowness)
        more = snapshot(prefill_tokens=backlog + 100, slowness=slowness)
        assert expected_first_event_s(call, short) < expected_first_event_s(longer, short)
        assert expected_first_event_s(call, short) < expected_first_event_s(call, more)

    def test_full_target_adds_a_wait(self):
        call = make_call(STREAM)
        full, free = snapshot(running=10), snapshot(running=9)
        assert expected_first_event_s(call, full) > expected_first_event_s(call, free)

    def test_plain_service_takes_its_usual_time(self):
        plain = snapshot(answer_s=0.08, is_engine=False)
        assert expected_first_event_s(make_call(), plain) == 0.08


class TestEngineTime:
    def test_cached_tokens_take_no_prefill_time(self):
        assert nominal_first_event_s(5_000, 5_000, 0) == nominal_first_event_s(0, 0, 0)

    def test_gap_grows_with_the_running_requests(self):
        assert nominal_event_gap_s(5, 1) < nominal_event_gap_s(5, 10) < nominal_event_gap_s(10, 10)


class TestUnfinishedShare:
    def share(self, slowness, **fields):
        call = make_call(make_route(RouteKind.STREAM, "model", timeout_s=10.0), **fields)
        return unfinished_share(call, snapshot(slowness=slowness), 0.0)

    def test_zero_without_a_length_hint(self):
        assert self.share(4.0, max_output_tokens=100_000) == 0.0

    def test_grows_with_the_expected_length_and_the_slowness(self):
        assert self.share(1.0, hinted_output_tokens=1_000) == 0.0
        assert 0.0 < self.share(2.5, hinted_output_tokens=1_000) < 1.0
        assert self.share(4.0, hinted_output_tokens=1_000) == 1.0

    def test_a_target_where_the_answer_can_end_comes_first(self):
        call = make_call(STREAM, hinted_output_tokens=400)
        slow = snapshot("slow", slowness=4.0)
        assert chosen(call, slow, snapshot("fast", "b", running=9)) == "fast"
