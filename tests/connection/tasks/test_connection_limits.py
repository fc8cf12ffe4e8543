"""Addresses of pages, entries and the administration beside many connections."""

from contextlib import suppress
from functools import partial

import anyio
import pytest
from anyio.abc import SocketAttribute
from starlette.requests import Request
from starlette.responses import PlainTextResponse

from guavawalk.codes import ResultCode
from guavawalk.connection.http_encoding import encode_request
from guavawalk.connection.response_reader import ResponseReader
from guavawalk.connection.socket_stream import create_listener
from guavawalk.connection.tasks import accept_callers, serve_probe
from guavawalk.connection.tasks.read_body import read_body
from guavawalk.connection.tasks.serve_probe import (
    PageAnswer,
    create_page_connections,
    serve_pages,
)
from guavawalk.exception import RequestError
from guavawalk.process.gateway.input_budget import InputBudget
from guavawalk.process.http_server import serve_asgi
from soak.standins import StandInTarget, answer_plain, listen
from tests.gateway_calls import SAFE
from tests.gateway_standins import GatewayHarness, run_with_timeout

PAGE = encode_request("GET", b"/", ((b"Host", b"h"),))
MAX_CONNECTIONS = 3


async def connect(address):
    host, port = address.split(":")
    return await anyio.connect_tcp(host, int(port))


async def ask(stream, request=PAGE):
    await stream.send(request)
    return (await ResponseReader(stream).read_head()).status


async def closes(stream):
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.receive()


class TestCallerConnections:
    def test_one_idle_connection_closes_for_a_new_one_when_it_is_slow_to_close(self, monkeypatch):
        async def scenario():
            harness = GatewayHarness(SAFE, max_descriptors=224)
            async with harness.running(StandInTarget(answer_plain)):
                listener = create_listener("127.0.0.1", 0, 8)
                harness.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
                harness.tasks.start_soon(accept_callers.accept_callers, harness.gateway, listener)
                idle = [await harness.caller() for _ in range(2)]
                assert [(await caller.ask())[0] for caller in idle] == [200, 200]
                assert (await (await harness.caller()).ask())[0] == 200
                assert (await idle[1].ask())[0] == 200

        monkeypatch.setattr(accept_callers, "CLOSE_EVERY_S", 0.0005)
        run_with_timeout(scenario)


class TestPageConnections:
    def test_new_connection_replaces_the_one_that_is_idle_for_longest(self, monkeypatch):
        async def scenario():
            pages = {b"/": lambda: PageAnswer(200)}
            serve = partial(serve_pages, pages, connections=create_page_connections())
            listener, address = await listen(serve)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                first, second, *_ = [await connect(address) for _ in range(MAX_CONNECTIONS)]
                assert await ask(second) == 200
                assert await ask(first) == 200
                for _ in range(MAX_CONNECTIONS - 1):
                    assert await ask(await connect(address)) == 200
                await closes(second)
                assert await ask(first) == 200
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(serve_probe, "MAX_CONNECTIONS", MAX_CONNECTIONS)
        run_with_timeout(scenario)


async def hello(scope, receive, send):
    """Read the body, then answer."""
    if scope["path"] == "/refuse":
        await PlainTextResponse("no", 413)(scope, receive, send)
        return
    if scope["path"] == "/wait":
        await anyio.sleep_forever()
    if scope["path"] == "/slow":
        await anyio.sleep(0.5)
    await Request(scope, receive).body()
    await PlainTextResponse("hello")(scope, receive, send)


class TestHttpListener:
    def play(self, scenario):
        async def run():
            async with anyio.create_task_group() as tasks:
                serve = partial(serve_asgi, hello, max_connections=MAX_CONNECTIONS)
                address = await tasks.start(serve, "127.0.0.1:0")
                await scenario(address)
                tasks.cancel_scope.cancel()

        run_with_timeout(run)

    def test_new_connection_replaces_the_one_that_is_idle_for_longest(self):
        async def scenario(address):
            idle = [await connect(address) for _ in range(MAX_CONNECTIONS)]
            assert await ask(await connect(address)) == 200
            await closes(idle[0])
            assert await ask(idle[1]) == 200

        self.play(scenario)

    def test_body_that_makes_no_progress_is_replaced(self):
        async def scenario(address):
            start = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"
            stalled = [await connect(address) for _ in range(MAX_CONNECTIONS)]
            for stream in stalled:
                await stream.send(start)
            await anyio.sleep(2.5)
            assert await ask(await connect(address)) == 200
            assert (await ResponseReader(stalled[0]).read_head()).status == 408

        self.play(scenario)

    def test_body_that_waits_to_be_read_is_replaced(self):
        async def scenario(address):
            start = b"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"
            waiting = [await connect(address) for _ in range(MAX_CONNECTIONS)]
            for stream in waiting:
                await stream.send(start)
                await anyio.sleep(0.05)
            assert await ask(await connect(address)) == 200
            assert (await ResponseReader(waiting[0]).read_head()).status == 503

        self.play(scenario)

    @pytest.mark.parametrize(("path", "status"), [(b"/slow", 200), (b"/wait", 503)])
    def test_new_connection_waits_while_all_others_run_requests(self, path, status):
        async def scenario(address):
            running = [await connect(address) for _ in range(MAX_CONNECTIONS)]
            for stream in running:
                await stream.send(encode_request("GET", path, ((b"Host", b"h"),)))
            await anyio.sleep(0.1)
            assert await ask(await connect(address)) == status

        self.play(scenario)

    def test_refusal_is_not_lost_while_the_caller_sends_on(self):
        async def scenario(address):
            stream = await connect(address)
            size = 8 * 1024 * 1024
            start = b"POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            assert await ask(stream, start + bytes(size)) == 413

        self.play(scenario)


def make_request(*parts, announced=0):
    messages = [{"type": "http.request", "body": part, "more_body": True} for part in parts]

    async def receive():
        if messages:
            return messages.pop(0)
        await anyio.sleep_forever()

    headers = [(b"content-length", b"%d" % announced)] if announced else []
    return Request({"type": "http", "headers": headers, "method": "POST"}, receive)


class TestReadBody:
    """Bodies at an entry whose memory for them is in use."""

    def refusal(self, request, used_bytes=0, turns=None):
        async def run():
            budget = InputBudget(1_000_000)
            with budget.connection() as other, budget.connection() as room:
                other.update(used_bytes, 0, anyio.current_time())
                with pytest.raises(RequestError) as caught:
                    await read_body(request, room, 500_000, 8.0, turns)
                assert budget.used_bytes - used_bytes < 10_000
            return caught.value.code

        return run_with_timeout(run)

    def test_announced_length_over_the_limit_is_refused_unread(self):
        request = make_request(announced=500_001)
        assert self.refusal(request) is ResultCode.BODY_TOO_LARGE

    def test_body_without_room_is_refused(self):
        request = make_request(b"x", announced=400_000)
        assert self.refusal(request, 700_000) is ResultCode.QUEUE_FULL

    def test_body_of_small_parts_whose_turn_does_not_come_is_refused(self):
        class Never:
            waiting = 0

            async def wait(self, spent, cost, timeout_s):
                return False

        request = make_request(b"x", b"x")
        assert self.refusal(request, turns=Never()) is ResultCode.QUEUE_FULL
