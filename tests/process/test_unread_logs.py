"""Entries and sidecars whose log nobody reads, beside callers whose requests are refused."""

import struct
from contextlib import suppress

import anyio

from guavawalk.exception import TargetLost
from tests.process.entry_processes import answers, run_with_fleet

# Their lines exceed the capacity of a pipe, 64 KiB.
REFUSED = 600
# A process that hangs serves no further one in this time.
PLAYED_S = 20.0


async def send_refused_request(caller):
    with suppress(TargetLost):
        await caller.ask(path=b"/none")


async def send_refused_frame(caller):
    await caller.stream.send(struct.pack(">I", 2**32 - 1))
    with suppress(anyio.EndOfStream):
        await caller.stream.receive()


def play(folder, send, at_sidecar=False):
    async def scenario(entry, sidecar):
        with anyio.move_on_after(PLAYED_S):
            for _ in range(REFUSED):
                caller = await (sidecar if at_sidecar else entry).caller()
                async with caller.stream:
                    with suppress(anyio.BrokenResourceError):
                        await send(caller)
        with anyio.fail_after(PLAYED_S):
            assert await answers(entry)

    run_with_fleet(folder, scenario, reads_logs=False)


class TestEntry:
    def test_ordinary_request_is_served(self, tmp_path):
        play(tmp_path, send_refused_request)


class TestSidecar:
    def test_ordinary_request_is_served(self, tmp_path):
        play(tmp_path, send_refused_frame, at_sidecar=True)
