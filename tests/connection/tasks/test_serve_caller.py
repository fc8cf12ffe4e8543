import errno
import socket
from collections import defaultdict
from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from guavawalk.connection import streams
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.tasks.target_exchange import TargetExchange
from guavawalk.exception import TargetLost
from soak.standins import (
    CHUNKED,
    EndConnection,
    StandInTarget,
    answer_failure,
    answer_misdirected,
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
from tests.gateway_calls import PLAN, RESUMABLE, SAFE, UNSAFE, make_registration
from tests.gateway_standins import (
    GatewayHarness,
    ask_once,
    connect_slow_reader,
    run_with_timeout,
)


async def break_first(target, stream, request):
    """Break off a stream that starts at its beginning, and serve a resumed one to its end."""
    is_resumed = b"Last-Event-Id" in dict(request.headers)
    await (answer_stream if is_resumed else break_stream)(target, stream, request)


async def pause_stream(target, stream, request, pause_s=1.2):
    """Send some events, pause for longer than the silence limit, and send the rest."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, 6):
        await stream.send(encode_chunk(event(number)))
        if number == 2:
            await anyio.sleep(pause_s)
    await stream.send(LAST_CHUNK)


async def pause_answer(target, stream, request):
    """Begin to answer after longer than the silence limit of any route."""
    await anyio.sleep(1.2)
    is_stream = request.body == b"stream"
    await (answer_stream if is_stream else answer_plain)(target, stream, request)


def in_turn(first, other):
    """Return a script that runs `first` for the first request at any target, then `other`."""
    requests = []

    async def script(target, stream, request):
        requests.append(request)
        await (first if len(requests) == 1 else other)(target, stream, request)

    return script


async def stall_stream(target, stream, request):
    """Send some events, then keep the connection open without sending more."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, 3):
        await stream.send(encode_chunk(event(number)))
    await stay_silent(target, stream, request)


async def stall_with_comments(target, stream, request):
    """Send some events, then only comments, which complete no event."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, 3):
        await stream.send(encode_chunk(event(number)))
    while True:
        await stream.send(encode_chunk(b": alive\n"))
        await anyio.sleep(0.2)


def refusal_of(request, has_id):
    """Return the answer by which a full target refuses a request."""
    headers = [(b"Not-Executed", b"1")]
    if has_id:
        headers.append((b"Request-Id", dict(request.headers)[b"Request-Id"]))
    return encode_response(503, headers)


class TestLateAnswers:
    """Second answers to an earlier request, on a connection that is in use again."""

    @pytest.mark.parametrize("pieces", [1, 2])
    @pytest.mark.parametrize("has_id", [True, False])
    def test_second_answer_is_not_taken_for_that_of_the_next_request(self, pieces, has_id):
        async def script(target, stream, request):
            if len(target.received) > 1:
                headers = (*signed_headers(target.received[0])[not has_id :],)
                late = encode_response(200, headers, b"late")
                size = -(-len(late) // pieces)
                for start in range(0, len(late), size):
                    await stream.send(late[start : start + size])
                    await anyio.sleep(0.02)
            await answer_plain(target, stream, request)

        async def run():
            harness = GatewayHarness(SAFE)
            target = StandInTarget(script)
            async with harness.running(target):
                caller = await harness.caller()
                answers = [
                    await caller.ask(body=body, request_id=b"r" + body) for body in (b"1", b"2")
                ]
            assert harness.gateway.connections.opened == 1
            return answers

        assert [answer[::2] for answer in run_with_timeout(run)] == [
            (200, b"served 1"),
            (200, b"served 2"),
        ]

    @pytest.mark.parametrize("has_id", [True, False])
    @pytest.mark.parametrize("route", [SAFE, RESUMABLE])
    def test_repeated_refusal_does_not_say_that_a_running_request_has_not_run(self, route, has_id):
        async def script(target, stream, request):
            if request.body == b"1":
                await stream.send(refusal_of(request, has_id=True))
            else:
                await stream.send(refusal_of(target.received[0], has_id))
                await anyio.sleep(0.1)
                answer = answer_stream if route is RESUMABLE else answer_plain
                await answer(target, stream, request)

        async def run():
            harness = GatewayHarness(route)
            target = StandInTarget(script)
            async with harness.running(target, service=route.services[0].service):
                caller = await harness.caller()
                answers = [
                    await caller.ask(body=body, request_id=b"r" + body) for body in (b"1", b"2")
                ]
            return [answer[0] for answer in answers], harness.gateway.connections.opened

        (first, second), opened = run_with_timeout(run)
        assert first == 503
        assert second == 200 if has_id else second not in (429, 503)

    def test_refusal_of_a_request_with_the_same_id_is_not_taken_for_that_of_the_next(self):
        async def script(target, stream, request):
            if len(target.received) == 1:
                await stream.send(refusal_of(request, has_id=True))
            else:
                if dict(request.headers)[b"Request-Id"] in target.ids_by_stream[stream]:
                    await stream.send(refusal_of(request, has_id=True))
                await answer_plain(target, stream, request)
            target.ids_by_stream[stream].add(dict(request.headers)[b"Request-Id"])

        async def run():
            harness = GatewayHarness(SAFE)
            target = StandInTarget(script)
            target.ids_by_stream = defaultdict(set)
            async with harness.running(target):
                caller = await harness.caller()
                return [(await caller.ask(request_id=b"r1"))[0] for _ in range(2)]

        assert run_with_timeout(run) == [503, 200]

    def test_connection_with_the_beginning_of_a_second_answer_is_not_used_again(self):
        async def script(target, stream, request):
            await answer_plain(target, stream, request)
            await stream.send(b"HTTP/1.1 200 OK\r\nRequest-")

        async def run():
            harness = GatewayHarness(SAFE)
            async with harness.running(StandInTarget(script)):
                caller = await harness.caller()
                for number in range(3):
                    answer = await caller.ask(body=b"%d" % number, request_id=b"r%d" % number)
                    assert answer[::2] == (200, b"served %d" % number)
                    await anyio.sleep(0.05)
            return harness.gateway.connections.opened

        assert run_with_timeout(run) == 3

    def test_answer_to_a_cancelled_request_reaches_no_other_call(self):
        async def script(target, stream, request):
            if len(target.received) == 1:
                await anyio.sleep(0.3)
            await answer_plain(target, stream, request)

        async def run():
            harness = GatewayHarness(SAFE)
            target = StandInTarget(script)
            async with harness.running(target):
                leaving = await harness.caller()
                await leaving.send(body=b"1", request_id=b"r1")
                while not target.received:
                    await anyio.sleep(0.01)
                await leaving.stream.aclose()
                await anyio.sleep(0.1)
                caller = await harness.caller()
                return await caller.ask(body=b"2", request_id=b"r2")

        assert run_with_timeout(run)[::2] == (200, b"served 2")


class TestStalledStreams:
    def test_stream_of_comments_is_resumed_at_another_target(self):
        async def script(target, stream, request):
            is_resumed = b"Last-Event-Id" in dict(request.headers)
            await (answer_stream if is_resumed else stall_with_comments)(target, stream, request)

        _, targets, answer = ask_once(RESUMABLE, script, script)
        assert answer[::2] == (200, b"".join(map(event, range(1, 6))))
        assert sum(len(target.received) for target in targets) == 2

    def test_stream_of_comments_ends_at_the_deadline(self):
        harness, _, answer = ask_once(PLAN, stall_with_comments)
        assert answer is None and harness.code() == "TARGET_LOST"

    def test_paused_stream_is_not_lost_where_the_other_target_rejects_it(self):
        async def script(target, stream, request):
            is_resumed = b"Last-Event-Id" in dict(request.headers)
            await (answer_not_run if is_resumed else pause_stream)(target, stream, request)

        _, _, answer = ask_once(RESUMABLE, script, script)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))

    def test_slow_events_are_no_silence_at_a_slow_target(self):
        async def script(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            for number in range(1, 4):
                await stream.send(encode_chunk(event(number)))
                await anyio.sleep(1.2)
            await stream.send(LAST_CHUNK)

        async def run():
            route = RESUMABLE._replace(timeout_s=8.0)
            harness = GatewayHarness(route)
            targets = [StandInTarget(script) for _ in range(2)]
            async with harness.running(*targets, service="model"):
                for target in harness.gateway.targets:
                    target.slowness.value = 100.0
                    target.slowness.count = 1
                answer = await (await harness.caller()).ask()
            return targets, answer

        targets, answer = run_with_timeout(run)
        assert answer[::2] == (200, b"".join(map(event, range(1, 4))))
        assert sum(len(target.received) for target in targets) == 1


class TestSilentTargets:
    @pytest.mark.parametrize("other", [answer_not_run, answer_misdirected, close_without_answer])
    def test_paused_stream_is_not_lost_where_it_can_not_go_on(self, other):
        script = in_turn(pause_stream, other)
        _, _, answer = ask_once(RESUMABLE, script, script)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))

    @pytest.mark.parametrize("other", [answer_not_run, close_without_answer])
    @pytest.mark.parametrize(
        ("route", "body", "expected"),
        [
            (SAFE, b"plain", b"served plain"),
            (RESUMABLE, b"stream", b"".join(map(event, range(1, 6)))),
        ],
    )
    def test_late_answer_is_not_lost_where_another_target_gives_none(
        self, other, route, body, expected
    ):
        script = in_turn(pause_answer, other)
        _, _, answer = ask_once(route, script, script, body=body)
        assert answer[::2] == (200, expected)

    def test_paused_stream_is_not_lost_where_the_other_target_accepts_no_connection(self):
        async def run():
            harness = GatewayHarness(RESUMABLE)
            async with harness.running(StandInTarget(pause_stream), service="model"):
                caller = await harness.caller()
                await caller.send()
                head = await caller.reader.read_head()
                listener, address = await listen(None)
                await listener.aclose()
                harness.gateway.targets.put(make_registration("i-9", "model", address))
                return head.status, await caller.reader.read_body(1_000)

        assert run_with_timeout(run) == (200, b"".join(map(event, range(1, 6))))

    def test_target_that_goes_on_soon_is_kept_and_the_other_cancelled(self):
        script = in_turn(partial(pause_stream, pause_s=1.0), stay_silent)
        _, targets, answer = ask_once(RESUMABLE, script, script)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))
        assert sum(len(target.disconnected) for target in targets) == 1

    def test_stream_goes_on_elsewhere_if_its_target_ends_while_the_other_begins(self):
        async def pause_and_break(target, stream, request):
            await break_stream_after(stream, request, 1.2)

        async def resume_late(target, stream, request):
            await anyio.sleep(0.6)
            await answer_stream(target, stream, request)

        script = in_turn(pause_and_break, resume_late)
        _, targets, answer = ask_once(RESUMABLE, script, script)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))
        assert sum(len(target.received) for target in targets) == 2

    def test_third_target_is_asked_where_two_are_silent(self):
        route = RESUMABLE._replace(max_targets=3, timeout_s=8.0)
        served = []

        async def script(target, stream, request):
            served.append(target)
            await (stay_silent if len(served) < 3 else answer_stream)(target, stream, request)

        _, _, answer = ask_once(route, script, script, script)
        assert answer[::2] == (200, b"".join(map(event, range(1, 6))))
        assert len(set(served)) == 3

    def test_two_targets_do_not_both_keep_a_stream(self):
        ends = {}

        async def stall(target, stream, request):
            try:
                await stall_stream(target, stream, request)
            finally:
                ends["first"] = anyio.current_time()

        async def accept(target, stream, request):
            ends["other"] = anyio.current_time()
            await anyio.sleep(2.5)
            await answer_stream(target, stream, request)

        route = RESUMABLE._replace(timeout_s=8.0)
        script = in_turn(stall, accept)
        _, _, answer = ask_once(route, script, script)
        assert answer[2] == b"".join(map(event, range(1, 6)))
        assert ends["first"] - ends["other"] < 1.5

    def test_stream_stays_where_the_other_target_breaks_off_at_once(self):
        async def begin_and_break(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            raise EndConnection

        script = in_turn(pause_stream, begin_and_break)
        _, _, answer = ask_once(RESUMABLE, script, script)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))

    def test_truncated_answer_of_the_other_target_does_not_replace_a_late_one(self):
        script = in_turn(pause_answer, truncate_answer)
        _, _, answer = ask_once(SAFE, script, script, body=b"plain")
        assert answer[::2] == (200, b"served plain")

    @pytest.mark.parametrize("kind", ["unsigned", "truncated", "failed", "rejected"])
    def test_bad_answer_of_a_silent_target_does_not_end_the_other_request(self, kind):
        async def answer_badly(target, stream, request):
            await anyio.sleep(0.6)
            match kind:
                case "unsigned":
                    await stream.send(encode_response(200, (), b"forged"))
                case "truncated":
                    await truncate_answer(target, stream, request)
                case "failed":
                    await answer_failure(target, stream, request)
                case "rejected":
                    await answer_not_run(target, stream, request)

        async def answer_late(target, stream, request):
            await anyio.sleep(0.7)
            await answer_plain(target, stream, request)

        script = in_turn(answer_badly, answer_late)
        _, _, answer = ask_once(SAFE, script, script, body=b"plain")
        assert answer[::2] == (200, b"served plain")

    @pytest.mark.parametrize("first", [stay_silent, close_without_answer])
    def test_failure_of_the_other_target_is_not_replaced_by_an_unknown_outcome(self, first):
        script = in_turn(first, answer_failure)
        _, _, answer = ask_once(SAFE, script, script)
        assert answer[::2] == (500, b"sorry")

    def test_unsigned_answer_of_the_other_target_does_not_replace_a_late_one(self):
        async def unsigned(target, stream, request):
            await stream.send(encode_response(200, (), b"forged"))

        script = in_turn(pause_answer, unsigned)
        _, _, answer = ask_once(SAFE, script, script, body=b"plain")
        assert answer[::2] == (200, b"served plain")

    @pytest.mark.parametrize("leaves", [True, False])
    def test_both_requests_end_with_the_caller_and_at_the_deadline(self, leaves):
        async def run():
            harness = GatewayHarness(RESUMABLE)
            targets = [StandInTarget(stay_silent) for _ in range(2)]
            async with harness.running(*targets, service="model"):
                caller = await harness.caller()
                await caller.send()
                while not all(target.received for target in targets):
                    await anyio.sleep(0.01)
                if leaves:
                    await caller.stream.aclose()
                while not all(target.disconnected for target in targets):
                    await anyio.sleep(0.01)
                while harness.gateway.callers.calls:
                    await anyio.sleep(0.01)
            return harness

        harness = run_with_timeout(run)
        assert [target.running for target in harness.gateway.targets] == [0, 0]
        assert harness.code() == ("CALLER_LEFT" if leaves else "LINK_LOST")


async def truncate_answer(target, stream, request):
    """Send the beginning of an answer, and close the connection."""
    head = encode_response_head(200, signed_headers(request), (b"Content-Length", b"9"))
    await stream.send(head + b"par")
    raise EndConnection


async def break_stream_after(stream, request, pause_s):
    """Send two events, pause, and close the connection."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, 3):
        await stream.send(encode_chunk(event(number)))
    await anyio.sleep(pause_s)
    raise EndConnection


class TestAnswersAtTheDeadline:
    """The deadline passes while an answer is ready, or is being sent."""

    SHORT = SAFE._replace(timeout_s=0.5, max_targets=1)
    SHORT_PLAN = PLAN._replace(timeout_s=0.5)

    def ask(self, monkeypatch, method, route, script):
        """Ask through a gateway that gets no processor from `method` until the deadline."""
        send = getattr(CallerAnswer, method)

        async def send_late(answer, *args):
            with anyio.CancelScope(shield=True):
                await anyio.sleep(route.timeout_s)
            await send(answer, *args)

        monkeypatch.setattr(CallerAnswer, method, send_late)
        return ask_once(route, script)

    @pytest.mark.parametrize("script", [answer_plain, answer_failure])
    def test_answer_that_is_ready_is_sent(self, monkeypatch, script):
        story, _, answer = self.ask(monkeypatch, "send_complete", self.SHORT, script)
        (end,) = story.log.named("call_ended")
        assert answer is not None and answer[2] in (b"served ", b"sorry")
        assert end["is_whole"] and end["code_name"] in ("COMPLETED", "TARGET_ERROR")

    def test_stream_of_which_only_the_end_is_left_is_completed(self, monkeypatch):
        _, _, answer = self.ask(monkeypatch, "finish", self.SHORT_PLAN, answer_stream)
        assert answer is not None and answer[2] == b"".join(map(event, range(1, 6)))

    def test_stream_of_which_nothing_was_sent_has_an_answer(self, monkeypatch):
        _, _, answer = self.ask(monkeypatch, "begin", self.SHORT_PLAN, answer_stream)
        assert answer is not None and answer[0] == 504

    @pytest.mark.parametrize("is_stream", [False, True])
    def test_caller_that_does_not_read_ends_soon_after(self, is_stream):
        async def script(target, stream, request):
            body = b"id: 1\ndata: %s\n\n" % bytes(200_000)
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            for _ in range(20):
                await stream.send(encode_chunk(body))
            await stream.send(LAST_CHUNK)

        async def run():
            route = self.SHORT_PLAN if is_stream else self.SHORT
            story = GatewayHarness(route)
            service = route.services[0].service
            async with story.running(StandInTarget(script), service=service):
                caller = connect_slow_reader(story.address)
                await caller.send()
                while not story.log.named("call_ended"):
                    await anyio.sleep(0.01)
                (end,) = story.log.named("call_ended")
                while story.gateway.callers.connections:
                    await anyio.sleep(0.01)
            return end

        end = run_with_timeout(run)
        # The kernel would break the connection 3 s after the last acknowledgement.
        assert not end["is_whole"] and end["after_ms"] < 2500


class TestLackOfDescriptors:
    def refuse_sockets(self, monkeypatch, after):
        """Let the gateway open `after` sockets to targets, and none after that."""
        opened = []

        def open_or_fail(*args):
            opened.append(args)
            if len(opened) > after:
                raise OSError(errno.EMFILE, "too many open files")
            return socket.socket(*args)

        module = SimpleNamespace(**{**vars(socket), "socket": open_or_fail})
        monkeypatch.setattr(streams, "socket", module)

    def test_paused_stream_is_not_lost(self, monkeypatch):
        async def run():
            harness = GatewayHarness(RESUMABLE)
            targets = [StandInTarget(pause_stream) for _ in range(2)]
            async with harness.running(*targets, service="model"):
                caller = await harness.caller()
                self.refuse_sockets(monkeypatch, after=1)
                return await caller.ask()

        answer = run_with_timeout(run)
        assert answer[::2] == (200, b"".join(map(event, range(1, 6))))

    def test_call_is_refused_as_not_run(self, monkeypatch):
        async def run():
            harness = GatewayHarness(SAFE)
            async with harness.running(StandInTarget(answer_plain)):
                caller = await harness.caller()
                self.refuse_sockets(monkeypatch, after=0)
                return await caller.ask()

        assert run_with_timeout(run)[0] == 503


class TestUnexpectedErrors:
    @pytest.mark.parametrize(("method", "status"), [("send", 503), ("receive_answer", 502)])
    def test_call_gets_an_answer(self, monkeypatch, method, status):
        async def fail(exchange):
            raise ValueError("a fault of the gateway")

        async def run():
            harness = GatewayHarness(SAFE)
            async with harness.running(StandInTarget(answer_plain)):
                caller = await harness.caller()
                monkeypatch.setattr(TargetExchange, method, fail)
                answer = await caller.ask()
            return harness, answer

        harness, answer = run_with_timeout(run)
        assert answer[0] == status
        assert harness.log.named("task_failed")[0]["trace_id"] == "r1"
        assert [target.running for target in harness.gateway.targets] == [0]


class TestForwarding:
    def test_request_and_answer_pass_unchanged(self):
        _, (target,), (status, headers, body) = ask_once(
            UNSAFE, answer_plain, path=b"/x/1?q=%20", body=b"abc", headers=[(b"X-Own", b"1")]
        )
        assert (status, body, headers[b"Server-Stamp"]) == (200, b"served abc", b"stamp")
        assert (target.received[0].method, target.received[0].target) == ("POST", b"/x/1?q=%20")
        assert target.header(0, b"X-Own") == b"1"
        assert target.header(0, b"Request-Id") == b"r1"

    def test_the_target_gets_the_workspace_and_not_the_key(self):
        _, (target,), _ = ask_once(UNSAFE, answer_plain, headers=[(b"Tenant", b"forged")])
        assert target.header(0, b"Tenant") == b"w"
        assert target.header(0, b"Authorization") is None
        assert target.header(0, b"Expect-Instance") == b"i-1"

    def test_the_target_gets_no_more_time_than_is_left(self):
        _, (target,), _ = ask_once(UNSAFE, answer_plain)
        assert 0 < int(target.header(0, b"Deadline-Ms")) <= 2000

    def test_stream_passes_unchanged(self):
        _, _, (status, _, body) = ask_once(PLAN, answer_stream)
        assert (status, body) == (200, b"".join(map(event, range(1, 6))))

    def test_answer_without_length_is_forwarded(self):
        async def unframed(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), None) + b"whole")
            raise EndConnection

        _, _, (status, _, body) = ask_once(SAFE, unframed)
        assert (status, body) == (200, b"whole")

    def test_failure_of_the_target_bears_its_status_and_signature(self):
        _, _, (status, headers, body) = ask_once(UNSAFE, answer_failure)
        assert (status, headers[b"Server-Stamp"], body) == (500, b"stamp", b"sorry")

    def test_connection_serves_further_requests(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                return [(await caller.ask(body=b"%d" % n))[2] for n in range(4)]

        assert run_with_timeout(run) == [b"served %d" % n for n in range(4)]

    def test_pipelined_requests_are_answered_in_order(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                caller = await story.caller()
                for number in range(3):
                    await caller.send(body=b"%d" % number, request_id=b"r%d" % number)
                return [(await caller.answer())[2] for _ in range(3)]

        assert run_with_timeout(run) == [b"served %d" % n for n in range(3)]

    def test_body_that_looks_like_a_request_stays_a_body(self):
        inner = b"POST /x/2 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r9\r\n\r\n"
        _, (target,), _ = ask_once(UNSAFE, answer_plain, body=inner)
        assert [request.body for request in target.received] == [inner]


class TestRepeats:
    @pytest.mark.parametrize("route", [UNSAFE, PLAN])
    @pytest.mark.parametrize("script", [close_without_answer, partial(answer_failure, status=503)])
    def test_non_idempotent_call_runs_once(self, route, script):
        _, targets, (status, headers, _) = ask_once(route, script, script)
        assert sum(len(target.received) for target in targets) == 1
        assert status == 502 and b"Server-Stamp" not in headers

    def test_not_run_goes_to_another_target(self):
        story, targets, (status, _, body) = ask_once(UNSAFE, answer_not_run, answer_not_run)
        assert sum(len(target.received) for target in targets) == 2
        assert status == 503 and story.code() in ("QUEUE_FULL", "NO_TARGET")

    def test_refusal_tells_when_to_come_back(self):
        _, _, (status, headers, _) = ask_once(UNSAFE, answer_not_run)
        assert status == 503 and float(headers[b"Retry-After"]) > 0

    def test_misdirected_goes_to_another_target_and_the_first_is_left(self):
        async def run():
            story = GatewayHarness(PLAN)
            targets = StandInTarget(answer_misdirected), StandInTarget(answer_stream)
            async with story.running(*targets, service="model"):
                caller = await story.caller()
                answers = [await caller.ask() for _ in range(3)]
            return [len(target.received) for target in targets], [answer[0] for answer in answers]

        got, statuses = run_with_timeout(run)
        assert statuses == [200, 200, 200] and got == [1, 3]

    def test_refused_connection_goes_to_another_target(self):
        async def run():
            story = GatewayHarness(UNSAFE)
            async with story.running(StandInTarget(answer_plain)):
                gone = story.gateway.targets.get("i-1").registration
                story.gateway.targets.put(gone._replace(target_id="i-0", address="127.0.0.1:9"))
                caller = await story.caller()
                return [(await caller.ask())[0] for _ in range(4)]

        assert run_with_timeout(run) == [200] * 4

    @pytest.mark.parametrize("script", [close_without_answer, answer_failure, stay_silent])
    def test_safe_call_is_sent_once_more(self, script):
        story, targets, (status, _, body) = ask_once(SAFE, script, script)
        assert [len(target.received) for target in targets] == [1, 1]
        story, targets, (status, _, body) = ask_once(SAFE, script, answer_plain)
        assert (status, body) == (200, b"served ")

    def test_surplus_answer_is_skipped_and_its_connection_closed(self):
        async def doubled(target, stream, request):
            late = encode_response(200, ((b"Request-Id", b"old"), (b"Server-Stamp", b"o")), b"o")
            await stream.send(late + encode_response(200, signed_headers(request), b"own"))

        story, _, (status, _, body) = ask_once(SAFE, doubled, answer_plain)
        assert status == 200 and body in (b"own", b"served ")

    def test_unsigned_success_is_not_forwarded(self):
        async def unsigned(target, stream, request):
            await stream.send(encode_response(200, (), b"forged"))

        _, _, (status, _, body) = ask_once(UNSAFE, unsigned)
        assert (status, body) == (502, b"")

    def test_truncated_answer_is_not_forwarded_as_complete(self):
        async def cut(target, stream, request):
            head = encode_response_head(200, signed_headers(request), (b"Content-Length", b"9"))
            await stream.send(head + b"par")
            raise EndConnection

        _, _, (status, _, body) = ask_once(UNSAFE, cut)
        assert (status, body) == (502, b"")


class TestPausedTargets:
    def test_a_target_that_refuses_connections_is_paused_and_logged_once(self):
        async def run():
            story = GatewayHarness(SAFE)
            async with story.running(StandInTarget(answer_plain)):
                await register_unreachable_target(story, "i-0")
                caller = await story.caller()
                answers = [(await caller.ask())[0] for _ in range(3)]
            return story, answers

        story, answers = run_with_timeout(run)
        assert answers == [200, 200, 200]
        assert [line["target"] for line in story.log.named("target_paused")] == ["i-0"]


async def register_unreachable_target(story, target_id):
    """Register a target that accepts no connections, as the first of the table."""
    listener, address = await listen(None)
    await listener.aclose()
    others = [target.registration for target in story.gateway.targets]
    for found in others:
        story.gateway.targets.remove(found.target_id, 0.0, has_lapsed=False)
    story.gateway.targets.put(make_registration(target_id, "desk", address))
    for found in others:
        story.gateway.targets.put(found)


class TestStreams:
    def test_resumable_stream_goes_on_in_the_same_answer(self):
        _, targets, (status, _, body) = ask_once(RESUMABLE, break_first, break_first)
        assert (status, body) == (200, b"".join(map(event, range(1, 6))))
        last_ids = {target.header(0, b"Last-Event-Id") for target in targets}
        assert last_ids == {None, b"2"}

    def test_stream_goes_to_no_more_targets_than_its_route_allows(self):
        _, targets, answer = ask_once(RESUMABLE, break_stream, break_stream, break_stream)
        assert answer is None
        assert sum(len(target.received) for target in targets) == 2

    def test_other_streams_end_with_their_target(self):
        _, _, answer = ask_once(PLAN, break_stream)
        assert answer is None

    def test_incomplete_event_is_not_forwarded(self):
        async def run():
            story = GatewayHarness(PLAN)
            async with story.running(StandInTarget(break_stream), service="model"):
                caller = await story.caller()
                await caller.send()
                head = await caller.reader.read_head()
                body = b""
                with pytest.raises(TargetLost):
                    while part := await caller.reader.read_part():
                        body += part
                return head.status, body

        assert run_with_timeout(run) == (200, event(1) + event(2))

    def test_stream_reset_by_its_target_does_not_look_complete(self):
        async def cut_after_an_event(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            await stream.send(encode_chunk(event(1)))
            raise EndConnection

        _, _, answer = ask_once(PLAN, cut_after_an_event)
        assert answer is None

    def test_paused_stream_is_awaited_if_it_can_not_go_on_elsewhere(self):
        story, (target,), (status, _, body) = ask_once(RESUMABLE, pause_stream)
        assert (status, body) == (200, b"".join(map(event, range(1, 6))))
        assert len(target.received) == 1

    def test_paused_stream_goes_on_elsewhere(self):
        async def first_pauses(target, stream, request):
            is_resumed = b"Last-Event-Id" in dict(request.headers)
            await (answer_stream if is_resumed else stall_stream)(target, stream, request)

        _, targets, (status, _, body) = ask_once(RESUMABLE, first_pauses, first_pauses)
        assert (status, body) == (200, b"".join(map(event, range(1, 6))))
        assert sorted(len(target.received) for target in targets) == [1, 1]
        assert sum(len(target.disconnected) for target in targets) == 1


class TestCallersThatLeave:
    @pytest.mark.parametrize("route", [PLAN, RESUMABLE, SAFE])
    def test_the_connection_to_the_target_is_closed_at_once(self, route):
        async def run():
            story = GatewayHarness(route)
            target = StandInTarget(stay_silent)
            async with story.running(target, service=route.services[0].service):
                caller = await story.caller()
                await caller.send()
                while not target.received:
                    await anyio.sleep(0.01)
                await caller.stream.aclose()
                while not target.disconnected:
                    await anyio.sleep(0.01)
                while story.gateway.callers.calls:
                    await anyio.sleep(0.01)
            return story

        story = run_with_timeout(run)
        assert story.code() == "CALLER_LEFT"
        assert story.gateway.targets.get("i-1").running == 0

    def test_leaving_is_noticed_while_an_event_is_sent(self, monkeypatch):
        """The watch for a closed connection is disabled, so only the write can fail."""

        async def slowly(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            for number in range(1, 100):
                await stream.send(encode_chunk(event(number)))
                await anyio.sleep(0.02)

        async def never(reader):
            await anyio.sleep_forever()

        async def run():
            story = GatewayHarness(PLAN)
            async with story.running(StandInTarget(slowly), service="model"):
                caller = await story.caller()
                await caller.send()
                await caller.reader.read_head()
                await anyio.aclose_forcefully(caller.stream)
                while not story.log.named("call_ended"):
                    await anyio.sleep(0.01)
            return story

        monkeypatch.setattr(RequestReader, "wait_closed", never)
        assert run_with_timeout(run).code() == "CALLER_LEFT"


ERROR_TEXT = b"id: 3\ndata: no such thing\n\n"


def error_answers():
    """Return answers that are no continuation of a stream, by what they are."""

    def of(status, *headers, body=ERROR_TEXT, is_signed=True):
        def encode(request):
            signed = signed_headers(request) if is_signed else ()
            return encode_response(status, (*signed, *headers), body)

        return encode

    def chunked(request):
        head = encode_response_head(500, signed_headers(request), CHUNKED)
        return head + encode_chunk(ERROR_TEXT) + LAST_CHUNK

    def until_close(request):
        return b"HTTP/1.1 500 Oops\r\nConnection: close\r\n\r\n" + ERROR_TEXT

    return {
        "error": of(500),
        "error of a proxy": of(502, is_signed=False),
        "not found": of(404),
        "redirect": of(302, (b"Location", b"/")),
        "full": of(503, (b"Not-Executed", b"1")),
        "deadline": of(504),
        "misdirected": of(421, is_signed=False),
        "unsigned success": of(200, is_signed=False),
        "encoded success": of(200, (b"Content-Encoding", b"gzip")),
        "chunks": chunked,
        "until close": until_close,
        "no HTTP": lambda request: ERROR_TEXT,
        "nothing": lambda request: b"",
    }


class TestErrorWithinStream:
    """The next target answers with an error after a stream has begun and broken off."""

    def relayed(self, encode, pieces, first_script):
        """Return the events that the caller got, whether the stream ended, and the log."""

        async def answer_error(target, stream, request):
            data = encode(request)
            size = max(-(-len(data) // pieces), 1)
            for start in range(0, len(data), size):
                await stream.send(data[start : start + size])
                await anyio.sleep(0.01)
            raise EndConnection

        async def script(target, stream, request):
            if b"Last-Event-Id" in dict(request.headers):
                await answer_error(target, stream, request)
            await first_script(target, stream, request)

        async def run():
            harness = GatewayHarness(RESUMABLE)
            targets = [StandInTarget(script), StandInTarget(script)]
            async with harness.running(*targets, service="model"):
                caller = await harness.caller()
                await caller.send()
                events, has_ended = b"", True
                head = await caller.reader.read_head()
                try:
                    while part := await caller.reader.read_part():
                        events += part
                except TargetLost:
                    has_ended = False
            received = sum(len(target.received) for target in targets)
            return head.status, events, has_ended, received

        return run_with_timeout(run)

    @pytest.mark.parametrize("pieces", (1, 7))
    @pytest.mark.parametrize("name", error_answers())
    def test_error_of_the_next_target_is_no_part_of_the_stream(self, name, pieces):
        found = self.relayed(error_answers()[name], pieces, break_stream)
        assert found == (200, event(1) + event(2), False, 2)

    async def stall(target, stream, request):
        """Send two events, and then nothing."""
        await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
        await stream.send(encode_chunk(event(1) + event(2)))
        await stay_silent(target, stream, request)

    @pytest.mark.parametrize("name", ("error", "full", "unsigned success", "no HTTP", "chunks"))
    def test_error_beside_a_silent_target_is_no_part_of_the_stream(self, name):
        found = self.relayed(error_answers()[name], 1, TestErrorWithinStream.stall)
        assert found[:3] == (200, event(1) + event(2), False)
