"""Tests a gateway process beside callers that send much, slowly or never whole."""

import fcntl
import os
import tempfile
from contextlib import suppress
from functools import partial
from pathlib import Path

import anyio
import pytest

from guavawalk.connection.http_encoding import encode_response
from soak.standins import StandInTarget, listen, signed_headers
from tests.process.test_endless_targets import resident_kb
from tests.process.test_gateway_daemon import (
    DOCUMENT,
    ROUTE,
    ROW,
    Daemon,
    run_with_daemon,
    wait_until,
)

MAX_MEMORY_MB = 128
MAX_DESCRIPTORS = 400
SETTINGS = {"max_memory_mb": MAX_MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS, "grace_ms": 3500}
MAX_RESIDENT_KB = MAX_MEMORY_MB * 1000
BODY_BYTES = 2 * 1024 * 1024
CROWD = 64
# Each byte of these bodies takes six on the wire, and a call of the parser.
SINGLE_BYTES = 384 * 1024
BLOCK = b"x" * 65_536
# More connections than the gateway accepts with `MAX_DESCRIPTORS`.
IDLE_CROWD = 120
# The crowd has sent what it can if nothing more was sent, and the process used no more processor
# time than this, for a time; the wait is bounded too. The kernel may hold most of a crowd's bytes.
STALLED_S = 1.0
BUSY_S = 0.2
PLAYED_S = 15.0


