"""Stand-ins of the platform's store, servers and clients, and the start of gateways, for cases.

All of them run on loopback addresses and the real clock, with the standard library alone. The
stand-ins follow `PROTOCOL.md`; what a case troubles, it switches on by itself.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "a.example"
# Bounds of the small deployments, as their sheets state them.
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 54,
    "quotaWindowS": 8,
    "quotaOverrun": 0.25,
    "quotaSlack": 140000,
}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, written to `record.txt` beside the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._path = Path(folder) / "record.txt"
        self._path.write_text("", encoding="utf-8")

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, text):
        """Write one line with the time."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        """Write one line, and print it."""
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


async def read_message(reader):
    """Return the start line, headers by lower-case name and body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return lines[0], headers, body


def encode(status, headers, body=b""):
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def listen(serve, host="127.0.0.1"):
    """Listen on a free port; return the asyncio server and its address."""
    server = await asyncio.start_server(serve, host, 0, limit=2**16)
    address, port = server.sockets[0].getsockname()[:2]
    return server, f"{address}:{port}"


class Store:
    """The platform's store: reads, pages and watches, and writes by the operator and servers.

    Attributes
    ----------
    latency_s : float
        Time from a result to its answer.
    is_silent : bool
        Whether answers are lost; a connection on which one is lost returns nothing further.
    """

    def __init__(self, record):
        self.record = record
        self.latency_s = 0.004
        self.is_silent = False
        self.lost = 0
        self.items = {}
        self.history = []
        self.revision = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listen; set the address."""
        self._server, self.address = await listen(self._serve)

    def put(self, key, document):
        """Write an item; return the moment of the acknowledgement."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._append(item)
        return self.record.now()

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._append({"key": key, "revision": self.revision, "removed": True})

    def _append(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                path = message[0].split(" ")[1]
                if not self.is_silent:
                    status, document = await self._answer(path)
                    await asyncio.sleep(self.latency_s)
                if self.is_silent:
                    self.lost += 1
                    self.record.write(f"store: the answer to {path} is lost")
                    await reader.read()
                    break
                body = json.dumps(document).encode()
                writer.write(encode(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path):
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "asOf": self.revision})
        if url.path == "/kv-range":
            items = [v for k, v in sorted(self.items.items()) if k.startswith(query["prefix"])]
            return 200, {"items": items, "truncated": False, "asOf": self.revision}
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            after = int(query["after"])
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Server:
    """A server of a service that registers itself in the store.

    Attributes
    ----------
    runs : list of (float, str, dict)
        Moment, request id and headers of each request that it ran.
    """

    def __init__(self, store, service, zone, capacity=10, work_s=0.02):
        self.store = store
        self.service, self.zone, self.capacity = service, zone, capacity
        self.work_s = work_s
        self.id = f"i-{random.randbytes(4).hex()}"
        self.runs = []

    async def start(self):
        """Listen and register."""
        self._server, self.address = await listen(self._serve)
        self.register("ready")

    def register(self, state):
        """Write the entry; return the moment of the acknowledgement."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 0,
        }
        return self.store.put(f"servers/{self.id}", entry)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self._run(message[1], writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, headers, writer):
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(encode(421, [("Instance-Id", self.id)]))
            return
        request_id = headers.get("request-id", "")
        now = self.store.record.now()
        self.runs.append((now, request_id, headers))
        self.store.record.write(f"server {self.id} runs {request_id}")
        await asyncio.sleep(self.work_s)
        stamp = [("Request-Id", request_id), ("Server-Stamp", f"{self.id}.{request_id}")]
        writer.write(encode(200, stamp, b"done " + request_id.encode()))
        await writer.drain()


class GatewayProcess:
    """A gateway, started with the command and the template of the deploy file.

    Attributes
    ----------
    process : asyncio.subprocess.Process
        The last start.
    """

    def __init__(self, number, zone, store, folder):
        net = 1 + os.getpid() % 200
        self.host = f"127.{net}.{10 + number}.1"
        self.name, self.zone, self.store = f"edge-{zone}-{number}", zone, store
        self.folder = Path(folder)
        self.listen, self.readiness = f"{self.host}:8221", f"{self.host}:8224"
        self.control = f"{self.host}:8229"
        self.seeds = [self.control]
        self.bootstrap = True
        self.process = None

    def _settings(self):
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "listen": {
                "frontend": self.listen,
                "readiness": self.readiness,
                "controlPlane": self.control,
            },
            "platform": {"address": self.store.address},
            "seeds": self.seeds,
            "bounds": BOUNDS,
            "bootstrap": self.bootstrap,
            "limits": {"maxFds": 4100},
        }

    def _render(self, template):
        settings = self._settings()

        def value_of(match):
            value = settings
            for name in match[1].split("."):
                value = value[name]
            return json.dumps(value) if match[2] else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, template)

    async def start(self):
        """Start the process; its output goes to a file of the temporary folder."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        path = self.folder / f"{self.name}.settings"
        path.write_text(self._render((ROOT / role["template"]).read_text()))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["GUAVAWALK_CONFIG"] = str(path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20.0):
        """Wait until it says that it is ready.

        Raises
        ------
        TimeoutError
            If it isn't in time.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            answer = await ask(self.readiness, "GET", "/readyz", [], timeout_s=1.0)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} isn't ready")

    def memory_mb(self):
        """Return the resident memory; 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def kill(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def ask(address, method, path, headers, body=b"", timeout_s=5.0):
    """Send a request on a new connection.

    Returns
    -------
    tuple of (int, dict, bytes) or None
        Status, headers and body; None without a complete answer.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return None if message is None else (int(message[0].split(" ")[1]), *message[1:])


def route(name, service, kind="safe", timeout_ms=3000, **more):
    """Return a route of the configuration; its prefix is its name."""
    return {
        "name": f"r-{name}",
        "hostname": HOST_NAME,
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "latencyGoalMs": 400,
        "priority": 0,
        "maxAttempts": 1,
        "service": service,
        **more,
    }


def configuration(version, routes, services, tenants):
    """Return a configuration of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 100} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


def main(folder, play, trouble):
    """Run `play(record, temporary folder, trouble)` within 115 s, and exit with its result."""
    record = Record(folder)

    async def run(temporary):
        async with asyncio.timeout(115.0):
            return await play(record, temporary, trouble)

    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            code = asyncio.run(run(temporary))
        except Exception as error:
            record.say(f"the case couldn't run: {type(error).__name__}: {error}")
            for log in Path(temporary).glob("*.log"):
                record.write(f"{log.name}: {log.read_text()[-2000:]}")
    record.say(f"exit {code}")
    sys.exit(code)
