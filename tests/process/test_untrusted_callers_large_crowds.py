"""Tests a gateway process beside and after large crowds of callers."""

import anyio
import pytest

from tests.process.test_gateway_daemon import run_with_daemon
from tests.process.test_untrusted_callers import (
    CHUNKED_HEAD,
    FORMS,
    Crowd,
    alone,
    announced,
    answer_slowly,
    ask_ordinary,
    check_limits,
    start,
)

__all__ = ["alone"]

CROWD = 400
RETURNING_CROWD = 64
# A gateway accepts 440 callers with it.
MAX_DESCRIPTORS = 1100
# The smallest machines of gateways, and ones on which all bodies of the crowd have room.
SMALL_MEMORY_MB = 160
LARGE_MEMORY_MB = 1000
SINGLE_BYTES = b"1\r\nx\r\n" * 10_000
EXTENSIONS = (b"1;" + b"e" * 1024 + b"\r\nx\r\n") * 60


async def single_bytes_endless(send):
    await send(CHUNKED_HEAD)
    while True:
        await send(SINGLE_BYTES)


async def extensions_endless(send):
    await send(CHUNKED_HEAD)
    while True:
        await send(EXTENSIONS)


async def one_byte_a_write(send):
    await send(announced(1024 * 1024))
    while True:
        await send(b"x")
        await anyio.sleep(0)


def leaving(form):
    """Return a form whose callers close their connections after it."""

    async def send_and_leave(send):
        await form(send)
        raise anyio.EndOfStream

    return send_and_leave


ENDLESS_FORMS = {
    "single_bytes": single_bytes_endless,
    "extensions": extensions_endless,
    "one_byte_a_write": one_byte_a_write,
}


def play(tmp_path, forms, max_memory_mb, stays, crowd_size=CROWD):
    """Play a crowd; if it stays, it connects anew and an ordinary request is sent beside it."""
    settings = {"max_memory_mb": max_memory_mb, "max_descriptors": MAX_DESCRIPTORS}

    async def scenario(daemon, store, target):
        crowd = Crowd()

        def check():
            check_limits(daemon, MAX_DESCRIPTORS, max_memory_mb * 1000)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(await start(store, target, daemon))
            async with anyio.create_task_group() as callers:
                for number in range(crowd_size):
                    callers.start_soon(crowd.run, daemon, forms[number % len(forms)], stays)
                await crowd.wait_stalled(daemon)
                check()
                if stays:
                    await ask_ordinary(daemon)
                callers.cancel_scope.cancel()
            await ask_ordinary(daemon)
            check()
            tasks.cancel_scope.cancel()

    run_with_daemon(tmp_path, scenario, answer_slowly, **settings)


class TestCrowdThatLeaves:
    @pytest.mark.parametrize("name", [*FORMS, *ENDLESS_FORMS])
    def test_memory_and_descriptors_stay_bounded_and_an_ordinary_call_is_served(
        self, tmp_path, name
    ):
        form = {**FORMS, **ENDLESS_FORMS}[name]
        play(tmp_path, [form], SMALL_MEMORY_MB, stays=False)

    def test_all_forms_at_once(self, tmp_path):
        forms = [*FORMS.values(), *ENDLESS_FORMS.values()]
        play(tmp_path, forms, SMALL_MEMORY_MB, stays=False)


class TestCrowdThatReturns:
    @pytest.mark.parametrize("name", ["one_byte_short", "chunks_short", "single_bytes_short"])
    @pytest.mark.parametrize("crowd_size", [RETURNING_CROWD, CROWD])
    def test_memory_of_bodies_whose_callers_left_is_free(self, tmp_path, crowd_size, name):
        form = leaving(FORMS[name])
        play(tmp_path, [form], SMALL_MEMORY_MB, stays=True, crowd_size=crowd_size)


class TestCrowdThatStays:
    @pytest.mark.parametrize("name", ENDLESS_FORMS)
    def test_ordinary_call_is_served_beside_bodies_that_cost_much_to_parse(self, tmp_path, name):
        play(tmp_path, [ENDLESS_FORMS[name]], LARGE_MEMORY_MB, stays=True)
