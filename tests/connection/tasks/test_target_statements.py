import math

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.response_reader import BodyFraming, ResponseHead
from guavawalk.platform.requests import MAX_QUIET_S, decode_answer
from soak.standins import CHUNKED, EndConnection, StandInTarget, answer_plain, event, signed_headers
from tests.gateway_calls import RESUMABLE, SAFE, UNSAFE, make_registration, make_route
from tests.gateway_standins import GatewayHarness, run_with_timeout

LEAVING = (b"Server-Leaving", b"1")


def decode(status, *headers):
    return decode_answer(ResponseHead(status, headers, BodyFraming.LENGTH, True))


def quiet(request, value, *headers):
    """Return a refusal of a target that wants quiet."""
    refused = (b"Not-Executed", b"1"), (b"Retry-After", value), *headers
    return encode_response(503, (*signed_headers(request)[:1], *refused))


class TestDecoding:
    @pytest.mark.parametrize("status", (200, 404, 500, 503))
    def test_leaving_is_read_from_answers_of_any_status(self, status):
        assert decode(status, LEAVING).is_leaving
        assert decode(status, (b"server-LEAVING", b" 1 ")).is_leaving

    @pytest.mark.parametrize("value", (b"0", b"", b"11", b"true", b"1, 1", b"\xff"))
    def test_other_values_say_nothing(self, value):
        assert not decode(200, (b"Server-Leaving", value)).is_leaving

    def test_one_of_several_headers_is_enough(self):
        assert decode(200, (b"Server-Leaving", b"0"), LEAVING).is_leaving

    def test_another_target_at_the_address_does_not_speak_for_this_one(self):
        assert not decode(421, LEAVING).is_leaving

    @pytest.mark.parametrize(
        ("value", "quiet_s", "is_invalid"),
        (
            (b"1", 1.0, False),
            (b"0.25", 0.25, False),
            (b"0", 0.0, False),
            (b"300", MAX_QUIET_S, False),
            (b"301", MAX_QUIET_S, True),
            (b"99999999", MAX_QUIET_S, True),
            (b"9" * 400, None, True),
            (b"-1", None, True),
            (b"nan", None, True),
            (b"inf", None, True),
            (b"1e3", None, True),
            (b"1_0", None, True),
            (b"Wed, 21 Oct 2026 07:28:00 GMT", None, True),
            (b"", None, True),
        ),
    )
    def test_time_of_quiet(self, value, quiet_s, is_invalid):
        found = decode(503, (b"Retry-After", value))
        assert (found.quiet_s, found.is_quiet_invalid) == (quiet_s, is_invalid)

    def test_longest_of_several_times_counts(self):
        found = decode(503, (b"Retry-After", b"2"), (b"Retry-After", b"1"))
        assert found.quiet_s == 2.0

    @pytest.mark.parametrize("status", (200, 429, 500))
    def test_other_statuses_ask_for_no_quiet(self, status):
        assert decode(status, (b"Retry-After", b"1")).quiet_s is None

    @given(st.binary(max_size=30))
    def test_time_of_any_form_is_bounded(self, value):
        quiet_s = decode(503, (b"Retry-After", value)).quiet_s
        assert quiet_s is None or 0.0 <= quiet_s <= MAX_QUIET_S


async def leave(target, stream, request):
    """Answer, and say that the target leaves."""
    body = b"served " + request.body
    await stream.send(encode_response(200, signed_headers(request, LEAVING), body))


class TestLeavingTarget:
    def counts(self, route, first_script, requests=4, registered_again=None):
        """Return how many requests each of two targets got, and the statuses."""

        async def run():
            story = GatewayHarness(route)
            targets = [StandInTarget(first_script), StandInTarget(answer_plain)]
            async with story.running(*targets, service=route.services[0].service, slots=8):
                table = story.gateway.targets
                # The other target looks worse until the first has been asked.
                table.get("i-2").paused_until_s = math.inf
                caller = await story.caller()
                statuses = [(await caller.ask(request_id=b"r0"))[0]]
                table.get("i-2").paused_until_s = 0.0
                if registered_again is not None:
                    known = table.get("i-1").registration
                    if registered_again.pop("removed", False):
                        table.remove("i-1", story.gateway.clock.now_s(), has_lapsed=False)
                    table.put(known._replace(**registered_again))
                    table.get("i-2").paused_until_s = math.inf
                caller = await story.caller()
                statuses += [
                    (await caller.ask(request_id=b"r%d" % number))[0]
                    for number in range(1, requests)
                ]
            return [len(target.received) for target in targets], statuses, story

        return run_with_timeout(run)

    @pytest.mark.parametrize("route", (SAFE, UNSAFE))
    def test_gets_no_more_calls_whatever_the_registry_says(self, route):
        (first, second), statuses, story = self.counts(route, leave)
        assert (first, second) == (1, 3) and statuses == [200] * 4
        assert [line["target"] for line in story.log.named("target_leaves")] == ["i-1"]

    def test_repeated_registration_does_not_bring_it_back(self):
        for again in ({"slots": 9}, {"removed": True}, {"draining": False}):
            (first, second), statuses, _ = self.counts(SAFE, leave, 2, again)
            assert (first, second) == (1, 0) and statuses == [200, 503]

    def test_later_start_brings_it_back(self):
        again = {"started_at_ms": 5, "removed": True}
        (first, _), statuses, _ = self.counts(SAFE, leave, 2, again)
        assert first == 2 and statuses == [200, 200]

    def test_kept_connections_are_closed(self):
        closed = []

        async def run():
            story = GatewayHarness(SAFE)

            async def script(target, stream, request):
                if len(target.received) == 2:
                    await leave(target, stream, request)
                else:
                    await answer_plain(target, stream, request)

            class Target(StandInTarget):
                async def serve(self, stream):
                    await super().serve(stream)
                    closed.append(stream)

            async with story.running(Target(script)):
                callers = [await story.caller() for _ in range(2)]
                for number, caller in enumerate(callers):
                    await caller.ask(request_id=b"r%d" % number)
                while not closed:
                    await anyio.sleep(0.01)

        run_with_timeout(run)

    def test_stream_goes_on_and_is_resumed_elsewhere(self):
        async def script(target, stream, request):
            first = int(dict(request.headers).get(b"Last-Event-Id", b"0")) + 1
            headers = signed_headers(request, LEAVING) if first == 1 else signed_headers(request)
            await stream.send(encode_response_head(200, headers, CHUNKED))
            for number in range(first, 6):
                await stream.send(encode_chunk(event(number)))
                if first == 1 and number == 3:
                    raise EndConnection
            await stream.send(LAST_CHUNK)

        async def run():
            story = GatewayHarness(RESUMABLE)
            async with story.running(StandInTarget(script), StandInTarget(script), service="model"):
                return await (await story.caller()).ask()

        status, _, body = run_with_timeout(run)
        assert (status, body) == (200, b"".join(map(event, range(1, 6))))


