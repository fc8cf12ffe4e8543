"""Tests that daemons serve the administration API at the address in their settings."""

import socket

import anyio
import httpcore
import pytest

from guavawalk.exception import AdminError
from guavawalk.process.admin.client import create_admin_client
from guavawalk.process.entry_daemon import run_entry
from guavawalk.process.settings import EntrySettings, SidecarSettings
from guavawalk.process.sidecar_daemon import run_sidecar
from tests.process.admin.keys import KEYS, READER

MAX_ATTEMPTS = 200
RETRY_DELAY_S = 0.05
COMMON = {"data_centre": "victoria", "platform_url": "http://127.0.0.1:1", "allow_open": True}
SIDECAR = {"target": "engine-0", "target_kind": "model", "target_url": "http://127.0.0.1:1"}


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def fetch_state(run, settings) -> dict:
    async with httpcore.AsyncConnectionPool() as pool, anyio.create_task_group() as tasks:
        client = create_admin_client(settings.admin_listen, READER, pool)
        tasks.start_soon(run, settings)
        for _ in range(MAX_ATTEMPTS):
            try:
                state = await client.get("/v1/state")
                break
            except AdminError:
                await anyio.sleep(RETRY_DELAY_S)
        else:
            pytest.fail("the administration API did not answer")
        tasks.cancel_scope.cancel()
    return state


class TestListener:
    @pytest.mark.parametrize(
        ("run", "kind", "extra"),
        [(run_entry, EntrySettings, {}), (run_sidecar, SidecarSettings, SIDECAR)],
        ids=["entry", "sidecar"],
    )
    def test_serves_state_before_the_first_version(self, run, kind, extra):
        settings = kind(
            instance="node-1",
            listen=free_address(),
            admin_listen=free_address(),
            admin_keys=KEYS,
            **COMMON,
            **extra,
        )
        state = anyio.run(fetch_state, run, settings)
        assert (state["instance"], state["version"]) == ("node-1", 0)
