"""Runs failure scenarios: steps on a deployment in memory, checked by `promise_oracle`."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from guavawalk.connection.tasks.process_request import process_request
from guavawalk.connection.tasks.ticket import fetch_ticket
from guavawalk.exception import RequestError
from guavawalk.process.entry_daemon import drain_entry
from guavawalk.process.sidecar.admission import start_leaving
from guavawalk.process.sidecar_daemon import drain_sidecar
from guavawalk.tools.fleet import Fleet, run_fleet
from guavawalk.tools.plan import Plan, kestrel_lane_plan, plan_parts
from guavawalk.tools.standins.memory_targets import MemoryCaller
from guavawalk.version.publish import published_values, render_documents
from tests.process.promise_oracle import Oracle, Sending, Violation
from tests.virtual import run_virtually

__all__ = ["Step", "run_scenario", "small_plan"]

# Time from the end of all faults to the final check, for requests that are still running.
RECOVERY_S = 150.0
DATA_CENTRES = ("victoria", "nanaimo")
TIERS = ("onsite", "plan", "tag")
SMALL_LIMITS = {"window_slots": 2, "queue_slots": 3}


class Step(NamedTuple):
    """One step of a scenario: an action of `Scenario`, then a wait.

    Attributes
    ----------
    action : str
        Name of a public method of `Scenario`.
    node : int
        Selects the node that it affects.
    number : int
        Selects a variant or a second node; its meaning depends on the action.
    wait_s : float
        Seconds to wait afterwards.
    """

    action: str
    node: int = 0
    number: int = 0
    wait_s: float = 0.0


class TicketedRequest(NamedTuple):
    """A request with a ticket, which may be sent again."""

    text: str
    key: str
    model: bool
    tokens: int


def small_plan() -> Plan:
    """Return a plan of two entries, two engines and a booking server."""
    plan = kestrel_lane_plan()
    names = ("engine-0", "engine-1", "booking-0")
    targets = tuple(target for target in plan.targets if target.name in names)
    return plan._replace(entries=DATA_CENTRES, targets=targets)


class Scenario:
    """A scenario in progress; each public method with `node` and `number` is an action."""

    def __init__(self, fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
        self.fleet = fleet
        self.oracle = Oracle(fleet)
        self.tickets: list[TicketedRequest] = []
        self._tasks = tasks
        self._scopes: dict[str, list[anyio.CancelScope]] = {}
        self._draining: set[str] = set()
        self._delays: dict[frozenset[str], float] = {}
        fleet.fabric.delay_s = lambda a, b: self._delays.get(frozenset((a, b)), 0.0005)
        for name in fleet.targets:
            self.oracle.watch_target(name)
            self.oracle.watch_queue(fleet.sidecar(name))

    async def perform(self, step: Step) -> None:
        """Run a step, wait `step.wait_s`, and check the versions of all processes."""
        await getattr(self, step.action)(step.node, step.number)
        await anyio.sleep(step.wait_s)
        self.oracle.check_versions()

    async def settle(self) -> None:
        """End all faults, wait until every request has ended, and check the guarantees."""
        self._delays.clear()
        self.fleet.fabric.paused.clear()
        self.fleet.fabric.heal()
        for engine in self.fleet.engines.values():
            engine.restart()
            engine.faults.slow_factor = 1.0
        await anyio.sleep(RECOVERY_S)
        self.oracle.check_versions()
        self.oracle.check_end()

    async def send_model(self, node: int, number: int) -> None:
        """Send a model request without a key."""
        self._start(node, f"q{len(self.oracle.sendings)}", "", True, 1 + number % 40, number)

    async def send_booking(self, node: int, number: int) -> None:
        """Send a booking without a key."""
        self._start(node, f"b{len(self.oracle.sendings)}", "", False, 0, number)

    async def send_ticketed(self, node: int, number: int) -> None:
        """Fetch a ticket and send a booking, or a model request, with it."""
        self._tasks.start_soon(self._send_ticketed, node, number)

    async def _send_ticketed(self, node: int, number: int) -> None:
        entry = self._entry(node)
        if entry is None:
            return
        model = number % 3 == 0
        body = b'{"model": "quill"}' if model else b'{"service": "booking"}'
        configuration = entry.active.configuration
        workspace = configuration.workspaces["council"]
        with anyio.CancelScope() as scope:
            self._scopes.setdefault(self._entry_node(node), []).append(scope)
            try:
                ticket = await fetch_ticket(entry, configuration, workspace, body)
            except RequestError:
                return
        if scope.cancelled_caught:
            return
        text = f"t{len(self.oracle.sendings)}"
        self.tickets.append(
            TicketedRequest(text, ticket.ticket, model, 1 + number % 40 if model else 0)
        )
        self._start(node, text, ticket.ticket, model, self.tickets[-1].tokens, number)

    async def resend(self, node: int, number: int) -> None:
        """Send a ticketed request again."""
        if self.tickets:
            request = self.tickets[number % len(self.tickets)]
            self._start(node, request.text, request.key, request.model, request.tokens, number)

    async def hang_up(self, node: int, number: int) -> None:
        """Disconnect a caller."""
        if self.oracle.sendings:
            self.oracle.sendings[number % len(self.oracle.sendings)].caller.leave()

    async def cut(self, node: int, number: int) -> None:
        """Disconnect an entry and a sidecar from each other."""
        self.fleet.fabric.cut(self._entry_node(node), self._sidecar_node(number))

    async def heal(self, node: int, number: int) -> None:
        """Connect all nodes again."""
        self.fleet.fabric.heal()

    async def break_links(self, node: int, number: int) -> None:
        """Break the links of an entry; if `number` is odd, messages in flight are lost."""
        self.fleet.fabric.break_links(self._entry_node(node), lose=bool(number % 2))

    async def delay(self, node: int, number: int) -> None:
        """Set the delay between an entry and a sidecar to 0.5 ms, 50 ms, 3 s or 20 s."""
        pair = frozenset((self._entry_node(node), self._sidecar_node(number)))
        self._delays[pair] = (0.0005, 0.05, 3.0, 20.0)[number % 4]

    async def lag(self, node: int, number: int) -> None:
        """Set the delay between an entry and a sidecar to 0.5 ms or 50 ms.

        A sidecar that shuts down waits long enough for messages with these delays.
        """
        await self.delay(node, number // 2 * 4 + number % 2)

    async def pause(self, node: int, number: int) -> None:
        """Pause a process."""
        self.fleet.fabric.pause(self._any_node(node))

    async def wake(self, node: int, number: int) -> None:
        """Resume all paused processes."""
        self.fleet.fabric.paused.clear()
        self.fleet.fabric.notify_change()

    async def kill(self, node: int, number: int) -> None:
        """Kill a process and start its replacement."""
        await self._replace(self._any_node(node))

    async def slow(self, node: int, number: int) -> None:
        """Slow an engine down by a factor of 10 or 100, or restore its normal speed."""
        self._engine(node).faults.slow_factor = (1.0, 10.0, 100.0)[number % 3]

    async def crash_engine(self, node: int, number: int) -> None:
        """Crash an engine."""
        self._engine(node).crash()

    async def restart_engine(self, node: int, number: int) -> None:
        """Start an engine again."""
        self._engine(node).restart()

    async def publish(self, node: int, number: int) -> None:
        """Publish the next version, or offer an old one again."""
        if number % 3:
            self.fleet.publish()
            return
        parts = plan_parts(self.fleet.plan, self.fleet.addresses())
        old = max(1, self.fleet.version - 1 - number % 2)
        self.fleet.platform.publish(published_values(render_documents(old, parts)))

    async def leave_target(self, node: int, number: int) -> None:
        """Make a target's sidecar start to leave."""
        name = self._target(number)
        process = self.fleet.processes.get(f"sidecar-{name}")
        if process is not None:
            start_leaving(process.sidecar)
            self.oracle.left_at.setdefault(name, anyio.current_time())

    async def drain(self, node: int, number: int) -> None:
        """Shut a process down gracefully, then replace it."""
        node_name = self._any_node(node)
        process = self.fleet.processes.get(node_name)
        if process is not None and node_name not in self._draining:
            self._draining.add(node_name)
            self._tasks.start_soon(self._drain, node_name, process)

    async def _drain(self, node_name: str, process) -> None:
        if process.entry is not None:
            await drain_entry(process.entry)
        else:
            await drain_sidecar(process.sidecar)
        if self.fleet.processes.get(node_name) is process:
            await self._replace(node_name)
        self._draining.discard(node_name)

    async def _replace(self, node_name: str) -> None:
        self.fleet.kill(node_name)
        for scope in self._scopes.pop(node_name, []):
            scope.cancel()
        kind, _, name = node_name.partition("-")
        if kind == "entry":
            self._tasks.start_soon(self.fleet.start_entry, name)
            return
        target = next(t for t in self.fleet.plan.targets if t.name == name)
        await self.fleet.start_sidecar(target)
        self.oracle.left_at.pop(name, None)
        self.oracle.watch_queue(self.fleet.sidecar(name))

    def _start(self, node: int, text: str, key: str, model: bool, tokens: int, number: int) -> None:
        entry = self._entry(node)
        if entry is None:
            return
        work = self.fleet.work(
            "council",
            TIERS[number % 3],
            text,
            output_tokens=tokens,
            model="quill" if model else "",
            service="" if model else "booking",
            deadline_ms=(500, 5_000, 30_000)[number % 3],
            key=key,
            entry=DATA_CENTRES[node % 2],
        )
        now_s = anyio.current_time()
        sending = Sending(text, key, tokens, model, now_s, MemoryCaller())
        self.oracle.sendings.append(sending)
        scope = anyio.CancelScope()
        self._scopes.setdefault(self._entry_node(node), []).append(scope)
        self._tasks.start_soon(self._run_request, entry, work, sending, scope)

    async def _run_request(self, entry, work, sending: Sending, scope: anyio.CancelScope) -> None:
        with scope:
            await process_request(entry, work, sending.caller)
        if not scope.cancelled_caught and sending.caller.outcome is None:
            raise Violation(f"answered: {sending.text} ended without an outcome")

    def _entry(self, node: int):
        process = self.fleet.processes.get(self._entry_node(node))
        ready = process is not None and process.entry.active.configuration is not None
        return process.entry if ready else None

    def _entry_node(self, node: int) -> str:
        return f"entry-{DATA_CENTRES[node % 2]}"

    def _target(self, number: int) -> str:
        names = [target.name for target in self.fleet.plan.targets]
        return names[number % len(names)]

    def _sidecar_node(self, number: int) -> str:
        return f"sidecar-{self._target(number)}"

    def _any_node(self, node: int) -> str:
        nodes = [self._entry_node(0), self._entry_node(1)]
        nodes += [self._sidecar_node(i) for i in range(len(self.fleet.plan.targets))]
        return nodes[node % len(nodes)]

    def _engine(self, node: int):
        return self.fleet.engines[f"engine-{node % 2}"]


async def _run(steps: list[Step], check: Callable[[Scenario], None]) -> None:
    async with (
        run_fleet(small_plan(), sidecar_options=SMALL_LIMITS) as fleet,
        anyio.create_task_group() as tasks,
    ):
        scenario = Scenario(fleet, tasks)
        for step in steps:
            await scenario.perform(step)
        await scenario.settle()
        check(scenario)
        tasks.cancel_scope.cancel()


def run_scenario(
    steps: list[Step], check: Callable[[Scenario], None] = lambda scenario: None
) -> None:
    """Run a scenario in virtual time, then call `check` with it before the deployment stops.

    Raises
    ------
    Violation
        If any task found a violated guarantee; taken out of the exception groups of the tasks.
    """
    try:
        run_virtually(_run, steps, check)
    except BaseExceptionGroup as group:
        raise _find_cause(group) from group


def _find_cause(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        broken = error.subgroup(Violation)
        error = (broken or error).exceptions[0]
    return error
