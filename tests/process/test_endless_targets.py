"""Tests a gateway process one of whose targets sends bytes without end, beside sound calls."""

from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from guavawalk.connection.http_encoding import encode_chunk, encode_response_head
from guavawalk.exception import TargetLost
from soak.standins import CHUNKED, StandInTarget, listen, signed_headers
from tests.platform.test_registrations import ROW
from tests.process.test_gateway_daemon import DOCUMENT, ROUTE, run_with_daemon, wait_until

# Calls under way at the faulty target, and callers beside them with a call each at a sound one.
FAULTY_CALLS = 24
SOUND_CALLERS = 8
PLAYED_S = 3.0
# Most memory of the process, in kB: the smallest machines of gateways have 200 MB.
MAX_RESIDENT_KB = 120_000
BLOCK = b"x" * 65_536
# Just below the largest buffered answer.
NEARLY_WHOLE_BYTES = 3_900_000


async def send_until_closed(stream, start, block, pause_s=0.0):
    """Send `start`, then `block` again and again until the gateway closes the connection."""
    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        await stream.send(start)
        while True:
            await stream.send(block)
            await anyio.sleep(pause_s)


async def headers(stream, request):
    await send_until_closed(stream, b"HTTP/1.1 200 OK\r\n", b"X-A: bcdefgh\r\n" * 4096)


async def header_line(stream, request):
    await send_until_closed(stream, b"HTTP/1.1 200 OK\r\nX-A: ", BLOCK)


async def no_answer(stream, request):
    await send_until_closed(stream, b"", b"\x00\x01" * 32_768)


async def body(stream, request):
    head = encode_response_head(200, signed_headers(request), CHUNKED)
    await send_until_closed(stream, head, encode_chunk(BLOCK))


async def body_until_close(stream, request):
    await send_until_closed(stream, encode_response_head(200, signed_headers(request), None), BLOCK)


async def body_that_pauses_below_the_limit(stream, request):
    head = encode_response_head(200, signed_headers(request), CHUNKED)
    start = head + encode_chunk(b"x" * NEARLY_WHOLE_BYTES)
    await send_until_closed(stream, start, encode_chunk(b"x"), pause_s=0.05)


async def surplus_answer(stream, request):
    other = ((b"Request-Id", b"other"), (b"Server-Stamp", b"stamp"))
    await send_until_closed(stream, encode_response_head(200, other, CHUNKED), encode_chunk(BLOCK))


SCRIPTS = [
    headers,
    header_line,
    no_answer,
    body,
    body_until_close,
    body_that_pauses_below_the_limit,
    surplus_answer,
]


def resident_kb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(peak.split()[1])


def play(tmp_path, script, kind):
    """Return the statuses of the sound calls and the process's peak memory in kB."""
    statuses, peak_kb = [], 0

    async def run_faulty(target, stream, request):
        await script(stream, request)

    async def scenario(daemon, store, target):
        nonlocal peak_kb
        faulty = StandInTarget(run_faulty)
        listener, faulty.address = await listen(faulty.serve)
        row = {**ROW, "service": "faulty", "address": faulty.address, "capacity": FAULTY_CALLS}
        store.put("servers/i-2", row)
        faulty_route = {**ROUTE, "name": "r-2", "prefix": "/f/", "routeType": kind}
        routes = [{**ROUTE, "routeType": "unsafe"}, {**faulty_route, "service": "faulty"}]
        services = [{"name": "desk"}, {"name": "faulty"}]
        store.put("op/config", {**DOCUMENT, "routes": routes, "services": services})
        await wait_until(daemon.ready)

        async def ask_faulty(number):
            for turn in range(10**6):
                caller = await daemon.caller()
                with suppress(TargetLost):
                    await caller.ask(path=b"/f/1", request_id=b"f%d-%d" % (number, turn))

        async def ask_sound(number):
            caller = await daemon.caller()
            for turn in range(10**6):
                request_id = b"s%d-%d" % (number, turn)
                statuses.append((await caller.ask(body=b"a", request_id=request_id))[0])
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, faulty.serve)
            for number in range(FAULTY_CALLS):
                tasks.start_soon(ask_faulty, number)
            for number in range(SOUND_CALLERS):
                tasks.start_soon(ask_sound, number)
            await anyio.sleep(PLAYED_S)
            tasks.cancel_scope.cancel()
        assert len(faulty.received) >= FAULTY_CALLS
        peak_kb = resident_kb(daemon.process)

    run_with_daemon(tmp_path, scenario)
    return statuses, peak_kb


class TestCallsBesideEndlessAnswers:
    @pytest.mark.parametrize("kind", ["unsafe", "streaming"])
    @pytest.mark.parametrize("script", SCRIPTS)
    def test_memory_stays_bounded_and_other_calls_are_served(self, tmp_path, script, kind):
        statuses, peak_kb = play(tmp_path, script, kind)
        assert set(statuses) == {200}
        assert peak_kb < MAX_RESIDENT_KB
