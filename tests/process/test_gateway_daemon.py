import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from datetime import datetime

import anyio
import httpcore
import pytest

from guavawalk.connection.http_client import create_http_client
from guavawalk.connection.http_encoding import (
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.socket_stream import create_listener
from guavawalk.exception import TargetError, TargetLost
from guavawalk.process import gateway_daemon
from guavawalk.process.admin.client import create_admin_client
from guavawalk.process.gateway_daemon import run_gateway
from soak.fleet import free_ports
from soak.standins import (
    CHUNKED,
    Caller,
    StandInStore,
    StandInTarget,
    answer_plain,
    event,
    listen,
    signed_headers,
    stay_silent,
)
from tests.gateway_standins import connect_slow_reader, run_with_timeout
from tests.platform.test_registrations import ROW
from tests.process.admin.keys import KEYS, READER

ROUTE = {
    "name": "r-1",
    "hostname": "a.example",
    "prefix": "/x/",
    "routeType": "safe",
    "timeoutMs": 5000,
    "service": "desk",
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "desk"}],
    "tenants": [{"name": "w", "apiKeys": ["k1"]}],
}


class PartsCollector:
    """A stream that keeps what is sent."""

    def __init__(self, parts):
        self.parts = parts

    async def send(self, data):
        self.parts.append(data)


class Daemon:
    """A gateway in a process of its own; its settings file is named by an environment variable."""

    def __init__(self, folder, registry, **settings):
        callers, readiness, peers, metrics = free_ports(4)
        self.callers = f"127.0.0.1:{callers}"
        self.readiness = create_http_client(f"127.0.0.1:{readiness}")
        self.metrics = create_http_client(f"127.0.0.1:{metrics}")
        self.path = folder / "settings.json"
        self.output = folder / "output"
        self.settings = {
            "instance": "g-1",
            "data_centre": "a",
            "listen": self.callers,
            "readiness_listen": f"127.0.0.1:{readiness}",
            "peer_listen": f"127.0.0.1:{peers}",
            "metrics_port": metrics,
            "registry": registry,
            "is_first_start": True,
            **settings,
        }
        self.write("// settings for a test\n" + json.dumps(self.settings))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "guavawalk.process.start_gateway"],
            env={**os.environ, "GUAVAWALK_CONFIG": str(self.path)},
            stdout=self.output.open("wb"),
            stderr=subprocess.STDOUT,
        )

    def write(self, text):
        self.path.write_text(text)

    async def ready(self):
        try:
            return (await self.readiness.get("/readyz", 1.0)).status == 200
        except TargetError:
            return False

    async def caller(self):
        host, port = self.callers.split(":")
        return Caller(await anyio.connect_tcp(host, int(port)))

    def lines(self):
        lines = self.output.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def events(self):
        return [line["event_name"] for line in self.lines()]

    async def fail_on_error_exit(self):
        """Wait for the process to exit; fail if its exit code is not 0."""
        while self.process.poll() is None:
            await anyio.sleep(0.05)
        assert self.process.returncode == 0, self.output.read_text()[-2000:]

    async def wait_exit(self):
        while self.process.poll() is None:
            await anyio.sleep(0.02)
        return self.process.returncode


async def wait_until(condition):
    while not await condition():
        await anyio.sleep(0.02)


def run_with_daemon(tmp_path, scenario, script=answer_plain, **settings):
    async def run():
        store, target = StandInStore(), StandInTarget(script)
        store_listener, registry = await listen(store.serve)
        target_listener, target.address = await listen(target.serve)
        store.put("servers/i-1", {**ROW, "service": "desk", "address": target.address})
        daemon = Daemon(tmp_path, registry, **settings)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store_listener.serve, store.serve)
                tasks.start_soon(target_listener.serve, target.serve)
                tasks.start_soon(daemon.fail_on_error_exit)
                await scenario(daemon, store, target)
                tasks.cancel_scope.cancel()
        finally:
            if daemon.process.poll() is None:
                daemon.process.kill()
            daemon.process.wait()

    run_with_timeout(run)


