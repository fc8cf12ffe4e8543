"""Tests that requests which come late in a planned stop are answered or refused, never cut."""

import signal

import anyio
import pytest

from guavawalk.connection.http_encoding import LAST_CHUNK, encode_chunk, encode_response_head
from guavawalk.exception import TargetLost
from soak.standins import CHUNKED, answer_plain, event, signed_headers
from tests.platform.test_registrations import ROW
from tests.process.test_gateway_daemon import DOCUMENT, ROUTE, run_with_daemon, wait_until

# Time that a target works on a request, in seconds.
PLAIN_S, STREAM_S = 0.4, 1.2
EVERY_S = 0.06
KINDS = ("unsafe", "safe", "streaming")


async def work(target, stream, request):
    """Answer after the time that the kind of request takes, which its path names."""
    if not request.target.startswith(b"/streaming"):
        await anyio.sleep(PLAIN_S)
        await answer_plain(target, stream, request)
        return
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, 9):
        await stream.send(encode_chunk(event(number)))
        await anyio.sleep(STREAM_S / 8)
    await stream.send(LAST_CHUNK)


class Callers:
    """Callers that go on until the process is gone, on kept or on new connections."""

    def __init__(self, daemon, is_kept):
        self.daemon = daemon
        self.is_kept = is_kept
        self.outcomes = {}
        self.is_over = False

    async def run(self, kind, number):
        caller, count = None, 0
        while not self.is_over:
            count += 1
            request_id = b"%s-%d-%d" % (kind.encode(), number, count)
            try:
                caller = caller or await self.daemon.caller()
            except OSError:
                await anyio.sleep(EVERY_S)
                continue
            headers = ((b"Token-Count", b"10,40"), (b"Length-Hint", b"40"))
            try:
                path = b"/%s/1" % kind.encode()
                status, answer, _ = await caller.ask(path, b"a", headers, request_id)
            except (TargetLost, anyio.BrokenResourceError, OSError):
                status, answer = None, {}
            self.outcomes[request_id] = status
            if not self.is_kept or status is None or answer.get(b"Connection") == b"close":
                await caller.stream.aclose()
                caller = None
            await anyio.sleep(EVERY_S)


class TestStopInCalm:
    @pytest.mark.parametrize("is_kept", (True, False), ids=("kept", "new"))
    @pytest.mark.parametrize("grace_ms", (4000, 8000))
    def test_request_that_was_passed_on_late_in_the_grace_is_answered(
        self, tmp_path, grace_ms, is_kept
    ):
        async def scenario(daemon, store, target):
            store.put(
                "servers/i-1", {**ROW, "service": "desk", "address": target.address, "capacity": 99}
            )
            routes = [
                {**ROUTE, "name": kind, "prefix": f"/{kind}/", "routeType": kind} for kind in KINDS
            ]
            store.put("op/config", {**DOCUMENT, "routes": routes})
            await wait_until(daemon.ready)
            callers = Callers(daemon, is_kept)
            async with anyio.create_task_group() as tasks:
                for kind in KINDS:
                    for number in range(3):
                        tasks.start_soon(callers.run, kind, number)
                await anyio.sleep(0.5)
                daemon.process.send_signal(signal.SIGTERM)
                assert await daemon.wait_exit() == 0
                callers.is_over = True
            received = [dict(request.headers)[b"Request-Id"] for request in target.received]
            cut = [request_id for request_id in received if callers.outcomes[request_id] != 200]
            assert cut == [] and len(received) == len(set(received))
            assert 503 in callers.outcomes.values()

        run_with_daemon(tmp_path, scenario, work, grace_ms=grace_ms)
