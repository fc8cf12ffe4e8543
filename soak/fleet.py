"""Starts gateways as processes, and stops, pauses and kills them by signals."""

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
# The time that all known deployments give a process to stop, in milliseconds.
GRACE_MS = 8_000
# The ports lie below the range from which the kernel takes ports for outgoing connections. Each
# soak or test process takes its ports from one of PORT_RANGES ranges, selected by its pid, so that
# concurrent runs collide only if their pids are equal modulo PORT_RANGES.
FIRST_PORT = 15_000
PORT_RANGES = 64
PORTS_PER_RANGE = 250


class GatewayProcess:
    """Runs one gateway as a process; signals go to this process only.

    Parameters
    ----------
    ports : list of int
        Ports for callers, readiness, peers and metrics.
    seed_peers : list of str
        Addresses of the peers that it contacts first.
    mutant : str, optional
        Name of a fault of `soak.mutants`; empty for none.

    Attributes
    ----------
    starts : int
        Number of times that the process was started.
    """

    def __init__(
        self, name: str, folder: Path, ports: list[int], registry: str, seed_peers, mutant: str = ""
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
        self._is_stopping = False
        self._output_bytes_before = 0
        self._settings = {
            "instance": name,
            "data_centre": "a",
            "listen": self.address,
            "readiness_listen": self._readiness,
            "peer_listen": f"127.0.0.1:{peers}",
            "metrics_port": metrics,
            "registry": registry,
            "peers": seed_peers,
            "grace_ms": GRACE_MS,
        }

    def start(self) -> None:
        """Start the process; `is_first_start` in its settings is true for the first start only."""
        settings = {**self._settings, "is_first_start": not self.starts}
        self._path.write_text(json.dumps(settings))
        self.starts += 1
        self._is_stopping = False
        with self._output.open("ab") as output:
            self._output_bytes_before = output.tell()
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._program],
                env={**os.environ, "GUAVAWALK_CONFIG": str(self._path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def rewrite_settings(self) -> None:
        """Write the settings file again, as the platform does before SIGHUP."""
        self._path.write_text(json.dumps({**self._settings, "is_first_start": False}))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; no effect if the process is not running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def restart(self) -> None:
        """Stop the process by SIGTERM, and start it again unless another restart already did."""
        process = self._process
        self._is_stopping = True
        self.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await anyio.sleep(0.02)
        if self._process is process:
            self.start()

    def has_written(self) -> bool:
        """Return whether the process has written to its output since its last start."""
        return self._output.stat().st_size > self._output_bytes_before

    def restart_ended(self) -> str:
        """Start the process again if it has ended by itself, as the platform does.

        Returns
        -------
        str
            How it ended; empty if it runs, is being stopped, or was ended by a SIGHUP while its
            interpreter was starting: no code of the program had run to ignore the signal.
        """
        if self._is_stopping or self._process is None or self._process.poll() is None:
            return ""
        exit_code = self._process.returncode
        has_run = self.has_written()
        self.start()
        if exit_code == -signal.SIGHUP and not has_run:
            return ""
        return f"{self.name} ended by itself with exit code {exit_code}"

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers 200; False if it is unreachable."""
        client = create_http_client(self._readiness)
        try:
            return (await client.get("/readyz", 0.5)).status == 200
        except TargetError:
            return False
        finally:
            await client.aclose()

    def kill(self) -> None:
        """Kill the process, even if it is paused, and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def start_failure(self) -> str:
        """Return the end of the output of a process that has exited; empty while it runs."""
        if self._process is None or self._process.poll() is None:
            return ""
        return self._output.read_text(errors="replace")[-300:]

    def error_lines(self) -> list[str]:
        """Return the lines of the output that report a traceback or a failed task."""
        lines = self._output.read_text(errors="replace").splitlines()
        return [line for line in lines if "Traceback" in line or '"task_failed"' in line]


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free for UDP and TCP, below the ephemeral range."""
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
    """Create gateways without starting them; the first three are the seed peers of all.

    Parameters
    ----------
    folder : Path
        Folder for the settings and the output of the gateways.
    registries : list of str
        Address of the registry for each gateway; one gateway is created for each.
    mutant : str, optional
        Name of the fault of `soak.mutants` that is built into all gateways; empty for none.
    """
    ports = free_ports(4 * len(registries))
    seed_peers = [f"127.0.0.1:{port}" for port in ports[2::4]][:3]
    return [
        GatewayProcess(
            f"gateway-{number}",
            folder,
            ports[4 * number : 4 * number + 4],
            registry,
            seed_peers,
            mutant,
        )
        for number, registry in enumerate(registries)
    ]
