import os

import anyio
import pytest
from anyio.abc import SocketAttribute

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response_head,
)
from guavawalk.connection.tasks.serve_caller import serve_caller
from guavawalk.version.routes import CallerLimits, Quota
from soak.standins import (
    CHUNKED,
    Caller,
    StandInTarget,
    answer_failure,
    answer_not_run,
    answer_plain,
    answer_stream,
    break_stream,
    close_without_answer,
    event,
    listen,
    signed_headers,
    stay_silent,
)
from tests.gateway_calls import PLAN, RESUMABLE, SAFE, UNSAFE, make_table
from tests.gateway_standins import GatewayHarness, ask_once, run_with_timeout


async def stay_silent_after_an_event(target, stream, request):
    """Send the first event of a stream, then nothing until the gateway closes the connection."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    await stream.send(encode_chunk(event(1)))
    await stay_silent(target, stream, request)


class TestRefusals:
    def assert_refused(self, status, code=None, table=None, **request):
        async def run():
            story = GatewayHarness(SAFE)
            if table is not None:
                story.gateway.routes.replace(table)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                answer = await caller.ask(**request)
            return story, answer

        story, answer = run_with_timeout(run)
        assert answer[0] == status
        assert code is None or story.code() == code
        return answer

    def test_unknown_path(self):
        self.assert_refused(404, "NOT_FOUND", path=b"/y/")

    def test_unknown_key(self):
        table = make_table(SAFE, version=5)._replace(workspaces_by_key={})
        self.assert_refused(401, "UNAUTHENTICATED", table)

    def test_header_that_can_not_be_read(self):
        self.assert_refused(400, headers=[(b"Token-Count", b"x")])

    def test_over_the_quota(self):
        table = make_table(SAFE, version=5, quota=Quota(0.1, 0.0, True, 5))

        async def run():
            story = GatewayHarness(SAFE)
            story.gateway.routes.replace(table)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                return [await caller.ask() for _ in range(3)]

        first, *others = run_with_timeout(run)
        assert first[0] == 200
        assert [(status, float(headers[b"Retry-After"]) > 0) for status, headers, _ in others] == [
            (429, True)
        ] * 2

    def test_call_that_did_not_run_is_refunded_to_the_quota(self):
        async def run():
            story = GatewayHarness(SAFE)
            story.gateway.routes.replace(
                make_table(SAFE, version=5, quota=Quota(0.1, 0.0, True, 5))
            )
            async with story.running(StandInTarget(answer_not_run)):
                caller = await story.caller()
                return [(await caller.ask())[0] for _ in range(3)]

        assert run_with_timeout(run) == [503, 503, 503]

    def test_no_routes_known_yet(self):
        async def run():
            story = GatewayHarness(SAFE)
            story.gateway.routes.table = story.gateway.routes.table._replace(version=0)
            async with story.running():
                return await (await story.caller()).ask()

        status, headers, _ = run_with_timeout(run)
        assert status == 503 and b"Retry-After" in headers

    def test_call_that_crashed_two_targets(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                assert (await caller.ask(body=b"bad"))[0] == 200
                suspects, log = story.gateway.suspects, story.log
                fingerprint = fingerprint_of(story, b"bad")
                now_s = story.gateway.clock.now_s()
                suspects.record_target_death(fingerprint, "i-1", now_s - 1.0)
                suspects.record_target_death(fingerprint, "i-2", now_s)
                return await caller.ask(body=b"bad"), await caller.ask(body=b"good"), log

        blocked, served, _ = run_with_timeout(run)
        assert (blocked[0], served[0]) == (503, 200)

    def test_unreadable_request_is_answered_and_closed(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                await caller.stream.send(b"POST /x/ HTTP/1.1\r\nContent-Length: 1\r\n")
                await caller.stream.send(b"Content-Length: 2\r\n\r\nab")
                answer = await caller.answer()
                with pytest.raises(anyio.EndOfStream):
                    await caller.stream.receive()
            return answer, story.log.named("call_rejected")

        (status, headers, _), lines = run_with_timeout(run)
        assert (status, headers[b"Connection"]) == (400, b"close")
        assert lines and lines[0]["reason"]

    def test_body_over_the_limit(self):
        limits = CallerLimits(body_bytes=10)
        self.assert_refused(413, table=make_table(SAFE, version=5, limits=limits), body=b"x" * 11)


class TestExplaining:
    """The log of a failed call has all its steps under the request id."""

    def chain(self, story):
        return [
            (name, fields) for name, fields in story.log.lines if fields.get("trace_id") == "r1"
        ]

    def test_stream_that_ended_half_way(self):
        story, _, _ = ask_once(PLAN, break_stream)
        (sent_name, sent), (ended_name, ended), (end_name, end) = self.chain(story)
        assert (sent_name, ended_name, end_name) == (
            "call_sent",
            "call_attempt_ended",
            "call_ended",
        )
        assert sent["target"] == "i-1" and sent["routes_version"] == 1
        assert (ended["result"], ended["next"]) == ("lost", "break")
        assert (end["code_name"], end["events"], end["is_whole"]) == ("TARGET_LOST", 2, False)

    @pytest.mark.parametrize(
        ("scripts", "reason"),
        [
            ([break_stream], "NO_TARGET: no target may serve this now"),
            ([break_stream, break_stream], ""),
            ([stay_silent_after_an_event], "the deadline passed"),
        ],
    )
    def test_reason_of_a_stream_that_broke_off_is_logged(self, scripts, reason):
        story, _, answer = ask_once(RESUMABLE, *scripts)
        end = self.chain(story)[-1][1]
        assert answer is None and (end["code_name"], end["reason"]) == ("TARGET_LOST", reason)

    @pytest.mark.parametrize("script", [stay_silent, stay_silent_after_an_event])
    def test_call_that_a_stop_cuts_off_leaves_one_line(self, script):
        async def run():
            story, target = GatewayHarness(PLAN), StandInTarget(script)
            async with story.running(target, service="model"):
                caller = await story.caller()
                await caller.send()
                while not target.received:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.05)
            return story

        story = run_with_timeout(run)
        (end,) = story.log.named("call_ended")
        assert (end["code_name"], end["is_whole"]) == ("CUT_OFF", False)
        assert end["reason"] == "the process ends"
        assert 'calls_total{code="CUT_OFF"} 1' in story.gateway.metrics.render()

    def test_unsafe_call_without_an_answer(self):
        story, _, _ = ask_once(UNSAFE, close_without_answer)
        (_, sent), (_, ended), (_, end) = self.chain(story)
        assert sent["left_ms"] > 0
        assert (ended["result"], ended["next"], ended["may_retry"]) == ("lost", "fail", True)
        assert (end["code_name"], end["status"]) == ("TARGET_LOST", 502)

    def test_refused_by_the_target(self):
        story, _, _ = ask_once(UNSAFE._replace(max_targets=1), answer_not_run)
        (_, _), (_, ended), (_, end) = self.chain(story)
        assert (ended["result"], ended["detail"]) == ("not run", "HTTP 503")
        assert (end["code_name"], end["status"]) == ("QUEUE_FULL", 503)

    def test_refused_over_the_quota(self):
        async def run():
            story = GatewayHarness(SAFE)
            quota = Quota(0.1, 0.0, True, 5)
            story.gateway.routes.replace(make_table(SAFE, version=5, quota=quota))
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                await caller.ask(request_id=b"r0")
                await caller.ask()
            return story

        ((name, refused),) = self.chain(run_with_timeout(run))
        assert name == "call_refused"
        assert (refused["code_name"], refused["status"]) == ("LIMIT_TOKENS", 429)
        assert refused["retry_after_ms"] > 0 and "workspace w" in refused["reason"]
        assert refused["routes_version"] == 5


class PartsCollector:
    """A stream that keeps what is sent."""

    def __init__(self):
        self.sent = []

    async def send(self, data):
        self.sent.append(data)


class TestDraining:
    def test_answers_announce_the_close(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                await caller.ask()
                story.gateway.callers.is_draining = True
                _, headers, _ = await caller.ask()
                with pytest.raises(anyio.EndOfStream):
                    await caller.stream.receive()
            return headers

        assert run_with_timeout(run)[b"Connection"] == b"close"

    def test_idle_connections_close(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                await caller.ask()
                await anyio.sleep(0.05)
                story.gateway.callers.close_idle()
                with pytest.raises(anyio.EndOfStream):
                    await caller.stream.receive()

        run_with_timeout(run)

    @pytest.mark.parametrize("is_refusing", [False, True])
    @pytest.mark.parametrize(
        ("is_first_earlier", "is_begun"), [(False, False), (True, False), (True, True)]
    )
    def test_request_that_was_read_behind_another_is_answered(
        self, is_refusing, is_first_earlier, is_begun
    ):
        async def run():
            gate = anyio.Event()

            async def stream_later(target, stream, request):
                await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
                if is_begun:
                    await stream.send(encode_chunk(event(1)))
                await gate.wait()
                await stream.send(encode_chunk(event(2)) + LAST_CHUNK)

            story = GatewayHarness(PLAN)
            target = StandInTarget(stream_later)
            async with story.running(target, service="model"):
                caller = await story.caller()
                story.gateway.callers.is_draining = not is_first_earlier
                await caller.send(request_id=b"r1")
                while not target.received:
                    await anyio.sleep(0.01)
                # The gateway reads the second request while the first runs.
                await anyio.sleep(0.1)
                story.gateway.callers.is_draining = True
                story.gateway.callers.is_refusing = is_refusing
                await caller.send(request_id=b"r2")
                await anyio.sleep(0.1)
                gate.set()
                return [await caller.answer() for _ in range(2)]

        (first, first_headers, _), (second, headers, _) = run_with_timeout(run)
        assert first == 200 and b"Connection" not in first_headers
        assert second == (503 if is_refusing else 200) and headers[b"Connection"] == b"close"

    def test_call_that_waits_is_not_sent_after_the_end_of_all_calls(self):
        async def run():
            gate = anyio.Event()

            async def wait(target, stream, request):
                await gate.wait()
                await answer_plain(target, stream, request)

            story, target = GatewayHarness(UNSAFE), StandInTarget(wait)
            async with story.running(target, slots=1):
                callers = [await story.caller() for _ in range(3)]
                for sent, caller in enumerate(callers, 1):
                    await caller.send(request_id=b"r%d" % sent)
                    while story.gateway.callers.calls < sent or len(target.received) < min(sent, 2):
                        await anyio.sleep(0.01)
                story.gateway.callers.end_calls()
                # Slots become free while the calls end.
                gate.set()
                answers = [await caller.answer() for caller in callers]
                await anyio.sleep(0.1)
            return answers, len(target.received), story.log.named("call_ended")

        answers, received, ends = run_with_timeout(run)
        assert [status for status, _, _ in answers] == [502, 502, 503] and received == 2
        assert all(headers[b"Connection"] == b"close" for _, headers, _ in answers)
        assert b"Retry-After" in answers[2][1]
        assert sorted(end["code_name"] for end in ends) == ["DRAINING"] + 2 * ["OUTCOME_UNKNOWN"]

    def test_call_gets_the_failure_of_its_first_target_at_the_end_of_all_calls(self):
        async def run():
            story = GatewayHarness(SAFE)
            targets = []

            async def fail_first(target, stream, request):
                is_first = sum(len(target.received) for target in targets) == 1
                await (answer_failure if is_first else stay_silent)(target, stream, request)

            targets += [StandInTarget(fail_first) for _ in range(2)]
            async with story.running(*targets):
                caller = await story.caller()
                await caller.send()
                while not all(target.received for target in targets):
                    await anyio.sleep(0.01)
                story.gateway.callers.end_calls()
                return await caller.answer()

        status, headers, body = run_with_timeout(run)
        assert (status, headers[b"Server-Stamp"], body) == (500, b"stamp", b"sorry")

    @pytest.mark.parametrize("use_uvloop", [False, True])
    @pytest.mark.parametrize("comes_before", [True, False])
    def test_request_that_is_not_read_yet_is_not_taken_as_an_idle_connection(
        self, use_uvloop, comes_before
    ):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                await caller.ask()
                await anyio.sleep(0.05)
                parts = PartsCollector()
                await Caller(parts).send(body=b"late")
                raw = caller.stream.extra(SocketAttribute.raw_socket)
                # The event loop reads nothing between these calls.
                if comes_before:
                    os.write(raw.fileno(), b"".join(parts.sent))
                story.gateway.callers.is_draining = story.gateway.callers.is_refusing = True
                story.gateway.callers.close_idle()
                if not comes_before:
                    os.write(raw.fileno(), b"".join(parts.sent))
                with anyio.fail_after(10):
                    return await caller.answer()

        status, headers, _ = anyio.run(run, backend_options={"use_uvloop": use_uvloop})
        assert status == 503 and headers[b"Connection"] == b"close"

    def test_request_that_the_event_loop_has_read_is_not_taken_as_an_idle_connection(self):
        class StreamWithQueue:
            """The wait is ended while bytes read from the socket are in the stream's queue."""

            def __init__(self, stream, story):
                self._stream = stream
                self._story = story
                self._queue = []

            def __getattr__(self, name):
                return getattr(self._stream, name)

            async def receive(self, max_bytes):
                if not self._queue:
                    self._queue.append(await self._stream.receive(max_bytes))
                    self._story.gateway.callers.is_refusing = True
                    self._story.gateway.callers.close_idle()
                await anyio.sleep(0.003)
                return self._queue.pop()

        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):

                async def serve(stream):
                    await serve_caller(story.gateway, StreamWithQueue(stream, story))

                listener, address = await listen(serve)
                story.tasks.start_soon(listener.serve, serve)
                host, port = address.split(":")
                caller = Caller(await anyio.connect_tcp(host, int(port)))
                return (await caller.ask(body=b"late"))[0]

        assert run_with_timeout(run) == 503

    def test_calls_that_come_too_late_are_refused_and_those_under_way_end(self):
        async def run():
            gate = anyio.Event()

            async def wait(target, stream, request):
                await gate.wait()
                await answer_plain(target, stream, request)

            story = GatewayHarness(SAFE._replace(max_targets=1))
            target = StandInTarget(wait)
            async with story.running(target):
                early, late = await story.caller(), await story.caller()
                await early.send(body=b"early")
                while not target.received:
                    await anyio.sleep(0.01)
                story.gateway.callers.is_draining = story.gateway.callers.is_refusing = True
                refused = await late.ask(body=b"late")
                gate.set()
                return refused, await early.answer()

        refused, served = run_with_timeout(run)
        assert refused[0] == 503 and refused[1][b"Connection"] == b"close"
        assert served[2] == b"served early"

    @pytest.mark.parametrize(("hint", "status"), [(b"100000", 503), (b"5", 200)])
    def test_long_answer_is_not_accepted_shortly_before_the_end(self, hint, status):
        async def run():
            route = PLAN._replace(timeout_s=15.0)
            story = GatewayHarness(route)
            target = StandInTarget(answer_stream)
            async with story.running(target, service="model"):
                callers = story.gateway.callers
                callers.is_draining = True
                callers.ends_s = story.gateway.clock.now_s() + 4.0
                answer = await (await story.caller()).ask(headers=[(b"Length-Hint", hint)])
            return answer, target.received

        (found, headers, _), received = run_with_timeout(run)
        assert found == status and headers[b"Connection"] == b"close"
        assert len(received) == (status == 200)
        assert status == 200 or float(headers[b"Retry-After"]) == 0


def fingerprint_of(story, body):
    """Return the fingerprint of calls with this body."""
    from guavawalk.platform.requests import decode_call
    from guavawalk.request.admission import admit_call

    headers = [(b"Host", b"a.example"), (b"Request-Id", b"r1"), (b"Authorization", b"Bearer k1")]
    table = story.gateway.routes.table
    call = admit_call(table, decode_call(headers), "POST", b"/x/1", body, 0.0)
    return call.fingerprint
