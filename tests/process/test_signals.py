"""Tests shutdown signals under load and a restart without the platform, with real processes."""

import json
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest

from guavawalk.codes import ResultCode
from guavawalk.process.http_server import serve_asgi
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.tools.standins.engine import create_engine_app
from guavawalk.tools.standins.engine_model import EngineSpeed, create_engine_model
from guavawalk.tools.standins.platform import PlatformState, create_platform_app
from guavawalk.version.publish import published_values, render_documents

FREE = "127.0.0.1:0"
START_LIMIT_S = 30
END_LIMIT_S = 40
LONG_TOKENS = 150


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class Daemons:
    """A platform and an engine in this process, and daemons in processes of their own."""

    def __init__(self, tmp_path, tasks):
        self.tmp_path = tmp_path
        self.tasks = tasks
        self.books = PlatformState()
        self.entry = free_address()
        self.entry_peers = free_address()
        self.sidecar = free_address()
        self.running = []

    async def start(self):
        engine = create_engine_model(EngineSpeed(8_000.0, 60.0, 8))
        app = create_engine_app(engine, self.tasks, ("quill",))
        self.engine_url = f"http://{await self.tasks.start(serve_asgi, app, FREE)}"
        platform = await self.tasks.start(serve_asgi, create_platform_app(self.books), FREE)
        self.platform_url = f"http://{platform}"
        plan = kestrel_lane_plan()
        plan = plan._replace(targets=plan.targets[:1])
        parts = plan_parts(plan, {"engine-0": self.sidecar})
        self.books.publish(published_values(render_documents(1, parts)))

    def run(self, role, **settings):
        common = {"role": role, "data_centre": "victoria", "platform_url": self.platform_url}
        common |= {"allow_open": True, "start_jitter_ms": 1, "instance": role}
        path = self.tmp_path / f"{role}-{len(self.running)}.json"
        path.write_text(json.dumps(common | settings))
        log = (self.tmp_path / f"{path.stem}.log").open("w+")
        command = [sys.executable, "-m", "guavawalk", role, "--settings", str(path)]
        daemon = subprocess.Popen(command, stderr=log)
        self.running.append((daemon, log))
        return daemon

    def run_sidecar(self, **more):
        target = {"target": "engine-0", "target_kind": "model", "target_url": self.engine_url}
        return self.run("sidecar", listen=self.sidecar, **target, **more)

    def run_entry(self):
        return self.run("entry", listen=self.entry, peer_listen=self.entry_peers)

    def events(self, daemon):
        log = next(log for found, log in self.running if found is daemon)
        log.seek(0)
        return [json.loads(line) for line in log if line.startswith("{")]

    async def wait_event(self, daemon, name):
        with anyio.fail_after(START_LIMIT_S):
            while name not in {event["event_name"] for event in self.events(daemon)}:
                await anyio.sleep(0.05)

    async def wait_end(self, daemon):
        with anyio.fail_after(END_LIMIT_S):
            while daemon.poll() is None:
                await anyio.sleep(0.05)
        return daemon.returncode

    async def get(self, path):
        async with httpcore.AsyncConnectionPool() as pool:
            return (await pool.request("GET", f"http://{self.entry}{path}")).status

    @asynccontextmanager
    async def ask(self, tokens):
        body = {"model": "quill", "prompt": "a plan", "max_tokens": tokens, "stream": True}
        headers = {"Authorization": "Bearer key-harbour", "Content-Type": "application/json"}
        content = json.dumps(body).encode()
        url = f"http://{self.entry}/v1/completions"
        timeout = {"timeout": {"read": 60.0}}
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream(
                "POST", url, headers=headers, content=content, extensions=timeout
            ) as answer,
        ):
            yield answer

    async def ask_and_read(self, tokens, answers):
        async with self.ask(tokens) as answer:
            parts = [part async for part in answer.aiter_stream()]
        answers.append((answer.status, b"".join(parts)))


def run_scenario(tmp_path, scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            daemons = Daemons(tmp_path, tasks)
            try:
                await daemons.start()
                await scenario(daemons)
            finally:
                for daemon, log in daemons.running:
                    daemon.kill()
                    daemon.wait()
                    log.close()
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def start_both(daemons):
    sidecar, entry = daemons.run_sidecar(), daemons.run_entry()
    await daemons.wait_event(sidecar, "process_ready")
    await daemons.wait_event(sidecar, "version_in_force")
    await daemons.wait_event(entry, "process_ready")
    return sidecar, entry


class TestFirstSignal:
    @pytest.mark.parametrize("first", ["entry", "sidecar"])
    def test_requests_in_progress_are_completed(self, tmp_path, first):
        async def scenario(daemons):
            sidecar, entry = await start_both(daemons)
            ready, answers = [await daemons.get("/readyz")], []
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(daemons.ask_and_read, LONG_TOKENS, answers)
                await anyio.sleep(0.7)
                for daemon in [entry, sidecar] if first == "entry" else [sidecar, entry]:
                    daemon.send_signal(signal.SIGTERM)
                await daemons.wait_event(entry, "shutdown_begun")
                ready.append(await daemons.get("/readyz"))
                async with daemons.ask(1) as late:
                    code = dict(late.headers)[b"x-guavawalk-code"]
            assert ready == [200, 503]
            assert int(code) == ResultCode.DRAINING
            assert [status for status, _ in answers] == [200] * 4
            for _, data in answers:
                assert data.count(b'"text"') == LONG_TOKENS
                assert b"[DONE]" in data
            assert await daemons.wait_end(entry) == 0
            assert await daemons.wait_end(sidecar) == 0

        run_scenario(tmp_path, scenario)


class TestSecondSignal:
    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    def test_forces_the_exit_and_logs_the_interrupted_requests(self, tmp_path, role):
        async def scenario(daemons):
            sidecar, entry = await start_both(daemons)
            daemon = entry if role == "entry" else sidecar
            async with daemons.ask(5_000) as answer:
                parts = answer.aiter_stream()
                await anext(parts)
                daemon.send_signal(signal.SIGTERM)
                await daemons.wait_event(daemon, "shutdown_begun")
                daemon.send_signal(signal.SIGTERM)
                code = await daemons.wait_end(daemon)
            forced = [e for e in daemons.events(daemon) if e["event_name"] == "shutdown_forced"]
            assert code == 1
            assert [event["cut_off"] for event in forced] == [1]

        run_scenario(tmp_path, scenario)


class TestRestart:
    def test_version_is_fetched_from_a_peer_while_the_platform_is_down(self, tmp_path):
        async def scenario(daemons):
            sidecar, entry = await start_both(daemons)
            daemons.books.down = True
            sidecar.kill()
            await daemons.wait_end(sidecar)
            again = daemons.run_sidecar(peers=[daemons.entry_peers])
            await daemons.wait_event(again, "version_in_force")
            answers = []
            await daemons.ask_and_read(3, answers)
            assert answers[0][0] == 200

        run_scenario(tmp_path, scenario)
