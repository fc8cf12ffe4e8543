from guavawalk.process.gateway.gauges import register_gauges
from guavawalk.version.routes import RouteKind
from soak.standins import StandInTarget, answer_plain, answer_stream
from tests.gateway_calls import make_route
from tests.gateway_standins import GatewayHarness, run_with_timeout


def metrics_after_one_call(route, script):
    """Return the metrics of a gateway as text."""

    async def run():
        story = GatewayHarness(route)
        async with story.running(StandInTarget(script), service=route.services[0].service):
            await (await story.caller()).ask()
            register_gauges(story.gateway)
            return story.gateway.metrics.render()

    return run_with_timeout(run)


class TestGauges:
    def test_ages_of_routes_and_of_answers(self):
        text = metrics_after_one_call(make_route(), answer_plain)
        assert "guavawalk_routes_age_seconds " in text
        assert 'guavawalk_target_silent_seconds{target="i-1"}' in text

    def test_admitted_quota_and_remaining_retries(self):
        text = metrics_after_one_call(make_route(), answer_plain)
        assert 'guavawalk_quota_admitted{workspace="w"} 1' in text
        assert 'guavawalk_repeats_left{service="desk"}' in text


class TestHistograms:
    def test_observes_the_time_in_the_queue(self):
        text = metrics_after_one_call(make_route(), answer_plain)
        assert 'guavawalk_queue_seconds_count{service="desk"} 1' in text

    def test_observes_the_longest_pause_of_a_stream(self):
        route = make_route(RouteKind.STREAM, "model")
        text = metrics_after_one_call(route, answer_stream)
        assert 'guavawalk_pause_seconds_count{rank="0"} 1' in text
