from guavawalk.request.silence import answer_silence_limit_s, stream_silence_limit_s
from guavawalk.version.routes import RouteKind
from tests.gateway_calls import PLAN, RESUMABLE, SAFE, UNSAFE, make_route


class TestAnswerSilence:
    def test_calls_that_may_run_once_wait_without_limit(self):
        for route in (UNSAFE, PLAN):
            assert answer_silence_limit_s(route, 1, 0.1) is None

    def test_last_target_is_awaited_without_limit(self):
        assert answer_silence_limit_s(SAFE, 1, 0.1) is not None
        assert answer_silence_limit_s(SAFE, 2, 0.1) is None

    def test_grows_with_the_expected_time_and_has_a_least_value_by_kind(self):
        assert answer_silence_limit_s(SAFE, 1, 0.01) == 0.35
        assert answer_silence_limit_s(RESUMABLE, 1, 0.01) == 0.9
        assert answer_silence_limit_s(SAFE, 1, 1.0) == 4.0


class TestStreamSilence:
    def test_grows_with_the_time_between_events(self):
        assert stream_silence_limit_s(RESUMABLE, 1, 0.02) == 0.9
        assert stream_silence_limit_s(RESUMABLE, 1, 0.5) == 2.0

    def test_streams_that_may_not_be_resumed_wait_without_limit(self):
        route = make_route(RouteKind.STREAM, "model", max_targets=3)
        assert stream_silence_limit_s(route, 1, 0.02) is None
