"""Requests of callers that send much or slowly, at a gateway in the process of the test."""

from contextlib import contextmanager

import anyio
import pytest

from guavawalk.connection import request_reader
from guavawalk.connection.http_encoding import encode_chunk, encode_request
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.tasks import serve_caller as serve_caller_module
from guavawalk.exception import HttpInvalid
from guavawalk.process.gateway.input_budget import InputBudget
from guavawalk.version.routes import CallerLimits
from soak.standins import StandInTarget, answer_plain
from tests.connection.tasks.test_serve_caller import UNSAFE
from tests.connection.test_http_readers import HEAD, LIMITS, PartsStream
from tests.gateway_standins import GatewayHarness, run_with_timeout
from tests.virtual import run_virtually

SIZE = 1024 * 1024


def head(size, *lines, key=b"k1"):
    fixed = (
        b"POST /x/1 HTTP/1.1",
        b"Host: a.example",
        b"Request-Id: r1",
        b"Authorization: Bearer " + key,
        b"Content-Length: %d" % size,
    )
    return b"\r\n".join((*fixed, *lines)) + b"\r\n\r\n"


def play(scenario):
    """Run a scenario with a gateway, one of its callers and its target."""

    async def run():
        harness, target = GatewayHarness(UNSAFE), StandInTarget(answer_plain)
        async with harness.running(target):
            await scenario(harness, await harness.caller(), target)

    run_with_timeout(run)


@contextmanager
def no_room(harness):
    """Let another connection use up the room for large bodies."""
    with harness.gateway.input.connection() as charge:
        charge.update(harness.gateway.input.total_bytes - 100_000, 0, 0.0)
        yield


async def wait_for(condition):
    while not condition():
        await anyio.sleep(0.01)