class TestStart:
    def test_reload_signal_is_ignored_while_modules_are_imported(self):
        code = (
            "import signal, sys; from guavawalk.process import start_gateway;"
            "assert 'guavawalk.process.gateway_daemon' not in sys.modules;"
            "from guavawalk.process import gateway_daemon;"
            "gateway_daemon.main = lambda: print(signal.getsignal(signal.SIGHUP).name);"
            "start_gateway.main()"
        )
        found = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert found.stdout == "SIG_IGN\n"

    @pytest.mark.parametrize("slow", [0, 1, 2])
    def test_all_connections_are_accepted_once_the_readiness_page_answers(
        self, tmp_path, monkeypatch, slow
    ):
        callers, readiness, peers, metrics = free_ports(4)
        slow_port = (callers, peers, metrics)[slow]

        def open_slowly(host, port, backlog):
            if port == slow_port:
                time.sleep(0.3)
            return create_listener(host, port, backlog)

        async def scenario():
            path = tmp_path / "settings.json"
            names = ("listen", "readiness_listen", "peer_listen", "registry")
            ports = (callers, readiness, peers, 1)
            addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports)}
            settings = {"instance": "g-1", "data_centre": "a", "metrics_port": metrics, **addresses}
            path.write_text(json.dumps(settings))
            client = create_http_client(addresses["readiness_listen"])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_gateway, path)
                while not await is_answered(client):
                    await anyio.sleep(0.01)
                for port in (callers, peers, metrics):
                    await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(gateway_daemon, "create_listener", open_slowly)
        run_with_timeout(scenario)


