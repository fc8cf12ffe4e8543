"""Tests of answers that end with their connection, in the midst of a head, an event or a body."""

import socket
import struct

import anyio
import pytest
from anyio.abc import SocketAttribute

from guavawalk.connection.http_client import create_http_client
from guavawalk.connection.http_encoding import encode_response_head
from guavawalk.connection.http_target import create_http_engine, create_http_service
from guavawalk.exception import TargetLost
from guavawalk.request.types import Offer
from soak.standins import EndConnection, event, listen, signed_headers
from tests.gateway_calls import PLAN, RESUMABLE, SAFE, UNSAFE
from tests.gateway_standins import ask_once, run_with_timeout

EVENTS = event(1) + event(2)
CRLF_EVENTS = EVENTS.replace(b"\n", b"\r\n")
# Length of the head that `unframed` returns, without an interim answer before it.
HEAD_BYTES = len(
    encode_response_head(200, ((b"Request-Id", b"r1"), (b"Server-Stamp", b"stamp")), None)
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def unframed(request, body=b"", interim=b""):
    return interim + encode_response_head(200, signed_headers(request), None) + body


def answer_with(make_bytes, length):
    """Return a script that sends the first bytes of an answer, then ends the connection."""

    async def script(target, stream, request):
        await stream.send(make_bytes(request)[:length])
        raise EndConnection

    return script


def until_close(body):
    async def script(target, stream, request):
        await stream.send(unframed(request, body))
        raise EndConnection

    return script


async def reset(stream):
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
    raise EndConnection


def lengths_inside_events(events, end):
    """Return the lengths up to which some events end neither before nor behind one of them."""
    first = events.index(end) + len(end)
    return [length for length in range(1, len(events)) if length != first]


class TestStreamUntilClose:
    @pytest.mark.parametrize("route", (PLAN, RESUMABLE), ids=("plan", "resumable"))
    def test_end_inside_an_event_is_no_end_of_the_answer(self, route):
        for length in lengths_inside_events(EVENTS, b"\n\n"):
            scripts = [until_close(EVENTS[:length])] * route.max_targets
            _, _, answer = ask_once(route, *scripts)
            assert answer is None or answer[0] != 200, f"whole after {length} bytes"

    def test_end_inside_an_event_with_crlf_is_no_end_of_the_answer(self):
        for length in lengths_inside_events(CRLF_EVENTS, b"\r\n\r\n"):
            _, _, answer = ask_once(PLAN, until_close(CRLF_EVENTS[:length]))
            assert answer is None or answer[0] != 200, f"whole after {length} bytes"

    @pytest.mark.parametrize("route", (PLAN, RESUMABLE), ids=("plan", "resumable"))
    @pytest.mark.parametrize("events", (EVENTS, CRLF_EVENTS, EVENTS + b": bye\n", EVENTS + b"\n"))
    def test_end_behind_an_event_is_the_end_of_the_answer(self, route, events):
        _, _, (status, _, body) = ask_once(route, until_close(events))
        assert (status, body) == (200, events)

    def test_stream_without_an_event_is_no_answer(self):
        _, _, (status, _, body) = ask_once(PLAN, until_close(b""))
        assert (status, body) == (502, b"")

    def test_broken_event_is_sent_again_as_a_whole_by_the_next_target(self):
        async def script(target, stream, request):
            first = int(dict(request.headers).get(b"Last-Event-Id", b"0"))
            events = b"".join(map(event, range(first + 1, 4)))
            is_resumed = b"Last-Event-Id" in dict(request.headers)
            await stream.send(unframed(request, events if is_resumed else events[:-3]))
            raise EndConnection

        _, targets, (status, _, body) = ask_once(RESUMABLE, script, script)
        assert (status, body) == (200, b"".join(map(event, range(1, 4))))
        assert sorted(len(target.received) for target in targets) == [1, 1]

    def test_resumed_run_without_an_event_does_not_complete_the_answer(self):
        async def script(target, stream, request):
            is_resumed = b"Last-Event-Id" in dict(request.headers)
            await stream.send(unframed(request, b"" if is_resumed else EVENTS[:-1]))
            raise EndConnection

        _, _, answer = ask_once(RESUMABLE, script, script)
        assert answer is None


class TestPlainAnswerUntilClose:
    @pytest.mark.parametrize("route", (SAFE, UNSAFE), ids=("safe", "unsafe"))
    def test_reset_is_no_end_of_the_answer(self, route):
        async def script(target, stream, request):
            await stream.send(unframed(request, b"half"))
            await anyio.sleep(0.02)
            await reset(stream)

        _, _, answer = ask_once(route, script)
        assert answer is None or answer[0] != 200


class TestHeadThatBreaksOff:
    ROUTES = pytest.mark.parametrize(
        "route", (SAFE, UNSAFE, PLAN, RESUMABLE), ids=("safe", "unsafe", "plan", "resumable")
    )

    @ROUTES
    @pytest.mark.parametrize("interim", (b"", INTERIM), ids=("", "interim"))
    def test_caller_gets_no_success(self, route, interim):
        def make_bytes(request):
            return unframed(request, interim=interim)

        for length in range(len(interim) + HEAD_BYTES):
            script = answer_with(make_bytes, length)
            _, _, answer = ask_once(route, *[script] * route.max_targets)
            assert answer is None or answer[0] != 200, f"success after {length} bytes"

    def test_resumed_stream_is_not_completed(self):
        for length in range(0, HEAD_BYTES, 3):

            async def script(target, stream, request, length=length):
                if b"Last-Event-Id" in dict(request.headers):
                    await stream.send(unframed(request)[:length])
                else:
                    await stream.send(unframed(request, EVENTS[:-1]))
                raise EndConnection

            _, _, answer = ask_once(RESUMABLE, script, script)
            assert answer is None, f"complete after {length} bytes"


def run_at_engine(create_client, data):
    """Run an offer at a target that sends some bytes and ends; return the bytes of the answer."""

    async def scenario():
        async def serve(stream):
            async with stream:
                await stream.receive()
                await stream.send(data)

        listener, address = await listen(serve)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            client = create_client(f"http://{address}")
            offer = Offer(method="POST", path="/x", headers=(), body=b"", attempt_id="1.1")
            try:
                async with client.run(offer) as answer:
                    return b"".join([part.data async for part in answer.parts])
            except TargetLost:
                return None
            finally:
                tasks.cancel_scope.cancel()

    return run_with_timeout(scenario)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class TestSidecar:
    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        for length in lengths_inside_events(EVENTS, b"\n\n"):
            assert run_at_engine(create_http_engine, HEAD + EVENTS[:length]) is None, length

    def test_stream_without_an_event_is_broken_off(self):
        assert run_at_engine(create_http_engine, HEAD) is None

    def test_stream_that_ends_behind_an_event_is_whole(self):
        assert run_at_engine(create_http_engine, HEAD + EVENTS) == EVENTS

    @pytest.mark.parametrize("create_client", (create_http_engine, create_http_service))
    def test_head_that_breaks_off_is_no_answer(self, create_client):
        for length in range(1, len(HEAD)):
            assert run_at_engine(create_client, HEAD[:length]) is None, length


class TestPagesOfTheStoreAndPeers:
    def test_head_that_breaks_off_is_no_answer(self):
        async def scenario(length):
            async def serve(stream):
                async with stream:
                    await stream.receive()
                    await stream.send(HEAD[:length])

            listener, address = await listen(serve)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with pytest.raises(TargetLost):
                    await create_http_client(address).get("/x", 2.0)
                tasks.cancel_scope.cancel()

        for length in range(1, len(HEAD)):
            run_with_timeout(scenario, length)
