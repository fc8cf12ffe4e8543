"""Sending a plan's arrivals to a deployment in memory, open loop."""

import random
from collections.abc import Callable
from typing import NamedTuple

import anyio

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.connection.tasks.ticket import fetch_ticket
from guavawalk.exception import RequestError
from guavawalk.request.prompt import CHARS_PER_TOKEN
from guavawalk.request.types import Outcome, Work
from guavawalk.tools.bench.arrivals import Arrival, draw_arrivals
from guavawalk.tools.fleet import Fleet
from guavawalk.tools.load.faults import CRASH_TEXT
from guavawalk.tools.load.plan_file import LoadPlan
from guavawalk.tools.load.results import RequestLine
from guavawalk.tools.standins.memory_targets import MemoryCaller, mark_output

__all__ = ["CallAnswer", "MemoryDriver", "ModelAnswer", "create_memory_driver"]

ENTRY_LOST_CODE = -1
CALL_TIER = "plain service"
CRASHING_TOKENS = 8
RESEND_AFTER_S = 0.05


class ModelAnswer(NamedTuple):
    """What a model request got; `prompt` is as the engine sees it."""

    prompt: str
    code: int
    is_complete: bool


class CallAnswer(NamedTuple):
    """What a keyed call got."""

    reference: str
    code: int


