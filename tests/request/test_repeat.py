import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.request.repeat import AttemptEnd, AttemptResult, StepKind, decide_next
from guavawalk.version.routes import RouteKind
from tests.gateway_calls import make_call, make_route

RAN = (AttemptResult.FAILED, AttemptResult.LOST, AttemptResult.SILENT)
NOTHING_RAN = (AttemptResult.UNREACHED, AttemptResult.NOT_RUN, AttemptResult.MISDIRECTED)


def step(result, kind=RouteKind.UNSAFE, sent=1, max_targets=2, has_begun=False, **options):
    route = make_route(kind, max_targets=max_targets, resumable=options.pop("resumable", False))
    has_run = options.pop("has_run", result in RAN)
    may_retry = options.pop("may_retry", True)
    return decide_next(make_call(route), AttemptEnd(result), sent, has_run, has_begun, may_retry)


class TestNonIdempotentCalls:
    @pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
    @pytest.mark.parametrize("result", RAN)
    def test_never_again_once_one_may_have_run(self, kind, result):
        found = step(result, kind, max_targets=9)
        assert found.kind in (StepKind.FAIL, StepKind.RELAY)

    @pytest.mark.parametrize("result", NOTHING_RAN)
    def test_again_where_the_target_states_that_nothing_ran(self, result):
        assert step(result).kind is StepKind.REPEAT

    def test_no_promise_after_an_unknown_outcome(self):
        assert step(AttemptResult.LOST) == (StepKind.FAIL, ResultCode.TARGET_LOST)

    def test_a_failure_of_the_target_is_passed_on(self):
        assert step(AttemptResult.FAILED).kind is StepKind.RELAY


class TestIdempotentCalls:
    @pytest.mark.parametrize("result", RAN)
    def test_again_while_another_target_may_be_asked(self, result):
        assert step(result, RouteKind.SAFE).kind is StepKind.REPEAT
        assert step(result, RouteKind.SAFE, sent=2).kind is not StepKind.REPEAT

    def test_resumable_stream_goes_on_after_its_answer_began(self):
        found = step(AttemptResult.LOST, RouteKind.STREAM, resumable=True, has_begun=True)
        assert found.kind is StepKind.REPEAT

    def test_not_beyond_the_budget(self):
        found = step(AttemptResult.LOST, RouteKind.SAFE, may_retry=False)
        assert found.kind is StepKind.FAIL


class TestRefusals:
    def test_not_run_at_the_last_target_is_a_refusal(self):
        found = step(AttemptResult.NOT_RUN, sent=2)
        assert found == (StepKind.REFUSE, ResultCode.QUEUE_FULL)

    def test_not_run_after_one_that_may_have_is_none(self):
        found = step(AttemptResult.NOT_RUN, RouteKind.SAFE, sent=2, has_run=True)
        assert found.kind is StepKind.FAIL

    def test_unreached_targets_take_no_place(self):
        assert step(AttemptResult.UNREACHED, sent=1, max_targets=1).kind is StepKind.REPEAT
        assert step(AttemptResult.MISDIRECTED, sent=0, max_targets=1).kind is StepKind.REPEAT

    def test_begun_answer_is_broken_off(self):
        found = step(AttemptResult.LOST, RouteKind.STREAM, has_begun=True)
        assert found.kind is StepKind.BREAK


class TestDecideNext:
    @given(
        st.sampled_from(AttemptResult),
        st.sampled_from(RouteKind),
        st.booleans(),
        st.integers(0, 4),
        st.integers(1, 3),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    )
    def test_promises(
        self, result, kind, resumable, sent, max_targets, has_run, has_begun, may_retry
    ):
        has_run = has_run or result in RAN or has_begun
        route = make_route(kind, max_targets=max_targets, resumable=resumable)
        found = decide_next(
            make_call(route), AttemptEnd(result), sent, has_run, has_begun, may_retry
        )
        if found.kind is StepKind.REPEAT:
            assert may_retry
            assert result in NOTHING_RAN or route.is_idempotent
        if found.kind is StepKind.REFUSE:
            assert not has_run and not has_begun
