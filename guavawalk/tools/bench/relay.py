"""`guavawalk bench relay`: latency that entry and sidecar add to streams of an engine."""

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio

from guavawalk.connection.address import split_address

__all__ = ["RelayLoad", "RelaySample", "measure_relay", "quantile_ms", "read_process_cost"]

# Occurs once in the event of each token.
TOKEN_MARK = b'"delta"'
# Clock ticks per second, on Linux; /proc/PID/stat counts processor time in ticks.
CLOCK_TICKS_PER_S = 100


class RelayLoad(NamedTuple):
    """An open-loop load of equal, evenly spaced streams; `tokens` per stream."""

    requests_per_s: float
    duration_s: float
    tokens: int


class RelaySample(NamedTuple):
    """Times from connecting, and token count, of one stream, measured by its caller."""

    first_token_ms: float
    total_ms: float
    tokens: int


class ProcessCost(NamedTuple):
    """Processor time that a process has used, and its resident memory in MB (2**20 bytes)."""

    cpu_s: float
    resident_mb: float


async def measure_relay(urls: Sequence[str], load: RelayLoad, key: str) -> list[list[RelaySample]]:
    """Send the same load to each URL at the same time.

    Parameters
    ----------
    urls : sequence of str
        Base URLs, each of an entry or an engine.
    load : RelayLoad
        The load for each URL.
    key : str
        API key for the entry.

    Returns
    -------
    list of list of RelaySample
        Samples by URL, in the order given.
    """
    samples: list[list[RelaySample]] = [[] for _ in urls]
    async with anyio.create_task_group() as tasks:
        start_s = anyio.current_time()
        for index in range(int(load.requests_per_s * load.duration_s)):
            await anyio.sleep_until(start_s + index / load.requests_per_s)
            for url, group in zip(urls, samples):
                tasks.start_soon(_stream, url, load, key, group)
    return samples


async def _stream(url: str, load: RelayLoad, key: str, group: list[RelaySample]) -> None:
    # The request is sent over a plain socket: an HTTP client library would use more processor time
    # here than the relay that is measured.
    host, port = split_address(url.removeprefix("http://"))
    started_s = time.monotonic()
    first_s = 0.0
    tokens = 0
    async with await anyio.connect_tcp(host, port) as stream:
        await stream.send(_request_bytes(load, key))
        while True:
            try:
                data = await stream.receive()
            except anyio.EndOfStream:
                break
            found = data.count(TOKEN_MARK)
            if found and not first_s:
                first_s = time.monotonic()
            tokens += found
    total_ms = (time.monotonic() - started_s) * 1000
    group.append(RelaySample((first_s - started_s) * 1000, total_ms, tokens))


def _request_bytes(load: RelayLoad, key: str) -> bytes:
    document = {
        "model": "quill",
        "messages": [{"role": "user", "content": "which glaze?"}],
        "max_tokens": load.tokens,
        "stream": True,
    }
    body = json.dumps(document).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        "Host: bench\r\n"
        f"Authorization: Bearer {key}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def quantile_ms(values: Sequence[float], quantile: float) -> float:
    """Return the value in ms at a quantile from 0 to 1, by nearest rank.

    Examples
    --------
    >>> quantile_ms([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(quantile * len(ranked)))]


def read_process_cost(pid: int) -> ProcessCost:
    """Return the processor time and resident memory of a process, read from `/proc`."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # User and system time, fields 14 and 15 of the file; the first two are cut off here.
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    resident_kb = int(status.partition("VmRSS:")[2].split()[0])
    return ProcessCost(cpu_s, resident_kb / 1024)
