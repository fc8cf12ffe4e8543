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
    def test_not_repeated_once_an_attempt_may_have_run(self, kind, result):
        next_step = step(result, kind, max_targets=9)
        assert next_step.kind in (StepKind.FAIL, StepKind.RELAY)

    @pytest.mark.parametrize("result", NOTHING_RAN)
    def test_repeated_if_the_target_states_that_nothing_ran(self, result):
        assert step(result).kind is StepKind.REPEAT

    def test_unknown_outcome_is_reported_as_a_lost_target(self):
        assert step(AttemptResult.LOST) == (StepKind.FAIL, ResultCode.TARGET_LOST)

    def test_error_answer_of_the_target_is_relayed(self):
        assert step(AttemptResult.FAILED).kind is StepKind.RELAY


class TestIdempotentCalls:
    @pytest.mark.parametrize("result", RAN)
    def test_repeated_until_max_targets_is_reached(self, result):
        assert step(result, RouteKind.SAFE).kind is StepKind.REPEAT
        assert step(result, RouteKind.SAFE, sent=2).kind is not StepKind.REPEAT

    def test_resumable_stream_is_repeated_after_its_answer_began(self):
        next_step = step(AttemptResult.LOST, RouteKind.STREAM, resumable=True, has_begun=True)
        assert next_step.kind is StepKind.REPEAT

    def test_not_repeated_if_retries_are_not_allowed(self):
        next_step = step(AttemptResult.LOST, RouteKind.SAFE, may_retry=False)
        assert next_step.kind is StepKind.FAIL


class TestRefusals:
    def test_not_run_at_the_last_target_is_a_refusal(self):
        next_step = step(AttemptResult.NOT_RUN, sent=2)
        assert next_step == (StepKind.REFUSE, ResultCode.QUEUE_FULL)

    def test_not_run_is_no_refusal_after_an_attempt_that_may_have_run(self):
        next_step = step(AttemptResult.NOT_RUN, RouteKind.SAFE, sent=2, has_run=True)
        assert next_step.kind is StepKind.FAIL

    def test_unreached_and_misdirected_attempts_do_not_count(self):
        assert step(AttemptResult.UNREACHED, sent=1, max_targets=1).kind is StepKind.REPEAT
        assert step(AttemptResult.MISDIRECTED, sent=0, max_targets=1).kind is StepKind.REPEAT

    def test_begun_answer_is_ended_as_incomplete(self):
        next_step = step(AttemptResult.LOST, RouteKind.STREAM, has_begun=True)
        assert next_step.kind is StepKind.BREAK


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
    def test_repeats_and_refusals_only_under_their_conditions(
        self, result, kind, resumable, sent, max_targets, has_run, has_begun, may_retry
    ):
        has_run = has_run or result in RAN or has_begun
        route = make_route(kind, max_targets=max_targets, resumable=resumable)
        next_step = decide_next(
            make_call(route), AttemptEnd(result), sent, has_run, has_begun, may_retry
        )
        if next_step.kind is StepKind.REPEAT:
            assert may_retry
            assert result in NOTHING_RAN or route.is_idempotent
        if next_step.kind is StepKind.REFUSE:
            assert not has_run and not has_begun
