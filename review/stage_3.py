"""Stand-ins for the scripts of this review: the store, servers, clients and gateway processes.

They use the standard library only, listen on loopback addresses and behave as the users' pages say.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "BROKEN",
    "HELD",
    "UNFIT",
    "Answer",
    "Client",
    "Gateway",
    "Link",
    "Record",
    "Request",
    "Server",
    "Store",
    "configuration",
    "free_port",
    "read_request",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of a script: the rule held, was broken, or the case could not run.
HELD, BROKEN, UNFIT = 0, 1, 2
# Bounds of the small deployment of the site file `sites/lanternhost.toml`.
BOUNDS = {
    "graceS": 8,
    "drainMs": 2000,
    "contactMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 56,
    "retryWindowS": 10,
    "quotaWindowS": 8,
}
HOST = "desk.example"
KEY = "k-studio-1"
TENANT = "studio-1"


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now_s():8.3f} {text}\n")


_TAKEN_PORTS = set()


def free_port(host="127.0.0.1"):
    """Return a port that is free for TCP and UDP now, another one at each call."""
    while True:
        port = random.randrange(15_000, 31_000)
        if port in _TAKEN_PORTS:
            continue
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind((host, port))
                datagrams.bind((host, port))
            except OSError:
                continue
        _TAKEN_PORTS.add(port)
        return port


class Request:
    """One received request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return the value of a header; empty if it is absent."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")


async def read_request(reader):
    """Return the next request on a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    request = Request(method, target, headers, b"")
    size = request.header("Content-Length")
    if size:
        try:
            request.body = await reader.readexactly(int(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


class Answer:
    """One answer that a client received; `status` is 0 if there was none."""

    def __init__(self, status=0, headers=(), body=b"", is_whole=False, problem=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.problem = problem

    def header(self, name):
        """Return the value of a header; empty if it is absent."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")


class Client:
    """One connection of a client to a gateway."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        """Connect to `IP:port`."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, request_id, path, method="POST", body=b"", headers=(), deadline_ms=3000):
        """Send one request with its length."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self, timeout_s=5.0):
        """Return the next answer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._receive()
        except TimeoutError:
            return Answer(problem="no answer in time")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            return Answer(problem=f"{type(error).__name__}: {error}")

    async def _receive(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:] if line]
        answer = Answer(int(lines[0].split(" ")[1]), headers)
        if "chunked" in answer.header("Transfer-Encoding"):
            while size := int((await self.reader.readline()).strip() or b"", 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readline()
            await self.reader.readline()
        else:
            answer.body = await self.reader.readexactly(int(answer.header("Content-Length") or 0))
        answer.is_whole = True
        return answer

    def close(self):
        """Close the connection."""
        self.writer.close()


class Server:
    """A server of one service: records each run, and answers by `work`.

    Parameters
    ----------
    work : async callable
        Called with the server and the request; returns a status, headers and a body.
    """

    def __init__(self, server_id, record, work, zone="bc-coast-a"):
        self.server_id = server_id
        self.zone = zone
        self.record = record
        self.work = work
        self.runs = []
        self.address = ""
        self.service = "commission-desk"
        self.born = int(time.time() * 1000)
        self._server = None

    async def start(self):
        """Listen on a free port."""
        port = free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=2**23)
        self.address = f"127.0.0.1:{port}"

    def entry(self, state="ready", sequence=1):
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "capacity": 6,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                status, headers, body = await self._answer(request)
                lines = [f"HTTP/1.1 {status} Answer", *(f"{n}: {v}" for n, v in headers)]
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        request_id = request.header("Request-Id")
        echo = [("Request-Id", request_id)]
        if request.header("Expect-Instance") not in ("", self.server_id):
            return 421, [*echo, ("Not-Executed", "1")], b""
        return await self.work(self, request, echo)


class Store:
    """The platform's store: items, pages and watches; it loses nothing."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def put(self, key, document):
        """Write a document."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item | {"created": self.revision, "lease": 0}
        self._note(self.items[key])

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, change):
        self.history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                body = json.dumps(await self._answer(request.target)).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix, after = query["prefix"], query.get("after", "")
        if parts.path == "/kv-range":
            found = [
                self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after
            ]
            return {"items": found, "truncated": False, "asOf": self.revision}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while True:
                    events = [
                        change
                        for change in self.history
                        if change["revision"] > int(after) and change["key"].startswith(prefix)
                    ]
                    if events:
                        return {"events": events, "asOf": self.revision}
                    await self._changed.wait()
        return {"events": [], "asOf": self.revision}


