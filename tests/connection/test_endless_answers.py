"""Servers and clients that send bytes without end until their connection is closed."""

import time
import tracemalloc
from contextlib import asynccontextmanager
from functools import partial

import anyio
import pytest

from guavawalk.connection.http_client import create_http_client
from guavawalk.connection.http_encoding import encode_chunk, encode_response_head
from guavawalk.connection.http_stream import create_untimed_backend
from guavawalk.connection.http_target import create_http_engine, create_http_service
from guavawalk.connection.tasks.serve_probe import PageAnswer, serve_pages
from guavawalk.exception import TargetError, TargetLost
from guavawalk.request.types import Offer
from soak.standins import CHUNKED, StandInTarget, event, listen, signed_headers
from tests.gateway_calls import PLAN, RESUMABLE, SAFE, UNSAFE
from tests.gateway_standins import GatewayHarness, run_with_timeout

# What each connection may send before it has to be closed, and what all of them may make this
# process hold. The smallest machines of gateways have 200 MB.
MAX_SENT_BYTES = 32 * 1024 * 1024
MAX_HELD_BYTES = 64 * 1024 * 1024
CALLERS = 8
BLOCK_BYTES = 65_536
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


async def send_without_end(stream, start, block):
    """Send `start`, then `block` until the connection is closed."""
    await stream.send(start)
    sent = 0
    while sent < MAX_SENT_BYTES:
        await stream.send(block)
        sent += len(block)
    raise AssertionError(f"the connection is still open after {sent} bytes")


