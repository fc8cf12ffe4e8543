"""Gateways as processes of their own, stopped, paused, killed and started by signals."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio

from guavawalk.connection.http_client import create_http_client
from guavawalk.exception import TargetError

__all__ = ["GatewayProcess", "create_fleet", "free_ports"]

DAEMON = "guavawalk.process.start_gateway"
GRACE_MS = 4_000
# Below the range from which the kernel takes ports for outgoing connections; each process that
# starts gateways has a part of them to itself.
FIRST_PORT = 15_000
PORT_RANGES = 64
PORTS_PER_RANGE = 250


class GatewayProcess:
    """One gateway; only its own process is ever signalled.

    Attributes
    ----------
    starts : int
        How often it was started.
    """

    def __init__(
        self, name: str, folder: Path, ports: list[int], registry: str, seeds, mutant: str = ""
    ) -> None:
        callers, readiness, peers, metrics = ports
        self.name = name
        self.address = f"127.0.0.1:{callers}"
        self.starts = 0
        self._readiness = f"127.0.0.1:{readiness}"
        self._path = folder / f"{name}.json"
        self._output = folder / f"{name}.log"
        self._program = ["soak.mutants", mutant] if mutant else [DAEMON]
        self._process: subprocess.Popen | None = None
        self._settings = {
            "instance": name,
            "data_centre": "a",
            "listen": self.address,
            "readiness_listen": self._readiness,
            "peer_listen": f"127.0.0.1:{peers}",
            "metrics_port": metrics,
            "registry": registry,
            "peers": seeds,
            "grace_ms": GRACE_MS,
        }

    def start(self) -> None:
        """Start the process."""
        settings = {**self._settings, "is_first_start": not self.starts}
        self._path.write_text(json.dumps(settings))
        self.starts += 1
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._program],
                env={**os.environ, "GUAVAWALK_CONFIG": str(self._path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def rewrite_settings(self) -> None:
        """Write the settings again, as the platform does before SIGHUP."""
        self._path.write_text(json.dumps({**self._settings, "is_first_start": False}))

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def restart(self) -> None:
        """Stop it by SIGTERM, and start it again unless something else has meanwhile."""
        stopped = self._process
        self.send(signal.SIGTERM)
        while stopped.poll() is None:
            await anyio.sleep(0.02)
        if self._process is stopped:
            self.start()

    async def is_ready(self) -> bool:
        """Ask whether it welcomes new connections."""
        client = create_http_client(self._readiness)
        try:
            return (await client.get("/readyz", 0.5)).status == 200
        except TargetError:
            return False
        finally:
            await client.aclose()

    def end(self) -> None:
        """Kill it, paused or not, and collect it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def start_failure(self) -> str:
        """Return the last words of a process that has ended by itself; empty while it runs."""
        if self._process is None or self._process.poll() is None:
            return ""
        return self._output.read_text(errors="replace")[-300:]

    def errors(self) -> list[str]:
        """Return the lines of its log that tell a fault of the program."""
        lines = self._output.read_text(errors="replace").splitlines()
        return [line for line in lines if "Traceback" in line or '"task_failed"' in line]


def free_ports(count: int) -> list[int]:
    """Return ports that are free for datagrams and connections, and that no client is given."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RANGE
    ports: list[int] = []
    while len(ports) < count:
        port = first + random.randrange(PORTS_PER_RANGE)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def create_fleet(folder: Path, registries: list[str], mutant: str = "") -> list[GatewayProcess]:
    """Create gateways that are not started yet, each with its own link to the registry.

    Parameters
    ----------
    mutant : str, optional
        Fault of `soak.mutants` that is built into all of them.
    """
    ports = free_ports(4 * len(registries))
    seeds = [f"127.0.0.1:{port}" for port in ports[2::4]][:3]
    return [
        GatewayProcess(
            f"gateway-{number}", folder, ports[4 * number : 4 * number + 4], registry, seeds, mutant
        )
        for number, registry in enumerate(registries)
    ]