class Link:
    """A link to an address that can be cut in silence: bytes are held and nothing is reset."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.is_cut = False
        self.watches = 0
        self._healed = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def cut(self):
        """Hold all bytes from now on."""
        self.is_cut = True

    def heal(self):
        """Pass on what was held, and all further bytes."""
        self.is_cut = False
        self._healed.set()
        self._healed = asyncio.Event()

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._copy(reader, there[1]), self._copy(there[0], writer))

    async def _copy(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                while self.is_cut:
                    await self._healed.wait()
                self.watches += b"/kv-watch" in data
                writer.write(data)
                await writer.drain()
        writer.close()


def configuration(version=5):
    """Return a configuration like that of the small deployment: one service, two routes."""

    def route(name, prefix, kind, attempts):
        return {
            "name": name,
            "hostname": HOST,
            "prefix": prefix,
            "routeType": kind,
            "service": "commission-desk",
            "timeoutMs": 3000,
            "latencyGoalMs": 250,
            "maxAttempts": attempts,
            "priority": 2,
        }

    return {
        "version": version,
        "routes": [
            route("job-booking", "/book/", "unsafe", 1),
            route("job-status", "/status/", "safe", 2),
        ],
        "services": [{"name": "commission-desk", "healthPath": "/healthz", "maxConnections": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, folder, name, store, zone="bc-coast-a", control=""):
        self.name = name
        port = free_port
        self.address = f"127.0.0.1:{port()}"
        self.readiness = f"127.0.0.1:{port()}"
        self.control = control or f"127.0.0.1:{port()}"
        self._folder = Path(folder)
        self._process = None
        self._metrics_port = port()
        self._zone = zone
        self._store = store
        self.starts = 0

    def start(self, seeds):
        """Start the process with settings as the template of the deploy file renders them."""
        settings = {
            "role": "gateway",
            "instance": self.name,
            "data_centre": self._zone,
            "listen": self.address,
            "readiness_listen": self.readiness,
            "peer_listen": self.control,
            "metrics_port": self._metrics_port,
            "registry": self._store.address,
            "peers": seeds,
            "grace_ms": BOUNDS["graceS"] * 1000,
            "drain_ms": BOUNDS["drainMs"],
            "contact_ms": BOUNDS["contactMs"],
            "retry_ratio": BOUNDS["retryBudgetRatio"],
            "retry_slack": BOUNDS["budgetSlack"],
            "retry_window_s": BOUNDS["retryWindowS"],
            "quota_window_s": BOUNDS["quotaWindowS"],
            "max_memory_mb": 300,
            "cpu_share": 0.817,
            "core_speed": 1,
            "link_mbps": 1000.0,
            "is_first_start": not self.starts,
            "max_descriptors": 4100,
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "guavawalk.process.start_gateway"],
                cwd=ROOT,
                env=kept
                | {"GUAVAWALK_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.starts += 1

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the process says that it is ready; raise `TimeoutError` if it does not."""
        async with asyncio.timeout(timeout_s):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self):
        try:
            client = await Client.connect(self.readiness)
        except OSError:
            return False
        await client.send("probe", "/readyz", "GET")
        answer = await client.receive(1.0)
        client.close()
        return answer.status == 200

    def is_running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


def run_case(play):
    """Run a case and end this process with its result; end all processes that it started.

    Parameters
    ----------
    play : async callable
        Called with the record, a folder, the list of gateways to end and whether there is trouble;
        returns `HELD`, `BROKEN` or `UNFIT`.
    """
    signal.signal(signal.SIGTERM, _exit_unfit)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    case = Path(sys.argv[0]).resolve().parent
    record = Record(case / "record.txt")
    record.write(f"trouble: {has_trouble}")
    gateways = []
    result = UNFIT
    with tempfile.TemporaryDirectory() as folder:
        try:
            loop = asyncio.new_event_loop()
            result = loop.run_until_complete(_play(play, record, folder, gateways, has_trouble))
        except Exception as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            for gateway in gateways:
                log = Path(folder) / f"{gateway.name}.log"
                if log.exists():
                    record.write(log.read_text(errors="replace")[-2000:])
        finally:
            for gateway in gateways:
                gateway.kill()
    record.write(f"result: {('held', 'broken', 'could not run')[result]}")
    # The tasks of stand-ins that still wait have nothing left to do.
    os._exit(result)


def _exit_unfit(number, frame):
    sys.exit(UNFIT)


async def _play(play, record, folder, gateways, has_trouble):
    async with asyncio.timeout(110):
        return await play(record, folder, gateways, has_trouble)