def repeated(part):
    return part * (BLOCK_BYTES // len(part))


def head(request, *headers):
    return encode_response_head(200, signed_headers(request), *headers)


HEADERS = (STATUS_LINE, repeated(b"X-A: bcdefgh\r\n"))
HEADER_LINE = (STATUS_LINE + b"X-A: ", repeated(b"x"))
INTERIM = (b"", repeated(b"HTTP/1.1 100 Continue\r\n\r\n"))
NOT_HTTP = (b"", repeated(b"\x00\x01"))
HEADS = {
    "headers": HEADERS,
    "header line": HEADER_LINE,
    "interim answers": INTERIM,
    "not HTTP": NOT_HTTP,
}


def script_of(start, block):
    async def script(target, stream, request):
        await send_without_end(stream, start, block)

    return script


async def chunk_extension(target, stream, request):
    await send_without_end(stream, head(request, CHUNKED) + b"5;", repeated(b"x"))


async def trailers(target, stream, request):
    start = head(request, CHUNKED) + encode_chunk(event(1)) + b"0\r\n"
    await send_without_end(stream, start, repeated(b"X-A: bcdefgh\r\n"))


async def body_until_close(target, stream, request):
    await send_without_end(stream, head(request, None), repeated(b"x"))


async def event_without_end(target, stream, request):
    start = head(request, CHUNKED) + encode_chunk(event(1))
    await send_without_end(stream, start, encode_chunk(b"data: " + repeated(b"x")))


async def surplus_answer(target, stream, request):
    other = ((b"Request-Id", b"other"), (b"Server-Stamp", b"stamp"))
    start = encode_response_head(200, other, CHUNKED)
    await send_without_end(stream, start, encode_chunk(repeated(b"x")))


async def surplus_bytes(target, stream, request):
    answer = encode_response_head(200, signed_headers(request), (b"Content-Length", b"1")) + b"a"
    await send_without_end(stream, answer, repeated(b"x"))


def ask_many(route, script):
    """Send a call each from several callers at once; return harness, targets and answers.

    An answer is None if the connection ended before the answer was complete.
    """

    async def run():
        harness = GatewayHarness(route)
        targets = [StandInTarget(script) for _ in range(3)]
        answers = []

        async def ask(number):
            caller = await harness.caller()
            try:
                answers.append(await caller.ask(request_id=b"r%d" % number))
            except TargetLost:
                answers.append(None)

        async with harness.running(*targets, service=route.services[0].service):
            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    tasks.start_soon(ask, number)
            while harness.gateway.callers.calls:
                await anyio.sleep(0.01)
        return harness, targets, answers

    tracemalloc.start()
    try:
        found = run_with_timeout(run)
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_BYTES
    finally:
        tracemalloc.stop()
    return found


class TestGateway:
    @pytest.mark.parametrize("route", [UNSAFE, PLAN])
    @pytest.mark.parametrize("name", HEADS)
    def test_head_without_end_fails_the_call(self, route, name):
        _, targets, answers = ask_many(route, script_of(*HEADS[name]))
        # The outcome is unknown, so nothing is sent again and no answer says "not run".
        assert [answer[0] for answer in answers] == [502] * CALLERS
        assert sum(len(target.received) for target in targets) == CALLERS

    @pytest.mark.parametrize(
        ("route", "script"),
        [
            (UNSAFE, chunk_extension),
            (UNSAFE, trailers),
            (UNSAFE, body_until_close),
            (UNSAFE, surplus_answer),
            (PLAN, chunk_extension),
            (PLAN, surplus_answer),
        ],
    )
    def test_body_without_end_fails_the_call(self, route, script):
        # The limit, not the deadline, ends the calls, also on a busy machine.
        harness, targets, answers = ask_many(route._replace(timeout_s=20.0), script)
        assert [answer[0] for answer in answers if answer] == [502] * CALLERS
        assert sum(len(target.received) for target in targets) == CALLERS
        ended = harness.log.named("call_attempt_ended")
        assert len(ended) == CALLERS and all("over" in line["detail"] for line in ended)
        assert harness.gateway.buffers.used_bytes == 0

    @pytest.mark.parametrize("script", [event_without_end, trailers])
    def test_stream_without_end_is_broken_off(self, script):
        harness, _, answers = ask_many(PLAN, script)
        assert answers == [None] * CALLERS
        assert harness.log.named("call_ended")[-1]["code_name"] == "TARGET_LOST"

    def test_failures_are_counted_at_the_target_and_in_the_metrics(self):
        harness, _, _ = ask_many(UNSAFE, script_of(*HEADERS))
        rendered = harness.gateway.metrics.render()
        assert f"guavawalk_answers_over_limit_total {CALLERS}" in rendered
        now_s = time.monotonic()
        assert all(target.failure_share(now_s) > 0.3 for target in harness.gateway.targets)

    def test_idempotent_call_is_sent_to_another_target(self):
        _, targets, _ = ask_many(SAFE, script_of(*HEADERS))
        assert sum(len(target.received) for target in targets) > CALLERS

    def test_resumed_stream_omits_the_event_without_end(self):
        async def script(target, stream, request):
            if b"Last-Event-Id" not in dict(request.headers):
                await event_without_end(target, stream, request)
            rest = b"".join(encode_chunk(event(number)) for number in (2, 3))
            await stream.send(head(request, CHUNKED) + rest + b"0\r\n\r\n")

        _, _, answers = ask_many(RESUMABLE, script)
        whole = b"".join(event(number) for number in (1, 2, 3))
        assert [answer[2] for answer in answers if answer] == [whole] * CALLERS

    def test_bytes_after_a_complete_answer_belong_to_no_call(self):
        _, targets, answers = ask_many(SAFE, surplus_bytes)
        assert [answer[::2] for answer in answers] == [(200, b"a")] * CALLERS


@asynccontextmanager
async def endless_server(script):
    """Serve connections with a script; yield the address."""
    target = StandInTarget(script)
    listener, address = await listen(target.serve)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, target.serve)
        yield address
        tasks.cancel_scope.cancel()


async def endless_document(target, stream, request):
    await send_without_end(stream, encode_response_head(200, (), None), repeated(b"x"))


class TestStoreClient:
    @pytest.mark.parametrize("script", [*(script_of(*head) for head in HEADS.values())])
    def test_head_without_end_raises(self, script):
        async def scenario():
            async with endless_server(script) as address:
                with pytest.raises(TargetLost):
                    await create_http_client(address).get("/x", 5.0)

        run_with_timeout(scenario)

    def test_body_without_end_raises(self):
        async def scenario():
            async with endless_server(endless_document) as address:
                with pytest.raises(TargetLost, match="over"):
                    await create_http_client(address).get("/x", 5.0)

        run_with_timeout(scenario)


