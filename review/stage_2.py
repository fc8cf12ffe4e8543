"""Stand-ins of the users' platform for the cases 6 to 8: store, servers, clients and processes.

Uses the standard library alone. The gateways are started with the command of `deploy/system.toml`
and with the fields of `deploy/gateway.settings.json`; each has a proxy of its own before the store.
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
import tomllib
from pathlib import Path

__all__ = [
    "HOST",
    "KEY",
    "CannotRun",
    "Cut",
    "Gateway",
    "Proxy",
    "Record",
    "Server",
    "Store",
    "ask",
    "finish",
    "free_ports",
    "read_head",
    "start_gateways",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "pako17.example"
KEY = "k7n2mock"
TENANT = "tenant-a"
# Bounds of the small deployments.
BOUNDS = {
    "grace_ms": 8000,
    "drain_ms": 2000,
    "contact_ms": 3000,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "retry_window_s": 10,
    "quota_window_s": 8,
    "max_memory_mb": 300,
    "cpu_share": 0.817,
    "core_speed": 1,
    "link_mbps": 1000.0,
    "max_descriptors": 4100,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of `record.txt` with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self.began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join([*self._lines, ""]))


def free_ports(count: int) -> list[int]:
    """Return distinct ports of loopback that are free for TCP and UDP."""
    ports: list[int] = []
    first = 20_000 + os.getpid() % 40 * 250
    while len(ports) < count:
        port = first + random.randrange(250)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message; raises `IncompleteReadError` if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} S", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: items with revisions, pages and watches."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.port = 0
        self._changed = asyncio.Event()
        # When each link, by the port it comes from, last called the store.
        self.watched_s: dict[int, float] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, document: dict) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {"created": self.revision})["created"]
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._notify(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Remove an item; return the revision of its removal."""
        self.revision += 1
        del self.items[key]
        self._notify({"key": key, "revision": self.revision, "removed": True})
        return self.revision

    def _notify(self, change: dict) -> None:
        self.history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                path, _, query = head[0].split(" ")[1].partition("?")
                if path == "/kv-watch":
                    self.watched_s[writer.get_extra_info("peername")[1]] = time.monotonic()
                options = dict(part.split("=", 1) for part in query.split("&") if part)
                document = await self._answer(path, options)
                await asyncio.sleep(0.004)
                status = 200 if document is not None else 404
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, json.dumps(document or {}).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, options: dict[str, str]) -> dict | None:
        if path == "/kv-key":
            return self.items.get(options["key"])
        prefix = options["prefix"]
        if path == "/kv-range":
            after = options.get("after", "")
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return {
                "items": found[:500],
                "truncated": len(found) > 500,
                "asOf": self.revision,
            }
        after = int(options["after"])
        until_s = time.monotonic() + int(options["waitMs"]) / 1000
        while True:
            found = [
                change
                for change in self.history
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Cut:
    """State of a link; while it is cut nothing passes, and nothing is reset."""

    def __init__(self) -> None:
        self.is_cut = False
        self.healed = asyncio.Event()

    def begin(self) -> None:
        """Cut the link."""
        self.is_cut = True
        self.healed = asyncio.Event()

    def end(self) -> None:
        """Heal the link."""
        self.is_cut = False
        self.healed.set()


class Proxy:
    """A link to one port of loopback that can be cut; bytes are held until it heals."""

    def __init__(self, port: int) -> None:
        self._target_port = port
        self.cut = Cut()
        self.port = 0
        # Ports from which its connections go on.
        self.far_ports: set[int] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._pass()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self.far_ports.add(far_writer.get_extra_info("sockname")[1])
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

    async def _pass(self) -> None:
        while self.cut.is_cut:
            await self.cut.healed.wait()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(65_536):
                await self._pass()
                writer.write(data)
                await writer.drain()
        await self._pass()
        writer.close()


class Server:
    """A server of a plain service, which answers each request after a time of work.

    `arrivals` holds the time, the request id and the path of each request that reached it.
    """

    def __init__(self, record: Record, server_id: str, service: str, work_s: float = 0.02) -> None:
        self.record = record
        self.server_id = server_id
        self.service = service
        self.work_s = work_s
        self.arrivals: list[tuple[float, str, str]] = []
        self.port = 0
        self.born = int(time.time() * 1000)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """End the server: its connections are reset, and further ones refused."""
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self, zone: str, state: str = "ready", capacity: int = 6) -> dict:
        """Return the entry that the server has in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "1",
            "capacity": capacity,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def handle(self, first: str, headers: dict[str, str], body: bytes, writer) -> None:
        """Answer one request."""
        request_id = headers.get("request-id", "")
        answer = {"Request-Id": request_id, "Keep-Alive": "timeout=5"}
        if headers.get("expect-instance", self.server_id) != self.server_id:
            writer.write(encode_answer(421, answer | {"Not-Executed": "1"}))
            return
        self.arrivals.append((self.record.now_s(), request_id, first.split(" ")[1]))
        self.record.add(f"server {self.server_id} runs {request_id}")
        await asyncio.sleep(self.work_s)
        stamp = {"Server-Stamp": f"stamp.{self.server_id}.{request_id}"}
        writer.write(encode_answer(200, answer | stamp, f"done {request_id}".encode()))


class Gateway:
    """One gateway process; signals go to this process only."""

    def __init__(self, name: str, settings: dict, folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.port = int(settings["listen"].rpartition(":")[2])
        self.started_s = 0.0
        self._ready_port = int(settings["readiness_listen"].rpartition(":")[2])
        self._path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self, is_first: bool = False) -> None:
        """Start the process as the deploy file says."""
        self._path.write_text(json.dumps({**self.settings, "is_first_start": is_first}))
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = command["roles"]["gateway"]["run"].split()
        words[0] = sys.executable
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GUAVAWALK_CONFIG": str(self._path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.started_s = time.monotonic()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process answers that it is ready."""
        try:
            answer = await asyncio.wait_for(
                ask(self._ready_port, "GET", "/readyz", {}, timeout_s=0.5), 1
            )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer[0] == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process is ready; raises `CannotRun` if it is not in time."""
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


async def ask(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request on a new connection; return its answer, None if there is no whole one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}"] if body or method == "POST" else []
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def start_gateways(
    zones: list[str], registry_ports: list[int], folder: Path, **changes
) -> list[Gateway]:
    """Create gateways, one for each zone; the first three are the seeds."""
    ports = free_ports(4 * len(zones))
    seeds = [f"127.0.0.1:{port}" for port in ports[2::4]][:3]
    gateways = []
    for number, zone in enumerate(zones):
        callers, readiness, peers, metrics = ports[4 * number : 4 * number + 4]
        settings = {
            "role": "gateway",
            "instance": f"edge-{number + 1}",
            "data_centre": zone,
            "listen": f"127.0.0.1:{callers}",
            "readiness_listen": f"127.0.0.1:{readiness}",
            "peer_listen": f"127.0.0.1:{peers}",
            "metrics_port": metrics,
            "registry": f"127.0.0.1:{registry_ports[number]}",
            "peers": seeds,
            **BOUNDS,
            **changes,
        }
        gateways.append(Gateway(f"edge-{number + 1}", settings, folder))
    return gateways


def finish(case, folder: Path, has_trouble: bool) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(
                asyncio.wait_for(case(record, Path(temporary), has_trouble), 115)
            )
            status = 1 if is_broken else 0
        except Exception as error:
            record.add(f"the case could not run: {type(error).__name__}: {error}")
        if logs := os.environ.get("KEEP_LOGS"):
            for path in Path(temporary).glob("*.log"):
                Path(logs).mkdir(exist_ok=True)
                (Path(logs) / path.name).write_bytes(path.read_bytes())
    record.add(f"exit {status}")
    record.write()
    print(f"{folder.name}: exit {status}", flush=True)
    # The stand-ins' open connections need no orderly end.
    os._exit(status)
