"""Sends the requests of a load plan to a deployment in memory, open loop."""

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

# Code of a request without an outcome: its entry was killed, or none was ready.
ENTRY_LOST_CODE = -1
# Name under which results list calls to plain services.
CALL_TIER = "plain service"
# Output tokens that a crashing request asks for.
CRASHING_TOKENS = 8
# Delay before a call is sent again, through an entry drawn at random.
RESEND_AFTER_S = 0.05


class ModelAnswer(NamedTuple):
    """Outcome of a model request.

    Attributes
    ----------
    prompt : str
        The text that the engine receives.
    code : int
        Result code, or `ENTRY_LOST_CODE` if there was no outcome.
    is_complete : bool
        Whether the answer has exactly the requested number of tokens.
    """

    prompt: str
    code: int
    is_complete: bool


class CallAnswer(NamedTuple):
    """Outcome of one sending of a call with a ticket; `code` as in `ModelAnswer`."""

    reference: str
    code: int


class MemoryDriver:
    """The callers of one run.

    Attributes
    ----------
    lines : list of RequestLine
        Results of all requests that have ended.
    model_answers, call_answers : list
        Outcomes of model requests and of calls, for the checks after the run.
    """

    def __init__(self, plan: LoadPlan, run: str, fleet: Fleet, report_progress: Callable) -> None:
        self.lines: list[RequestLine] = []
        self.model_answers: list[ModelAnswer] = []
        self.call_answers: list[CallAnswer] = []
        self._plan = plan
        self._run = run
        self._fleet = fleet
        self._report_progress = report_progress
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
                self._report_progress(arrival.at_s)
                tasks.start_soon(self._send_model, arrival)

    async def kill_entry(self, centre: str) -> None:
        """Kill an entry and cancel the requests in progress there."""
        for scope in list(self._scopes.get(centre, ())):
            scope.cancel()
        self._fleet.kill(f"entry-{centre}")

    async def send_crashing(self, times: int, every_s: float) -> None:
        """Send a crashing request `times` times, `every_s` apart, through alternating entries."""
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
            max_tokens = arrival.max_tokens
            return work._replace(expected_output_tokens=max_tokens, max_output_tokens=max_tokens)

        caller, total_ms = await self._process(arrival.entry, make_work)
        outcome = caller.outcome or Outcome(ENTRY_LOST_CODE)
        # Each token of the engine model ends with the only space in it.
        is_complete = caller.data.count(b" ") == arrival.output_tokens
        in_time = outcome.code == 0 and is_complete and total_ms <= tier.deadline_ms
        self.model_answers.append(ModelAnswer(prompt, int(outcome.code), is_complete))
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
                is_resent = self._rng.random() < plan.resent_share
                entry = self._rng.choice(self._fleet.plan.entries)
                tasks.start_soon(self._send_call, f"call-{number}", entry, at_s, is_resent)

    async def _send_call(self, reference: str, centre: str, at_s: float, is_resent: bool) -> None:
        ticket = await self._fetch_ticket(centre)
        if ticket is None:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_ticketed, reference, centre, at_s, ticket)
            if is_resent:
                await anyio.sleep(RESEND_AFTER_S)
                other = self._rng.choice(self._fleet.plan.entries)
                tasks.start_soon(self._send_ticketed, reference, other, at_s, ticket)

    def _ready_entry(self, centre: str) -> str | None:
        """Return the data centre whose entry a load balancer chooses, or None if no entry is ready.

        It is `centre` itself or, if its entry isn't ready, the next of the plan with a ready entry.
        """
        centres = self._fleet.plan.entries
        first = centres.index(centre)
        for name in (*centres[first:], *centres[:first]):
            process = self._fleet.processes.get(f"entry-{name}")
            if process is not None and process.entry.active.configuration is not None:
                return name
        return None

    async def _fetch_ticket(self, centre: str) -> str | None:
        """Return a ticket, or None if no entry is ready or the request for it is refused."""
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

    async def _send_ticketed(self, reference: str, centre: str, at_s: float, ticket: str) -> None:
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

        caller, total_ms = await self._process(centre, make_work)
        outcome = caller.outcome or Outcome(ENTRY_LOST_CODE)
        self.call_answers.append(CallAnswer(reference, int(outcome.code)))
        arrival = Arrival(at_s, centre, plan.workspaces[0].name, tier.name, reference, 0, 0)
        in_time = outcome.code == 0 and total_ms <= tier.deadline_ms
        self._record(arrival, CALL_TIER, outcome, total_ms, in_time)

    async def _process(
        self, centre: str, make_work: Callable[[str], Work]
    ) -> tuple[MemoryCaller, float]:
        """Process a request at a ready entry; return its caller and its duration in ms.

        The caller has no outcome if no entry is ready, or if the entry is killed.
        """
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
    """Return whether a code tells a caller that its request did not run.

    A request without an outcome (`ENTRY_LOST_CODE`) may have run.
    """
    return code != ENTRY_LOST_CODE and code_class(code) is CodeClass.NOT_RUN


def is_reported_completed(code: int) -> bool:
    """Return whether a code tells a caller that its request completed."""
    return code == ResultCode.COMPLETED


def create_memory_driver(
    plan: LoadPlan, run: str, fleet: Fleet, report_progress: Callable[[float], None]
) -> MemoryDriver:
    """Create the callers of one run; `report_progress` is called with each arrival time, in s."""
    return MemoryDriver(plan, run, fleet, report_progress)