@pytest.fixture(autouse=True)
def alone():
    """Run one of these tests at a time: each takes a core and most of 200 MB."""
    path = Path(tempfile.gettempdir()) / f"guavawalk-untrusted-callers-{os.getuid()}.lock"
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def head(framing, key=b"k1"):
    lines = (
        b"POST /x/1 HTTP/1.1",
        b"Host: a.example",
        b"Request-Id: big",
        b"Authorization: Bearer " + key,
        b"Deadline-Ms: 5000",
        framing,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"


def announced(size, key=b"k1"):
    return head(b"Content-Length: %d" % size, key)


CHUNKED_HEAD = head(b"Transfer-Encoding: chunked")


async def whole(send):
    await send(announced(BODY_BYTES) + BLOCK * (BODY_BYTES // len(BLOCK)))


async def piece_by_piece(send):
    await send(announced(BODY_BYTES))
    for _ in range(BODY_BYTES // 4096):
        await send(BLOCK[:4096])
        await anyio.sleep(0.001)


async def one_byte_short(send, key=b"k1"):
    await send(announced(BODY_BYTES, key) + (BLOCK * (BODY_BYTES // len(BLOCK)))[1:])


async def far_over_announced(send):
    await send(announced(1024 * BODY_BYTES))
    while True:
        await send(BLOCK)


async def far_over_sent(send):
    await send(CHUNKED_HEAD)
    while True:
        await send(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))


async def chunks_short(send):
    await send(CHUNKED_HEAD)
    for _ in range(BODY_BYTES // len(BLOCK) - 1):
        await send(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))


async def single_bytes_short(send):
    await send(CHUNKED_HEAD)
    for _ in range(SINGLE_BYTES // 4096):
        await send(b"1\r\nx\r\n" * 4096)


async def nothing(send):
    await send(b"")


FORMS = {
    "whole": whole,
    "piece_by_piece": piece_by_piece,
    "one_byte_short": one_byte_short,
    "far_over_announced": far_over_announced,
    "far_over_sent": far_over_sent,
    "chunks_short": chunks_short,
    "single_bytes_short": single_bytes_short,
    "unknown_key": partial(one_byte_short, key=b"other"),
}


class Crowd:
    """Callers that send a form of request each, and then keep their connections open."""

    def __init__(self):
        self.sent = 0

    async def run(self, daemon, form, repeats=False):
        """Run one caller; with `repeats` it connects again whenever its connection has ended."""
        while True:
            with suppress(anyio.BrokenResourceError, anyio.EndOfStream, OSError):
                caller = await daemon.caller()
                async with caller.stream as stream:
                    with suppress(anyio.BrokenResourceError):
                        await form(partial(self._send, stream))
                    while await stream.receive():
                        pass
            if not repeats:
                return
            await anyio.sleep(0.05)

    async def _send(self, stream, data):
        for start in range(0, len(data), len(BLOCK)):
            await stream.send(data[start : start + len(BLOCK)])
            self.sent += 1

    async def wait_stalled(self, daemon):
        """Wait until the gateway has read all that it takes, for `PLAYED_S` at most."""
        with anyio.move_on_after(PLAYED_S):
            sent, used_s = -1, 0.0
            while sent != self.sent or processor_s(daemon) - used_s > BUSY_S:
                sent, used_s = self.sent, processor_s(daemon)
                await anyio.sleep(STALLED_S)


def processor_s(daemon):
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def answer_slowly(target, stream, request):
    await anyio.sleep(0.1)
    await stream.send(encode_response(200, signed_headers(request), b"served"))


def configure(store, target):
    """Publish a small body limit, and a second service with one slot for the ordinary requests."""
    routes = [
        {**ROUTE, "routeType": "unsafe"},
        {**ROUTE, "name": "r-2", "prefix": "/o/", "service": "ordinary"},
    ]
    services = [{"name": "desk"}, {"name": "ordinary"}]
    limits = {"maxBodyBytes": BODY_BYTES}
    document = {**DOCUMENT, "routes": routes, "services": services, "limits": limits}
    store.put("servers/i-1", {**ROW, "service": "desk", "address": target.address, "capacity": 2})
    store.put("op/config", document)


def check_limits(daemon, max_descriptors, max_resident_kb):
    """Check that a process lives, and that its memory and descriptors stay under their bounds."""
    assert daemon.process.poll() is None
    peak_kb = resident_kb(daemon.process)
    descriptors = len(os.listdir(f"/proc/{daemon.process.pid}/fd"))
    print(f"peak {peak_kb} kB, {descriptors} descriptors")
    assert descriptors < max_descriptors
    assert peak_kb < max_resident_kb


def check(daemon):
    """Check that the process lives and uses no more than the settings allow."""
    check_limits(daemon, MAX_DESCRIPTORS, MAX_RESIDENT_KB)


async def ask_ordinary(daemon):
    caller = await daemon.caller()
    assert (await caller.ask(path=b"/o/1", body=b"a"))[0] == 200


async def start(store, target, daemon):
    ordinary = StandInTarget(answer_slowly)
    listener, ordinary.address = await listen(ordinary.serve)
    store.put("servers/i-2", {**ROW, "service": "ordinary", "address": ordinary.address})
    configure(store, target)
    await wait_until(daemon.ready)
    return partial(listener.serve, ordinary.serve)


def play(tmp_path, form, crowd_size):
    async def scenario(daemon, store, target):
        crowd = Crowd()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(await start(store, target, daemon))
            for _ in range(crowd_size):
                tasks.start_soon(crowd.run, daemon, form)
            await crowd.wait_stalled(daemon)
            check(daemon)
            await ask_ordinary(daemon)
            check(daemon)
            tasks.cancel_scope.cancel()

    run_with_daemon(tmp_path, scenario, answer_slowly, **SETTINGS)


class TestCrowd:
    @pytest.mark.parametrize("name", FORMS)
    def test_memory_and_descriptors_stay_bounded_and_an_ordinary_call_is_served(
        self, tmp_path, name
    ):
        play(tmp_path, FORMS[name], CROWD)

    def test_idle_connections_keep_no_new_caller_out(self, tmp_path):
        play(tmp_path, nothing, IDLE_CROWD)

    def test_mixed_crowd_while_gateways_are_stopped_and_started(self, tmp_path):
        async def scenario(first, store, target):
            crowd, daemons = Crowd(), [first]

            async def restart(tasks):
                """Start another gateway beside the last one, which is then stopped."""
                old = daemons[-1]
                folder = tmp_path / f"{len(daemons)}"
                folder.mkdir()
                new = Daemon(folder, old.settings["registry"], **SETTINGS)
                daemons.append(new)
                await wait_until(new.ready)
                for form in FORMS.values():
                    for _ in range(CROWD // len(FORMS)):
                        tasks.start_soon(crowd.run, new, form, True)
                await anyio.sleep(STALLED_S)
                check(old)
                old.process.terminate()
                assert await old.wait_exit() == 0

            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(await start(store, target, first))
                    for form in FORMS.values():
                        for _ in range(CROWD // len(FORMS)):
                            tasks.start_soon(crowd.run, first, form, True)
                    await anyio.sleep(STALLED_S)
                    for _ in range(2):
                        await restart(tasks)
                    check(daemons[-1])
                    await ask_ordinary(daemons[-1])
                    check(daemons[-1])
                    tasks.cancel_scope.cancel()
            finally:
                for daemon in daemons[1:]:
                    daemon.process.kill()
                    daemon.process.wait()

        run_with_daemon(tmp_path, scenario, answer_slowly, **SETTINGS)