class TestGatewayDaemon:
    def test_serves_calls_until_it_has_drained(self, tmp_path):
        async def scenario(daemon, store, target):
            await wait_until(lambda: answers(daemon))
            assert not await daemon.ready()
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            caller = await daemon.caller()
            assert (await caller.ask(body=b"a"))[::2] == (200, b"served a")
            text = (await daemon.metrics.get("/metrics", 1.0)).body.decode()
            assert 'guavawalk_calls_total{code="COMPLETED"} 1' in text
            daemon.process.send_signal(signal.SIGTERM)
            await wait_until(lambda: not_ready(daemon))
            status, headers, _ = await caller.ask(body=b"b")
            assert (status, headers[b"Connection"]) == (200, b"close")
            assert await daemon.wait_exit() == 0
            found = daemon.events()
            assert found[0] == "process_started" and found[-1] == "shutdown_done"

        run_with_daemon(tmp_path, scenario)

    @pytest.mark.parametrize("signals", [1, 3])
    def test_running_call_is_answered_before_the_process_exits(self, tmp_path, signals):
        async def slow(target, stream, request):
            await anyio.sleep(3.5)
            await answer_plain(target, stream, request)

        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            caller = await daemon.caller()
            await caller.send(body=b"a")
            while not target.received:
                await anyio.sleep(0.02)
            for _ in range(signals):
                daemon.process.send_signal(signal.SIGTERM)
                await anyio.sleep(0.3)
            assert (await caller.answer())[::2] == (200, b"served a")
            assert await daemon.wait_exit() == 0

        run_with_daemon(tmp_path, scenario, slow)

    def test_administration_is_served_where_the_settings_name_an_address(self, tmp_path):
        (port,) = free_ports(1)
        keys = [key._asdict() for key in KEYS]

        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            async with httpcore.AsyncConnectionPool() as pool:
                client = create_admin_client(f"127.0.0.1:{port}", READER, pool)
                assert (await client.get("/v1/state"))["role"] == "gateway"
                assert (await client.get("/v1/suspects"))["suspects"] == []
            daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.wait_exit() == 0

        document = {"admin_listen": f"127.0.0.1:{port}", "admin_keys": keys}
        run_with_daemon(tmp_path, scenario, **document)

    def test_stream_that_the_stop_cuts_off_is_logged_before_the_exit(self, tmp_path):
        async def endless(target, stream, request):
            await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
            while True:
                await stream.send(encode_chunk(event(1)))
                await anyio.sleep(0.05)

        async def scenario(daemon, store, target):
            route = {**ROUTE, "routeType": "streaming", "timeoutMs": 20_000}
            store.put("op/config", {**DOCUMENT, "routes": [route]})
            await wait_until(daemon.ready)
            caller = await daemon.caller()
            await caller.send()
            assert (await caller.reader.read_head()).status == 200
            daemon.process.send_signal(signal.SIGTERM)
            with pytest.raises(TargetLost):
                while await caller.reader.read_part():
                    pass
            assert await daemon.wait_exit() == 0
            *_, ended, done = daemon.lines()
            assert (ended["event_name"], ended["code_name"]) == ("call_ended", "CUT_OFF")
            assert not ended["is_whole"] and ended["status"] == 200
            assert (done["event_name"], done["left"]) == ("shutdown_done", 1)

        run_with_daemon(tmp_path, scenario, endless, grace_ms=3500)

    def test_requests_at_any_moment_of_a_stop_are_answered(self, tmp_path):
        async def ask_all(caller, statuses):
            """Send requests on one connection until the gateway announces that it closes."""
            while True:
                status, headers, _ = await caller.ask(body=b"a")
                statuses.append(status)
                if headers.get(b"Connection") == b"close":
                    return
                await anyio.sleep(0.01)

        async def ask_slowly(daemon, delay_s, statuses):
            """Send a request in two parts, of which the second comes late in the stop."""
            caller = await daemon.caller()
            stream, parts = caller.stream, []
            caller.stream = PartsCollector(parts)
            await caller.send(body=b"abcdef")
            request = b"".join(parts)
            await stream.send(request[:40])
            await anyio.sleep(delay_s)
            await stream.send(request[40:])
            statuses.append((await caller.answer())[0])

        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            statuses = []
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(ask_all, await daemon.caller(), statuses)
                for number in range(8):
                    tasks.start_soon(ask_slowly, daemon, 2.2 + 0.1 * number, statuses)
                await anyio.sleep(0.2)
                daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.wait_exit() == 0
            assert set(statuses) <= {200, 503} and statuses.count(503) >= 1

        run_with_daemon(tmp_path, scenario)

    def test_caller_that_does_not_read_its_answer_does_not_delay_the_exit(self, tmp_path):
        async def answer_much(target, stream, request):
            await anyio.sleep(2.0)
            await stream.send(encode_response(200, signed_headers(request), bytes(4_000_000)))

        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            caller = connect_slow_reader(daemon.callers)
            await caller.send()
            while not target.received:
                await anyio.sleep(0.02)
            daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.wait_exit() == 0
            *_, ended, done = daemon.lines()
            assert (ended["event_name"], ended["code_name"]) == ("call_ended", "CUT_OFF")
            begun = daemon.lines()[daemon.events().index("shutdown_begun")]
            # The kernel breaks the connection after 5 s, and the call's deadline is as late.
            assert seconds_between(begun, done) < 4.5

        run_with_daemon(tmp_path, scenario, answer_much, grace_ms=3500)

    def test_signals_until_the_exit_change_nothing(self, tmp_path):
        async def scenario(daemon, store, target):
            store.put("op/config", {**DOCUMENT, "routes": [{**ROUTE, "routeType": "unsafe"}]})
            await wait_until(daemon.ready)
            caller = await daemon.caller()
            await caller.send()
            while not target.received:
                await anyio.sleep(0.02)
            while daemon.process.poll() is None:
                for number in (signal.SIGTERM, signal.SIGINT):
                    daemon.process.send_signal(number)
                await anyio.sleep(0.002)
            assert daemon.process.returncode == 0
            assert (await caller.answer())[0] == 502
            assert daemon.events()[-2:] == ["call_ended", "shutdown_done"]

        run_with_daemon(tmp_path, scenario, stay_silent, grace_ms=3500)

    def test_calls_that_outlast_the_stop_are_answered(self, tmp_path):
        """One call is running, one waits in the queue, and two are pipelined behind the first."""

        async def scenario(daemon, store, target):
            one_slot = {**ROW, "service": "desk", "address": target.address, "capacity": 1}
            store.put("servers/i-1", one_slot)
            store.put("op/config", {**DOCUMENT, "routes": [{**ROUTE, "routeType": "unsafe"}]})
            await wait_until(daemon.ready)
            running, other, waiting = [await daemon.caller() for _ in range(3)]
            for number, caller in enumerate((running, other, running, running)):
                await caller.send(body=b"a", request_id=b"r%d" % number)
                while not target.received:
                    await anyio.sleep(0.02)
            while len(target.received) < 2:
                await anyio.sleep(0.02)
            daemon.process.send_signal(signal.SIGTERM)
            await anyio.sleep(1.8)
            await waiting.send(body=b"a", request_id=b"waiting")
            answers = {
                "other": await other.answer(),
                "waiting": await waiting.answer(),
                "running": await running.answer(),
                "next": await running.answer(),
                "last": await running.answer(),
            }
            assert await daemon.wait_exit() == 0
            assert {name: answer[0] for name, answer in answers.items()} == {
                "other": 502,
                "waiting": 503,
                "running": 502,
                "next": 503,
                "last": 503,
            }
            closing = [
                name for name, (_, headers, _) in answers.items() if b"Connection" in headers
            ]
            assert closing == ["other", "waiting", "last"]
            assert all(b"Retry-After" in answers[name][1] for name in ("waiting", "next", "last"))
            assert len(target.received) == 2

        run_with_daemon(tmp_path, scenario, stay_silent, grace_ms=3500)

    @pytest.mark.parametrize("is_kept", [True, False])
    def test_requests_that_come_while_a_stopping_process_gets_no_processor_are_answered(
        self, tmp_path, is_kept
    ):
        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            caller = await daemon.caller() if is_kept else None
            if caller:
                assert (await caller.ask(body=b"a"))[0] == 200
            daemon.process.send_signal(signal.SIGTERM)
            await anyio.sleep(2.3)
            daemon.process.send_signal(signal.SIGSTOP)
            caller = caller or await daemon.caller()
            await caller.send(body=b"b")
            await anyio.sleep(0.7)
            daemon.process.send_signal(signal.SIGCONT)
            assert (await caller.answer())[0] in (200, 503)
            assert await daemon.wait_exit() == 0

        run_with_daemon(tmp_path, scenario)

    @pytest.mark.parametrize("has_running_call", [False, True])
    def test_requests_are_not_cut_off_where_callers_connect_until_the_process_ends(
        self, tmp_path, has_running_call
    ):
        async def connect_until_refused(daemon, outcomes):
            while True:
                try:
                    caller = await daemon.caller()
                except OSError:
                    return
                try:
                    outcomes.append((await caller.ask(body=b"a"))[0])
                except (TargetLost, anyio.BrokenResourceError):
                    outcomes.append(None)
                await caller.stream.aclose()

        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            outcomes = []
            if has_running_call:
                await (await daemon.caller()).send(body=b"long")
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(connect_until_refused, daemon, outcomes)
                daemon.process.send_signal(signal.SIGTERM)
                await daemon.wait_exit()
            # A connection that the kernel accepts at the moment of the close is reset unread.
            assert set(outcomes) <= {200, 503, None}
            assert outcomes.count(None) <= 4 and outcomes.count(503) > 4

        async def answer(target, stream, request):
            await (stay_silent if request.body == b"long" else answer_plain)(
                target, stream, request
            )

        run_with_daemon(tmp_path, scenario, answer, grace_ms=3500)

    def test_lack_of_descriptors_ends_no_process(self, tmp_path):
        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            limits = resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE)
            in_use = len(os.listdir(f"/proc/{daemon.process.pid}/fd"))
            resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (in_use, limits[1]))
            callers = [await daemon.caller() for _ in range(3)]
            await anyio.sleep(0.3)
            resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, limits)
            for caller in callers:
                assert (await caller.ask())[0] == 200

        run_with_daemon(tmp_path, scenario)

    def test_connections_beyond_the_descriptor_limit_are_closed(self, tmp_path):
        async def scenario(daemon, store, target):
            store.put("op/config", {**DOCUMENT, "routes": [{**ROUTE, "routeType": "unsafe"}]})
            await wait_until(daemon.ready)
            callers = [await daemon.caller() for _ in range(2)]
            for caller in callers:
                await caller.send(body=b"long")
            while len(target.received) < 2:
                await anyio.sleep(0.02)
            with pytest.raises((TargetLost, OSError, anyio.BrokenResourceError)):
                await (await daemon.caller()).ask()
            release.set()
            assert [(await caller.answer())[0] for caller in callers] == [200, 200]
            assert (await callers[0].ask())[0] == 200

        async def answer(target, stream, request):
            await release.wait()
            await answer_plain(target, stream, request)

        release = anyio.Event()
        run_with_daemon(tmp_path, scenario, answer, max_descriptors=224)

    def test_new_connection_replaces_the_one_that_is_idle_for_longest(self, tmp_path):
        async def scenario(daemon, store, target):
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)
            callers = [await daemon.caller() for _ in range(2)]
            assert [(await caller.ask())[0] for caller in callers] == [200, 200]
            assert (await (await daemon.caller()).ask())[0] == 200
            with pytest.raises(anyio.EndOfStream):
                await callers[0].stream.receive()
            assert (await callers[1].ask())[0] == 200

        run_with_daemon(tmp_path, scenario, max_descriptors=224)

    @pytest.mark.parametrize("with_signal", [True, False])
    def test_settings_are_reloaded(self, tmp_path, with_signal):
        async def scenario(daemon, store, target):
            async def is_logged(name):
                return name in daemon.events()

            await wait_until(lambda: answers(daemon))
            daemon.write("{ cut off")
            if with_signal:
                daemon.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: is_logged("settings_rejected"))
            daemon.write(json.dumps({**daemon.settings, "peers": ["127.0.0.1:9"]}))
            if with_signal:
                daemon.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: is_logged("settings_changed"))
            store.put("op/config", DOCUMENT)
            await wait_until(daemon.ready)

        run_with_daemon(tmp_path, scenario)

    def test_starts_while_the_settings_are_being_written(self, tmp_path, monkeypatch):
        write = Daemon.write

        def write_late(daemon, text):
            write(daemon, "")
            threading.Timer(0.4, write, (daemon, text)).start()

        async def scenario(daemon, store, target):
            await wait_until(lambda: answers(daemon))

        monkeypatch.setattr(Daemon, "write", write_late)
        run_with_daemon(tmp_path, scenario)

    @pytest.mark.parametrize(
        "change",
        [
            {"listen": "nowhere"},
            {"grace_ms": 0},
            {"log_level": "LOUD"},
            {"registry": 5},
            {"novelty": 1},
        ],
    )
    def test_invalid_settings_prevent_the_start(self, tmp_path, change):
        path = tmp_path / "settings.json"
        good = {
            "instance": "g-1",
            "data_centre": "a",
            "listen": "127.0.0.1:1",
            "readiness_listen": "127.0.0.1:2",
            "peer_listen": "127.0.0.1:3",
            "registry": "127.0.0.1:4",
        }
        path.write_text(json.dumps({**good, **change}))
        found = subprocess.run(
            [sys.executable, "-m", "guavawalk.process.start_gateway"],
            env={**os.environ, "GUAVAWALK_CONFIG": str(path)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert found.returncode == 2
        assert next(iter(change)) in found.stderr and "Traceback" not in found.stderr


def seconds_between(line, later_line):
    first, second = (datetime.fromisoformat(found["time"]) for found in (line, later_line))
    return (second - first).total_seconds()


async def is_answered(client):
    try:
        return (await client.get("/readyz", 1.0)).status > 0
    except TargetError:
        return False


async def answers(daemon):
    return await is_answered(daemon.readiness)


async def not_ready(daemon):
    return not await daemon.ready()