class MemoryDriver:
    """The callers of one run."""

    def __init__(self, plan: LoadPlan, run: str, fleet: Fleet, advance: Callable) -> None:
        self.lines: list[RequestLine] = []
        self.model_answers: list[ModelAnswer] = []
        self.call_answers: list[CallAnswer] = []
        self._plan = plan
        self._run = run
        self._fleet = fleet
        self._advance = advance
        self._rng = random.Random(plan.seed)
        self._scopes: dict[str, set[anyio.CancelScope]] = {}
        self._start_s = 0.0

    async def send_all(self) -> None:
        """Send every request at its time; return when all have ended."""
        plan, fleet = self._plan, self._fleet
        arrivals = draw_arrivals(fleet.plan, plan.load, plan.duration_s, plan.seed)
        self._start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_calls)
            for arrival in arrivals:
                await anyio.sleep_until(self._start_s + arrival.at_s)
                self._advance(arrival.at_s)
                tasks.start_soon(self._send_model, arrival)

    async def kill_entry(self, centre: str) -> None:
        """Kill an entry and the requests that it carries."""
        for scope in list(self._scopes.get(centre, ())):
            scope.cancel()
        self._fleet.kill(f"entry-{centre}")

    async def send_crashing(self, times: int, every_s: float) -> None:
        """Send one crashing request again and again, each time through another entry."""
        plan = self._fleet.plan
        async with anyio.create_task_group() as tasks:
            for index in range(times):
                arrival = Arrival(
                    at_s=anyio.current_time() - self._start_s,
                    entry=plan.entries[index % len(plan.entries)],
                    workspace=plan.workspaces[0].name,
                    tier=plan.tiers[0].name,
                    text=CRASH_TEXT,
                    output_tokens=CRASHING_TOKENS,
                    max_tokens=CRASHING_TOKENS,
                )
                tasks.start_soon(self._send_model, arrival)
                await anyio.sleep(every_s)

    async def _send_model(self, arrival: Arrival) -> None:
        plan = self._fleet.plan
        tier = next(tier for tier in plan.tiers if tier.name == arrival.tier)
        prompt = mark_output(arrival.text, arrival.output_tokens)

        def make_work(entry: str) -> Work:
            work = self._fleet.work(
                arrival.workspace,
                arrival.tier,
                arrival.text,
                output_tokens=arrival.output_tokens,
                model=plan.models[0].name,
                deadline_ms=tier.deadline_ms,
                entry=entry,
            )
            most = arrival.max_tokens
            return work._replace(expected_output_tokens=most, max_output_tokens=most)

        caller, total_ms = await self._carry(arrival.entry, make_work)
        outcome = caller.outcome or Outcome(ENTRY_LOST_CODE)
        whole = caller.data.count(b" ") == arrival.output_tokens
        in_time = outcome.code == 0 and whole and total_ms <= tier.deadline_ms
        self.model_answers.append(ModelAnswer(prompt, int(outcome.code), whole))
        self._record(arrival, arrival.tier, outcome, total_ms, in_time)

    async def _send_calls(self) -> None:
        plan = self._plan
        if not plan.calls_per_s or not self._fleet.plan.services:
            return
        number = 0
        at_s = 0.0
        async with anyio.create_task_group() as tasks:
            while (at_s := at_s + self._rng.expovariate(plan.calls_per_s)) < plan.duration_s:
                await anyio.sleep_until(self._start_s + at_s)
                number += 1
                again = self._rng.random() < plan.resent_share
                entry = self._rng.choice(self._fleet.plan.entries)
                tasks.start_soon(self._send_call, f"call-{number}", entry, at_s, again)

    async def _send_call(self, reference: str, centre: str, at_s: float, again: bool) -> None:
        ticket = await self._ticket(centre)
        if ticket is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_keyed, reference, centre, at_s, ticket)
            if again:
                await anyio.sleep(RESEND_AFTER_S)
                other = self._rng.choice(self._fleet.plan.entries)
                tasks.start_soon(self._send_keyed, reference, other, at_s, ticket)

    def _ready_entry(self, centre: str) -> str | None:
        """Return the entry that a balancer gives: this one, or the next that is ready."""
        centres = self._fleet.plan.entries
        first = centres.index(centre)
        for name in (*centres[first:], *centres[:first]):
            process = self._fleet.processes.get(f"entry-{name}")
            if process is not None and process.entry.active.configuration is not None:
                return name
        return None

    async def _ticket(self, centre: str) -> str | None:
        ready = self._ready_entry(centre)
        if ready is None:
            return None
        entry = self._fleet.entry(ready)
        configuration = entry.active.configuration
        workspace = configuration.workspaces[self._fleet.plan.workspaces[0].name]
        body = f'{{"service": "{self._fleet.plan.services[0].path}"}}'.encode()
        try:
            return (await fetch_ticket(entry, configuration, workspace, body)).ticket
        except RequestError:
            return None

    async def _send_keyed(self, reference: str, centre: str, at_s: float, ticket: str) -> None:
        plan = self._fleet.plan
        tier = plan.tiers[0]

        def make_work(entry: str) -> Work:
            return self._fleet.work(
                plan.workspaces[0].name,
                tier.name,
                reference,
                service=plan.services[0].path,
                deadline_ms=tier.deadline_ms,
                key=ticket,
                entry=entry,
            )

        caller, total_ms = await self._carry(centre, make_work)
        outcome = caller.outcome or Outcome(ENTRY_LOST_CODE)
        self.call_answers.append(CallAnswer(reference, int(outcome.code)))
        arrival = Arrival(at_s, centre, plan.workspaces[0].name, tier.name, reference, 0, 0)
        in_time = outcome.code == 0 and total_ms <= tier.deadline_ms
        self._record(arrival, CALL_TIER, outcome, total_ms, in_time)

    async def _carry(
        self, centre: str, make_work: Callable[[str], Work]
    ) -> tuple[MemoryCaller, float]:
        caller = MemoryCaller()
        started_s = anyio.current_time()
        ready = self._ready_entry(centre)
        if ready is not None:
            scopes = self._scopes.setdefault(ready, set())
            with anyio.CancelScope() as scope:
                scopes.add(scope)
                await self._fleet.send(ready, make_work(ready), caller)
            scopes.discard(scope)
        return caller, (anyio.current_time() - started_s) * 1000

    def _record(
        self, arrival: Arrival, tier: str, outcome: Outcome, total_ms: float, in_time: bool
    ) -> None:
        decoding_ms = max(total_ms - outcome.first_token_ms, 0.0)
        line = RequestLine(
            kind="request",
            run=self._run,
            at_s=round(arrival.at_s, 3),
            workspace=arrival.workspace,
            tier=tier,
            code=int(outcome.code),
            in_time=in_time,
            attempts=outcome.attempts,
            first_token_ms=round(outcome.first_token_ms, 1),
            between_tokens_ms=round(decoding_ms / max(arrival.output_tokens - 1, 1), 2),
            whole_ms=round(total_ms, 1),
            prompt_tokens=len(arrival.text) // CHARS_PER_TOKEN,
            output_tokens=arrival.output_tokens,
            target=outcome.target,
        )
        self.lines.append(line)


def is_reported_not_run(code: int) -> bool:
    """Say whether a caller was told that its request did not run."""
    return code != ENTRY_LOST_CODE and code_class(code) is CodeClass.NOT_RUN


def is_reported_completed(code: int) -> bool:
    """Say whether a caller was told that its request completed."""
    return code == ResultCode.COMPLETED


def create_memory_driver(
    plan: LoadPlan, run: str, fleet: Fleet, advance: Callable[[float], None]
) -> MemoryDriver:
    """Create the callers of one run; `advance` hears how far the load has come, in s."""
    return MemoryDriver(plan, run, fleet, advance)