class TestLackOfRoom:
    def test_body_waits_and_is_served_once_there_is_room(self):
        async def scenario(harness, caller, target):
            with no_room(harness):
                await caller.stream.send(head(SIZE))
                await wait_for(lambda: harness.gateway.input.waiting)
            await caller.stream.send(bytes(SIZE))
            assert (await caller.answer())[0] == 200

        play(scenario)

    def test_body_that_waits_for_too_long_is_told_when_to_retry(self):
        async def scenario(harness, caller, target):
            with no_room(harness):
                await caller.stream.send(head(SIZE) + bytes(SIZE))
                status, headers, _ = await caller.answer()
            assert status == 503 and float(headers[b"Retry-After"]) > 0
            assert not target.received

        play(scenario)

    def test_small_request_is_served_meanwhile(self):
        async def scenario(harness, caller, target):
            with no_room(harness):
                assert (await caller.ask(body=bytes(60_000)))[0] == 200

        play(scenario)

    def test_leaving_is_noticed_while_the_body_waits(self):
        async def scenario(harness, caller, target):
            with no_room(harness):
                await caller.stream.send(head(SIZE) + b"x")
                await wait_for(lambda: harness.gateway.input.waiting)
                await caller.stream.aclose()
                await wait_for(lambda: not harness.gateway.callers.connections)
            assert harness.gateway.input.refused == 0

        play(scenario)

    def test_stop_ends_the_wait(self):
        async def scenario(harness, caller, target):
            with no_room(harness):
                await caller.stream.send(head(SIZE))
                await wait_for(lambda: harness.gateway.input.waiting)
                harness.gateway.input.close()
                assert (await caller.answer())[0] == 503

        play(scenario)

    def test_chunked_body_near_the_limit_is_served_where_an_announced_one_is(self):
        async def scenario():
            limits = CallerLimits(body_bytes=SIZE)
            parts = [HEAD + b"Transfer-Encoding: chunked\r\n\r\n"]
            parts += [encode_chunk(bytes(SIZE // 16))] * 16 + [b"0\r\n\r\n"]
            with budget.connection() as other, budget.connection() as charge:
                other.update(0, 1000, 0.0)
                assert other.may_read(SIZE, 0.0)
                return await RequestReader(PartsStream(parts), limits, charge).next(limits)

        budget = InputBudget(4 * SIZE)
        assert len(run_virtually(scenario).body) == SIZE
        assert not budget.refused


class TestHead:
    @pytest.mark.parametrize("extra", [(), (b"Expect: 100-continue",)])
    def test_announced_body_over_the_limit_is_refused_unsent(self, extra):
        async def scenario(harness, caller, target):
            await caller.stream.send(head(10**9, *extra))
            assert (await caller.answer())[0] == 413

        play(scenario)

    def test_unknown_key_is_refused_before_the_body_arrives(self):
        async def scenario(harness, caller, target):
            await caller.stream.send(head(SIZE, key=b"other") + b"x" * 100)
            status, headers, _ = await caller.answer()
            assert (status, headers[b"Connection"]) == (401, b"close")

        play(scenario)

    def test_small_request_with_an_unknown_key_keeps_the_connection(self):
        async def scenario(harness, caller, target):
            await caller.stream.send(head(3, key=b"other") + b"abc")
            assert (await caller.answer())[0] == 401
            assert (await caller.ask(body=b"a"))[0] == 200

        play(scenario)

    def test_leave_to_send_the_body_is_given(self):
        async def scenario(harness, caller, target):
            await caller.stream.send(head(3, b"Expect: 100-continue"))
            found = await caller.stream.receive()
            assert found == b"HTTP/1.1 100 Continue\r\n\r\n"
            await caller.stream.send(b"abc")
            assert (await caller.answer())[::2] == (200, b"served abc")

        play(scenario)

    def test_refusal_is_not_lost_while_the_caller_sends_on(self, monkeypatch):
        async def scenario(harness, caller, target):
            async with anyio.create_task_group() as tasks:
                await caller.stream.send(head(10**9))
                tasks.start_soon(caller.stream.send, bytes(8 * SIZE))
                assert (await caller.answer())[0] == 413
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(serve_caller_module, "LINGER_S", 10.0)
        play(scenario)


class SlowStream(PartsStream):
    """A stream that delivers a part each 10 s, or at another interval."""

    interval_s = 10.0

    async def receive(self, max_bytes=65536):
        await anyio.sleep(self.interval_s)
        return await super().receive(max_bytes)


class TestHeadTime:
    def read(self, parts, interval_s, wait_closed_s=None):
        async def scenario():
            stream = SlowStream(parts)
            stream.interval_s = interval_s
            reader = RequestReader(stream, LIMITS)
            if wait_closed_s is not None:
                with anyio.move_on_after(wait_closed_s):
                    await reader.wait_closed()
            return await reader.next(LIMITS)

        return run_virtually(scenario)

    def test_head_of_single_bytes_ends(self):
        with pytest.raises(HttpInvalid) as caught:
            self.read([bytes([byte]) for byte in HEAD + b"\r\n"], interval_s=2.9)
        assert caught.value.status == 408

    def test_head_in_several_parts_is_read(self):
        assert self.read([HEAD, b"A: b\r\n", b"\r\n"], interval_s=1.4).target == b"/a/1"

    def test_time_in_which_a_head_is_not_awaited_does_not_count(self):
        assert (
            self.read([HEAD, b"A: b\r\n", b"\r\n"], interval_s=2.0, wait_closed_s=5.9) is not None
        )


class TestBodyTime:
    def read(self, *parts):
        async def scenario():
            return await RequestReader(SlowStream(parts), LIMITS).next(LIMITS)

        return run_virtually(scenario)

    def test_body_of_single_bytes_ends(self):
        limits_head = HEAD + b"Content-Length: 100\r\n\r\n"
        with pytest.raises(HttpInvalid) as caught:
            self.read(limits_head, *[b"x"] * 99)
        assert caught.value.status == 408

    def test_time_in_which_a_body_is_not_awaited_does_not_count(self):
        async def scenario():
            parts = [encode_request("GET", b"/1", ()), HEAD + b"Content-Length: 1\r\n\r\n", b"x"]
            reader = RequestReader(SlowStream(parts), LIMITS)
            await reader.next(LIMITS)
            with anyio.move_on_after(15.0):
                await reader.wait_closed()
            await anyio.sleep(100.0)
            return await reader.next(LIMITS)

        assert run_virtually(scenario).body == b"x"

    def test_time_until_leave_to_send_the_body_is_given_does_not_count(self):
        class LateStream(SlowStream):
            async def send(self, data):
                await anyio.sleep(100.0)

        async def scenario():
            parts = [HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n", b"x"]
            return await RequestReader(LateStream(parts), LIMITS).next(LIMITS)

        assert run_virtually(scenario).body == b"x"

    def test_slow_body_is_read(self, monkeypatch):
        monkeypatch.setattr(request_reader, "BODY_BYTES_PER_S", 1)
        parts = [b"x" * 10] * 10
        assert self.read(HEAD + b"Content-Length: 100\r\n\r\n", *parts).body == b"x" * 100


class TestReadAhead:
    """Requests that arrive while an earlier one of their connection is answered."""

    @pytest.fixture
    def stay(self, monkeypatch):
        monkeypatch.setattr(request_reader, "has_left", lambda stream: False)

    def test_large_request_is_not_refused_before_it_is_awaited(self, stay):
        budget = InputBudget(8 * SIZE)
        with budget.connection() as other, budget.connection() as charge:
            other.update(7 * SIZE, 0, 0.0)
            parts = [encode_request("GET", b"/1", ()), head(SIZE), bytes(SIZE)]

            async def scenario():
                reader = RequestReader(PartsStream(parts, end=None), CallerLimits(), charge)
                await reader.next(CallerLimits())
                with anyio.move_on_after(10.0):
                    await reader.wait_closed()
                assert not budget.waiting and not budget.refused
                other.update(0, 0, 10.0)
                return await reader.next(CallerLimits())

            assert len(run_virtually(scenario).body) == SIZE

    def test_request_that_finds_a_full_budget_in_a_planned_stop_gets_its_answer(self):
        budget = InputBudget(8 * SIZE)
        with budget.connection() as other, budget.connection() as charge:
            other.update(8 * SIZE, 0, 0.0)
            budget.close()

            async def scenario():
                parts = [encode_request("GET", b"/1", ())]
                reader = RequestReader(PartsStream(parts, end=None), LIMITS, charge)
                charge.set_awaited(False, 0.0)
                assert await reader.look_again()
                await reader.next(LIMITS)

            with pytest.raises(HttpInvalid) as caught:
                run_virtually(scenario)
        assert caught.value.status == 503

    def test_connection_with_a_prepared_refusal_does_not_count_as_idle(self):
        with InputBudget(8 * SIZE).connection() as charge:

            async def scenario():
                reader = RequestReader(PartsStream([], end=None), LIMITS, charge)
                charge.refuse()
                return reader.is_receiving()

            assert run_virtually(scenario)

    def test_request_that_is_not_read_does_not_count_as_stalled(self, stay):
        budget = InputBudget(8 * SIZE)
        with budget.connection() as charge:
            charge.update(0, 1000, 0.0)
            charge.set_awaited(False, 0.0)
            assert not budget.refuse_inactive(100.0)
            charge.set_awaited(True, 100.0)
            assert not budget.refuse_inactive(100.0)