async def endless_events(target, stream, request):
    start = encode_response_head(200, (), CHUNKED)
    await send_without_end(stream, start, encode_chunk(repeated(b"x")))


def run_offer(create_client, script):
    """Run an offer at a target with a script, and read the answer to its end."""

    async def scenario():
        async with endless_server(script) as address:
            client = create_client(f"http://{address}")
            offer = Offer(method="POST", path="/x", headers=(), body=b"", attempt_id="1.1")
            with pytest.raises(TargetError):
                async with client.run(offer) as answer:
                    async for _ in answer.parts:
                        pass

    run_with_timeout(scenario)


class TestSidecar:
    def test_bytes_that_nobody_asks_for_are_not_read(self):
        async def scenario():
            sent = 0

            async def send_from_the_start(stream):
                nonlocal sent
                while True:
                    await stream.send(BLOCK_BYTES * b"x")
                    sent += BLOCK_BYTES

            listener, address = await listen(send_from_the_start)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, send_from_the_start)
                host, port = address.split(":")
                stream = await create_untimed_backend().connect_tcp(host, int(port))
                await anyio.sleep(0.5)
                assert 0 < sent < MAX_SENT_BYTES
                tasks.cancel_scope.cancel()
                await stream.aclose()

        run_with_timeout(scenario)

    @pytest.mark.parametrize("create_client", [create_http_engine, create_http_service])
    @pytest.mark.parametrize("name", HEADS)
    def test_head_without_end_raises(self, create_client, name):
        run_offer(create_client, script_of(*HEADS[name]))

    def test_event_without_end_raises(self):
        run_offer(create_http_engine, endless_events)

    def test_control_answer_without_end_raises(self):
        async def scenario():
            async with endless_server(endless_document) as address:
                with pytest.raises(TargetError):
                    await create_http_engine(f"http://{address}").load()

        run_with_timeout(scenario)


class TestPages:
    @pytest.mark.parametrize(
        ("start", "block"),
        [
            (b"GET / HTTP/1.1\r\nX-A: ", repeated(b"x")),
            (b"GET / HTTP/1.1\r\n", repeated(b"X-A: bcdefgh\r\n")),
            (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", repeated(b"x")),
            (
                b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                repeated(b"X-A: bcdefgh\r\n"),
            ),
            (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", encode_chunk(repeated(b"x"))),
        ],
    )
    def test_request_without_end_is_closed(self, start, block):
        async def scenario():
            serve = partial(serve_pages, {b"/": lambda: PageAnswer(200)})
            listener, address = await listen(serve)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                host, port = address.split(":")
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    with pytest.raises(anyio.BrokenResourceError):
                        await send_without_end(stream, start, block)
                tasks.cancel_scope.cancel()

        run_with_timeout(scenario)


class TestTrailers:
    def test_trailer_does_not_replace_a_header_of_a_request(self):
        async def scenario():
            harness = GatewayHarness(UNSAFE)
            target = StandInTarget(body_of_one)
            async with harness.running(target):
                caller = await harness.caller()
                lines = (
                    b"POST /x/1 HTTP/1.1",
                    b"Host: a.example",
                    b"Request-Id: r1",
                    b"Authorization: Bearer k1",
                    b"Transfer-Encoding: chunked",
                )
                body = encode_chunk(b"a") + b"0\r\nRequest-Id: r2\r\nX-Late: 1\r\n\r\n"
                await caller.stream.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)
                assert (await caller.answer())[0] == 200
            assert target.header(0, b"Request-Id") == b"r1"
            assert target.header(0, b"X-Late") is None

        run_with_timeout(scenario)


async def body_of_one(target, stream, request):
    length = (b"Content-Length", b"1")
    await stream.send(encode_response_head(200, signed_headers(request), length) + b"a")
