"""`guavawalk bench ticket`: latency that fetching a ticket adds to a call, on loopback."""

import json
import time
from typing import NamedTuple

import httpcore

from guavawalk.tools.embedded import run_embedded
from guavawalk.tools.plan import kestrel_lane_plan

__all__ = ["CallTimes", "measure_tickets"]

# Calls of each kind before the measured ones.
WARM_UP_CALLS = 20


class CallTimes(NamedTuple):
    """Times of `calls` calls of each kind; those with a ticket include fetching it."""

    calls: int
    plain_p50_ms: float
    plain_p95_ms: float
    ticketed_p50_ms: float
    ticketed_p95_ms: float


async def measure_tickets(calls: int) -> CallTimes:
    """Send calls one after the other, alternately without a ticket and with a freshly fetched one.

    Raises
    ------
    RuntimeError
        If a call does not end with status 201.
    """
    plain: list[float] = []
    ticketed: list[float] = []
    async with (
        run_embedded(kestrel_lane_plan()) as deployment,
        httpcore.AsyncConnectionPool() as pool,
    ):
        address = next(iter(deployment.entry_addresses.values()))
        for number in range(WARM_UP_CALLS + calls):
            plain.append(await _time_call(pool, address, f"plain-{number}", False))
            ticketed.append(await _time_call(pool, address, f"ticketed-{number}", True))
    return CallTimes(
        calls,
        *_p50_and_p95_ms(plain[WARM_UP_CALLS:]),
        *_p50_and_p95_ms(ticketed[WARM_UP_CALLS:]),
    )


async def _time_call(pool, address: str, reference: str, with_ticket: bool) -> float:
    started_s = time.perf_counter()
    headers = [("Authorization", "Bearer key-council"), ("Content-Type", "application/json")]
    if with_ticket:
        body = json.dumps({"service": "booking"}).encode()
        url = f"http://{address}/v1/tickets"
        response = await pool.request("POST", url, headers=headers, content=body)
        headers.append(("Idempotency-Key", json.loads(response.content)["ticket"]))
    body = json.dumps({"reference": reference}).encode()
    url = f"http://{address}/booking/jobs"
    response = await pool.request("POST", url, headers=headers, content=body)
    if response.status != 201:
        raise RuntimeError(f"{reference}: HTTP {response.status} {response.content[:200]!r}")
    return (time.perf_counter() - started_s) * 1000


def _p50_and_p95_ms(times_ms: list[float]) -> tuple[float, float]:
    ordered = sorted(times_ms)
    return ordered[len(ordered) // 2], ordered[len(ordered) * 95 // 100]
