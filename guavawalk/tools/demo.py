"""`guavawalk demo`: sends mixed requests to an embedded deployment and prints their outcomes."""

import json
import time
from typing import NamedTuple

import anyio
import httpcore
from rich.console import Console
from rich.table import Table

from guavawalk.tools.embedded import Embedded, run_embedded
from guavawalk.tools.plan import kestrel_lane_plan

__all__ = ["DemoRequest", "DemoResult", "run_demo"]

# Output tokens that requests ask for.
PLAN_TOKENS = 400
ANSWER_TOKENS = 40
TAG_TOKENS = 6


class DemoRequest(NamedTuple):
    """One request of the demo; an empty `key` stands for no idempotency key."""

    title: str
    tier: str
    workspace: str
    path: str
    document: dict
    key: str = ""


class DemoResult(NamedTuple):
    """Outcome of a request as its caller saw it; `code` is 0 if it completed.

    `first_token_ms` is the time to the first bytes of the answer.
    """

    request: DemoRequest
    code: int
    target: str
    first_token_ms: float
    total_ms: float
    tokens: int


async def run_demo(console: Console) -> int:
    """Run the demo and print its outcome; return 0 if all guarantees checked were met, else 1."""
    async with run_embedded(kestrel_lane_plan()) as deployment:
        results = await _send_requests(deployment)
        violations = _find_violations(deployment, results)
    console.print(_result_table(results))
    console.print(_tier_table(results))
    for violation in violations:
        console.print(f"broken promise: {violation}", style="bold red")
    if not violations:
        console.print(
            "promises checked: complete answers, at most one run, a code for every outcome"
        )
    return 1 if violations else 0


async def _send_requests(deployment: Embedded) -> list[DemoResult]:
    addresses = list(deployment.entry_addresses.values())
    results: list[DemoResult] = []

    async def send(index: int, request: DemoRequest) -> None:
        results.append(await _send(addresses[index % len(addresses)], request))

    ticket = await _fetch_ticket(addresses[0])
    async with anyio.create_task_group() as tasks:
        for index, request in enumerate(_create_requests(ticket)):
            tasks.start_soon(send, index, request)
    return sorted(results, key=lambda result: (result.request.tier, result.request.title))


def _create_requests(ticket: str) -> list[DemoRequest]:
    plan = "Restoration plan for the heritage lantern at Fisgard Street. " * 200
    requests = [_chat("restoration plan", "plan", "heritage", plan, PLAN_TOKENS)]
    for index in range(6):
        question = f"Which glaze sits on copper at {index + 8} degrees?"
        requests.append(_chat(f"on-site question {index}", "onsite", "harbour", question, 40))
    for index in range(8):
        text = f"Tag the fixture in photo {index}: verdigris, cracked pane"
        requests.append(_chat(f"photo tag {index}", "tag", "lamplight", text, TAG_TOKENS))
    booking = {"reference": "job-17", "studio": "Lamplight", "street": "Fisgard"}
    for title in ("booking", "booking, sent again"):
        path = "/booking/jobs"
        requests.append(DemoRequest(title, "onsite", "council", path, booking, ticket))
    return requests


def _chat(title: str, tier: str, workspace: str, text: str, tokens: int) -> DemoRequest:
    messages = [{"role": "user", "content": text}]
    document = {"model": "quill", "messages": messages, "max_tokens": tokens, "stream": True}
    return DemoRequest(title, tier, workspace, "/v1/chat/completions", document)


def _headers(workspace: str, tier: str, key: str = "") -> list[tuple[str, str]]:
    headers = [
        ("Authorization", f"Bearer key-{workspace}"),
        ("Content-Type", "application/json"),
        ("X-Guavawalk-Tier", tier),
    ]
    return [*headers, ("Idempotency-Key", key)] if key else headers


async def _fetch_ticket(address: str) -> str:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{address}/v1/tickets",
            headers=_headers("council", "onsite"),
            content=json.dumps({"service": "booking"}).encode(),
        )
    return json.loads(response.content)["ticket"]


async def _send(address: str, request: DemoRequest) -> DemoResult:
    started_s = time.monotonic()
    first_data_s = 0.0
    content = bytearray()
    async with httpcore.AsyncConnectionPool() as pool:
        stream = pool.stream(
            "POST",
            f"http://{address}{request.path}",
            headers=_headers(request.workspace, request.tier, request.key),
            content=json.dumps(request.document).encode(),
        )
        async with stream as response:
            async for data in response.aiter_stream():
                first_data_s = first_data_s or time.monotonic()
                content += data
            headers = {name.lower(): value for name, value in response.headers}
    code, target = _read_outcome(bytes(content), headers)
    total_ms = (time.monotonic() - started_s) * 1000
    first_ms = (first_data_s - started_s) * 1000
    return DemoResult(request, code, target, first_ms, total_ms, content.count(b'"delta"'))


def _read_outcome(content: bytes, headers: dict[bytes, bytes]) -> tuple[int, str]:
    position = content.rfind(b": guavawalk code=")
    if position < 0:
        code = int(headers.get(b"x-guavawalk-code", b"0"))
        return code, headers.get(b"x-guavawalk-target", b"").decode()
    code_text, target_text = content[position:].decode().split()[2:4]
    return int(code_text.partition("=")[2]), target_text.partition("=")[2]


def _find_violations(deployment: Embedded, results: list[DemoResult]) -> list[str]:
    violations = []
    for reference, count in deployment.services["booking"].run_counts.items():
        if count > 1:
            violations.append(f"booking {reference} ran {count} times")
    for result in results:
        expected_tokens = result.request.document.get("max_tokens", 0)
        if result.code == 0 and result.tokens != expected_tokens:
            violations.append(
                f"{result.request.title}: {result.tokens} of {expected_tokens} tokens"
            )
    runs = [run.request_id for engine in deployment.engines.values() for run in engine.runs]
    if len(runs) != len(set(runs)):
        violations.append("a request ran twice at an engine")
    return violations


def _result_table(results: list[DemoResult]) -> Table:
    table = Table("request", "tier", "code", "target", "first token ms", "total ms", "tokens")
    for result in results:
        table.add_row(
            result.request.title,
            result.request.tier,
            str(result.code),
            result.target,
            f"{result.first_token_ms:.0f}",
            f"{result.total_ms:.0f}",
            str(result.tokens),
        )
    return table


def _tier_table(results: list[DemoResult]) -> Table:
    table = Table("tier", "sent", "completed", "tokens", "slowest first token ms")
    for tier in sorted({result.request.tier for result in results}):
        group = [result for result in results if result.request.tier == tier]
        table.add_row(
            tier,
            str(len(group)),
            str(sum(result.code == 0 for result in group)),
            str(sum(result.tokens for result in group)),
            f"{max(result.first_token_ms for result in group):.0f}",
        )
    return table