class TestQuietTarget:
    def test_gets_no_calls_until_the_time_is_over(self):
        arrivals = []

        async def script(target, stream, request):
            arrivals.append(anyio.current_time())
            if len(arrivals) == 1:
                await stream.send(quiet(request, b"0.6"))
            else:
                await answer_plain(target, stream, request)

        async def run():
            story = GatewayHarness(make_route(timeout_s=4.0, max_targets=1))
            async with story.running(StandInTarget(script)):
                caller = await story.caller()
                statuses = [(await caller.ask(request_id=b"r%d" % n))[0] for n in range(3)]
            return statuses, story.log.named("target_quiet")

        statuses, lines = run_with_timeout(run)
        assert statuses == [503, 200, 200]
        assert arrivals[1] - arrivals[0] >= 0.6
        assert [line["quiet_ms"] for line in lines] == [600]

    def test_call_goes_to_a_target_that_wants_it(self):
        async def script(target, stream, request):
            await stream.send(quiet(request, b"5"))

        async def run():
            story = GatewayHarness(SAFE)
            targets = [StandInTarget(script), StandInTarget(answer_plain)]
            async with story.running(*targets):
                caller = await story.caller()
                statuses = [(await caller.ask(request_id=b"r%d" % n))[0] for n in range(6)]
            return statuses, len(targets[0].received)

        statuses, refused = run_with_timeout(run)
        assert statuses == [200] * 6 and refused <= 1

    def test_longer_quiet_than_a_call_may_wait_refuses_it_at_once_with_the_least_time(self):
        async def script(target, stream, request):
            seconds = b"2.5" if target is targets[0] else b"9"
            await stream.send(quiet(request, seconds))

        targets = [StandInTarget(script), StandInTarget(script)]

        async def run():
            story = GatewayHarness(make_route(timeout_s=20.0, max_targets=2))
            async with story.running(*targets):
                caller = await story.caller()
                await caller.ask(request_id=b"r1")
                started_s = anyio.current_time()
                status, headers, _ = await caller.ask(request_id=b"r2")
                return status, float(headers[b"Retry-After"]), anyio.current_time() - started_s

        status, retry_after_s, waited_s = run_with_timeout(run)
        # The caller's deadline is 5 s; it is told a third of the time that it has left at most.
        assert status == 503 and waited_s < 1.0
        assert retry_after_s == pytest.approx(min(2.5, 0.3 * 5.0), abs=0.2)

    def test_moment_of_all_targets_is_no_outage(self):
        """Calls wait for the first target that wants calls again, and none is lost."""

        async def script(target, stream, request):
            if len(target.received) <= 2:
                await stream.send(quiet(request, b"0.5"))
            else:
                await answer_plain(target, stream, request)

        async def run():
            story = GatewayHarness(make_route(timeout_s=4.0, max_targets=2))
            statuses = []

            async def ask(number):
                caller = await story.caller()
                statuses.append((await caller.ask(request_id=b"r%d" % number))[0])

            targets = StandInTarget(script), StandInTarget(script)
            async with story.running(*targets), anyio.create_task_group() as tasks:
                for number in range(40):
                    tasks.start_soon(ask, number)
                    await anyio.sleep(0.02)
            return statuses

        statuses = run_with_timeout(run)
        assert statuses.count(200) >= 36 and set(statuses) <= {200, 503}

    def test_repeated_registration_does_not_end_it(self):
        async def run():
            table = GatewayHarness().gateway.targets
            table.put(make_registration())
            table.get("i-1").quiet_until_s = 1e9
            table.remove("i-1", 0.0, has_lapsed=False)
            table.put(make_registration())
            assert not table.get("i-1").accepts_calls(1.0)
            table.remove("i-1", 0.0, has_lapsed=False)
            table.put(make_registration(started_at_ms=5))
            assert table.get("i-1").accepts_calls(1.0)

        run_with_timeout(run)
