"""Turns in which the bodies of many callers are read."""

import anyio
import pytest

from guavawalk.connection import request_reader
from guavawalk.connection.http_encoding import encode_chunk
from guavawalk.connection.input_turns import MAX_WAIT_S, RequestPace
from guavawalk.connection.request_reader import RequestReader
from guavawalk.exception import HttpInvalid
from guavawalk.process.read_turns import TURN_COST, create_read_turns
from guavawalk.version.routes import CallerLimits
from tests.connection.test_http_readers import HEAD, PartsStream
from tests.virtual import run_virtually

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SINGLE_BYTES = encode_chunk(b"x") * 1_360


def play(requests, repeats=1):
    """Let requests, by name with their costs, wait during a turn; return their order."""

    async def scenario():
        turns, order = create_read_turns(), []

        async def wait(name, spent):
            for _ in range(repeats):
                assert await turns.wait(spent, TURN_COST, 1.0)
                order.append(name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(turns.wait, 0, TURN_COST, 1.0)
            await anyio.lowlevel.checkpoint()
            for name, spent in requests.items():
                tasks.start_soon(wait, name, spent)
        assert not turns.waiting
        return order

    return run_virtually(scenario)


class TestOrder:
    def test_request_that_has_cost_least_goes_first(self):
        assert play({"a": 9, "b": 5, "c": 7}) == ["b", "c", "a"]

    def test_requests_of_like_cost_take_turns(self):
        order = play(dict.fromkeys("abc", 5), repeats=2)
        assert sorted(order[:3]) == sorted(order[3:]) == list("abc")


class TestPasses:
    @pytest.mark.parametrize(("cost", "most"), [(TURN_COST, 1), (TURN_COST // 4, 4)])
    def test_reads_up_to_a_cost_are_made_in_one_pass_of_the_event_loop(self, cost, most):
        async def scenario():
            turns, reads, passes = create_read_turns(), 0, []

            async def read():
                nonlocal reads
                while True:
                    await turns.wait(0, cost, 60.0)
                    reads += 1

            async with anyio.create_task_group() as tasks:
                for _ in range(40):
                    tasks.start_soon(read)
                for _ in range(40):
                    await anyio.lowlevel.checkpoint()
                    passes.append(reads)
                    reads = 0
                tasks.cancel_scope.cancel()
            return passes

        passes = run_virtually(scenario)
        assert max(passes) == most
        assert sum(passes) >= 10

    def test_cancelled_request_passes_its_turn_on(self):
        async def scenario():
            turns = create_read_turns()
            with anyio.CancelScope() as scope:
                scope.cancel()
                await turns.wait(0, TURN_COST, 1.0)
            return await turns.wait(0, TURN_COST, 1.0)

        assert run_virtually(scenario)


class TestRefusal:
    def test_request_whose_turn_does_not_come_in_time(self):
        class Never:
            waiting = 1

            async def wait(self, spent, cost, timeout_s):
                await anyio.sleep(timeout_s)
                return False

        async def scenario():
            pace = RequestPace(Never())
            assert await pace.wait_turn()
            pace.count_read(4_096, chunks=10_000)
            began_s = anyio.current_time()
            assert not await pace.wait_turn()
            return anyio.current_time() - began_s

        assert run_virtually(scenario) == pytest.approx(MAX_WAIT_S)

    def test_costliest_request_that_waits(self):
        async def scenario():
            turns, found = create_read_turns(), {}

            async def wait(spent):
                found[spent] = await turns.wait(spent, TURN_COST, 1.0)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(turns.wait, 0, TURN_COST, 1.0)
                await anyio.lowlevel.checkpoint()
                for spent in (1, 5, 3):
                    tasks.start_soon(wait, spent)
                while not turns.waiting:
                    await anyio.lowlevel.checkpoint()
                await anyio.lowlevel.checkpoint()
                assert turns.refuse_costliest()
            assert not turns.refuse_costliest()
            return found, turns.refused

        assert run_virtually(scenario) == ({1: True, 5: False, 3: True}, 1)


class TestReader:
    """Bodies of one-byte chunks at readers that share their turns."""

    def test_single_body_is_read_whole(self):
        async def scenario():
            parts = [CHUNKED, *[SINGLE_BYTES] * 50, b"0\r\n\r\n"]
            limits = CallerLimits()
            reader = RequestReader(PartsStream(parts), limits, turns=create_read_turns())
            return await reader.next(limits)

        assert len(run_virtually(scenario).body) == 50 * 1_360

    def test_ordinary_request_does_not_wait_for_them(self, monkeypatch):
        """A read of each of many bodies came between the steps of every other request."""

        class CountingStream(PartsStream):
            reads = 0

            async def receive(self, max_bytes=65536):
                data = await super().receive(max_bytes)
                type(self).reads += 1
                return data

        async def scenario():
            turns, limits = create_read_turns(), CallerLimits()

            async def read():
                parts = [CHUNKED, *[SINGLE_BYTES] * 200]
                reader = RequestReader(CountingStream(parts, end=None), limits, turns=turns)
                await reader.next(limits)

            async with anyio.create_task_group() as tasks:
                for _ in range(40):
                    tasks.start_soon(read)
                while CountingStream.reads < 200:
                    await anyio.lowlevel.checkpoint()
                CountingStream.reads = 0
                # The steps of an ordinary request.
                for _ in range(10):
                    await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            return CountingStream.reads

        monkeypatch.setattr(request_reader, "has_left", lambda stream: False)
        assert run_virtually(scenario) <= 10

    def test_body_whose_turns_do_not_come_is_refused(self):
        class Never:
            waiting = 0

            async def wait(self, spent, cost, timeout_s):
                return False

        async def scenario():
            limits = CallerLimits()
            parts = [CHUNKED, SINGLE_BYTES, SINGLE_BYTES]
            await RequestReader(PartsStream(parts), limits, turns=Never()).next(limits)

        with pytest.raises(HttpInvalid) as caught:
            run_virtually(scenario)
        assert caught.value.status == 503
