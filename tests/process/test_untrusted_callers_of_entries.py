"""Tests an entry and a sidecar process beside callers that send much, slowly or never whole."""

import struct

import anyio
import pytest

from guavawalk.connection.codec import MAX_FRAME_BYTES
from guavawalk.version.documents import digest_bytes
from soak.fleet import free_ports
from tests.process.entry_processes import Address, answers, run_with_fleet
from tests.process.test_untrusted_callers import (
    BLOCK,
    CROWD,
    FORMS,
    Crowd,
    alone,
    check_limits,
    nothing,
)
from tests.process.test_untrusted_callers_large_crowds import ENDLESS_FORMS

__all__ = ["alone"]

# The smallest machines.
MAX_MEMORY_MB = 160
MAX_RESIDENT_KB = MAX_MEMORY_MB * 1000
MAX_DESCRIPTORS = 700
SETTINGS = {"max_memory_mb": MAX_MEMORY_MB, "body_limit_bytes": 2 * 1024 * 1024}
LARGE_CROWD = 480
LARGE_FORMS = {**FORMS, **ENDLESS_FORMS}


async def frame_one_byte_short(send):
    await send(struct.pack(">I", MAX_FRAME_BYTES))
    for _ in range(MAX_FRAME_BYTES // len(BLOCK) - 1):
        await send(BLOCK)
    await send(BLOCK[1:])


async def frames_of_one_byte(send):
    while True:
        await send(struct.pack(">Ic", 1, b"x") * 1000)


async def frame_far_over_the_limit(send):
    await send(struct.pack(">I", 2**32 - 1))
    while True:
        await send(BLOCK)


async def small_requests_without_end(send):
    while True:
        await send(SMALL_REQUEST * 100)


async def small_requests_without_a_target(send):
    while True:
        await send(REQUEST_WITHOUT_A_TARGET * 100)


REQUEST_WITHOUT_A_TARGET = b"GET /x/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k1\r\n\r\n"
SMALL_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k1\r\n"
    b"Content-Length: 1\r\n\r\nx"
)
# More connections than the sidecar may have descriptors, and twice this than the entry.
IDLE_CROWD = 160
ENTRY_IDLE_CROWD = 560
LINK_FORMS = {
    "frame_one_byte_short": frame_one_byte_short,
    "frames_of_one_byte": frames_of_one_byte,
    "frame_far_over_the_limit": frame_far_over_the_limit,
    **FORMS,
}


def check(*processes):
    """Check that the processes live and use no more than the smallest machines have."""
    for process in processes:
        check_limits(process, MAX_DESCRIPTORS, MAX_RESIDENT_KB)


def play(folder, forms, crowd_size, at_sidecar=False):
    async def scenario(entry, sidecar):
        crowd, played = Crowd(), sidecar if at_sidecar else entry
        async with anyio.create_task_group() as callers:
            for number in range(crowd_size):
                callers.start_soon(crowd.run, played, forms[number % len(forms)])
            await crowd.wait_stalled(played)
            check(entry, sidecar)
            callers.cancel_scope.cancel()
        assert await answers(entry)
        check(entry, sidecar)

    run_with_fleet(folder, scenario, **SETTINGS)


class TestEntry:
    @pytest.mark.parametrize("name", FORMS)
    def test_memory_and_descriptors_stay_bounded_and_an_ordinary_call_is_served(
        self, tmp_path, name
    ):
        play(tmp_path, [FORMS[name]], CROWD)

    @pytest.mark.parametrize("name", LARGE_FORMS)
    def test_large_crowd(self, tmp_path, name):
        play(tmp_path, [LARGE_FORMS[name]], LARGE_CROWD)

    def test_large_crowd_of_all_forms(self, tmp_path):
        play(tmp_path, list(LARGE_FORMS.values()), LARGE_CROWD)

    def test_large_crowd_of_small_requests_without_end(self, tmp_path):
        play(tmp_path, [small_requests_without_end], LARGE_CROWD)

    def test_large_crowd_of_small_requests_without_a_target(self, tmp_path):
        play(tmp_path, [small_requests_without_a_target], LARGE_CROWD)

    def test_idle_connections_of_callers_and_of_the_administration(self, tmp_path):
        (port,) = free_ports(1)
        admin = Address(f"127.0.0.1:{port}")

        async def scenario(entry, sidecar):
            crowd = Crowd()
            async with anyio.create_task_group() as callers:
                for _ in range(ENTRY_IDLE_CROWD):
                    callers.start_soon(crowd.run, entry, nothing)
                    callers.start_soon(crowd.run, admin, nothing)
                await crowd.wait_stalled(entry)
                check(entry, sidecar)
                callers.cancel_scope.cancel()
            assert await answers(entry)

        key = {"name": "o", "key_digest": digest_bytes(b"k1")}
        settings = {**SETTINGS, "admin_listen": admin.address, "admin_keys": [key]}
        run_with_fleet(tmp_path, scenario, **settings)


class TestSidecar:
    @pytest.mark.parametrize("name", LINK_FORMS)
    def test_memory_and_descriptors_stay_bounded_and_an_ordinary_call_is_served(
        self, tmp_path, name
    ):
        play(tmp_path, [LINK_FORMS[name]], CROWD, at_sidecar=True)

    def test_more_connections_than_descriptors(self, tmp_path):
        play(tmp_path, [nothing], IDLE_CROWD, at_sidecar=True)
