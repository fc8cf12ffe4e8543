"""Runs gateways that share stand-in engines in virtual time, while both are replaced in turn."""

import random
from functools import partial
from statistics import fmean
from typing import NamedTuple

import anyio

from guavawalk.connection.registry import TargetUpdate
from guavawalk.connection.tasks.follow_registry import follow_targets
from guavawalk.connection.tasks.gossip import receive_reports, send_reports
from guavawalk.connection.tasks.serve_probe import serve_pages
from guavawalk.exception import RequestError
from guavawalk.process.gateway.pages import peer_pages
from guavawalk.version.routes import RouteKind
from tests.gateway_calls import make_call, make_registration, make_route
from tests.gateway_standins import GatewayHarness
from tests.memory_network import MemoryNetwork

__all__ = ["Fleet", "FleetPlan", "Span"]

ROUTE = make_route(RouteKind.STREAM, "model", timeout_s=30.0, latency_goal_s=0.8)
DATA_CENTRES = ("a", "b", "c")
FIRST_EVENT_S = 0.05
# Calls that an engine keeps waiting for a slot; it rejects more.
ENGINE_QUEUE = 2
# Times after a SIGTERM, in seconds: no new calls come; the gateway refuses calls; it is killed.
BALANCED_AWAY_S = 2.0
NOTICE_S = 2.6
GRACE_S = 15.0
RESTART_S = 0.5


class FleetPlan(NamedTuple):
    """Size of a fleet and its load; `load` is the mean share of the engines' slots in use."""

    gateways: int = 12
    engines: int = 12
    slots: int = 8
    load: float = 0.8
    min_run_s: float = 1.0
    max_run_s: float = 5.0
    registry_delay_s: float = 0.1


class Span(NamedTuple):
    """What was seen in a span of time.

    Attributes
    ----------
    first_event_s : float
        Mean time from a call's arrival to its first event, in seconds.
    rejected : int
        Attempts that an engine rejected as full.
    refused : int
        Calls that a gateway refused.
    believed_share : float
        Load that the ready gateways believe the engines have, as a share of their true load.
    least_believed_share : float
        The same of the gateway that believes the least, on average over the span.
    spread : float
        Mean over samples of the greatest number of calls at an engine less the mean number.
    """

    first_event_s: float
    rejected: int
    refused: int
    believed_share: float
    least_believed_share: float
    spread: float


class _Registry:
    """Registrations that every read and every noticed change takes a while to tell."""

    def __init__(self, delay_s):
        self.entries = {}
        self.changes = []
        self._delay_s = delay_s
        self._changed = anyio.Event()

    def put(self, registration):
        self.entries[registration.target_id] = registration
        self._notify(registration.target_id)

    def remove(self, target_id):
        del self.entries[target_id]
        self._notify(target_id)

    def _notify(self, target_id):
        self.changes.append(target_id)
        self._changed.set()
        self._changed = anyio.Event()

    async def read_targets(self):
        await anyio.sleep(random.uniform(0.1, 2.0) * self._delay_s)
        return TargetUpdate(tuple(self.entries.values()), (), len(self.changes), len(self.changes))

    async def watch_targets(self, after, wait_s):
        with anyio.move_on_after(wait_s):
            while after == len(self.changes):
                await self._changed.wait()
        await anyio.sleep(random.uniform(0.1, 2.0) * self._delay_s)
        changed = set(self.changes[after:])
        registered = tuple(self.entries[key] for key in changed if key in self.entries)
        removed = tuple(key for key in changed if key not in self.entries)
        as_of = len(self.changes)
        return TargetUpdate(registered, removed, as_of, as_of if changed else 0)


class _Engine:
    """Runs as many calls as it has slots, keeps a few waiting, and rejects the rest."""

    def __init__(self, slots):
        self.limiter = anyio.CapacityLimiter(slots)
        self.calls = 0

    def is_full(self):
        return self.calls >= self.limiter.total_tokens + ENGINE_QUEUE


class Fleet:
    """Gateways with their reports, engines, and callers that a load balancer spreads."""

    def __init__(self, tasks, plan):
        self.plan = plan
        self.tasks = tasks
        self.network = MemoryNetwork(tasks)
        self.registry = _Registry(plan.registry_delay_s)
        self.engines = {}
        self.gateways = {}
        # Gateways that the load balancer sends calls to, by number.
        self.balanced = set()
        self.incarnation = 0
        self.events, self.rejections, self.refusals, self.samples = [], [], [], []

    async def build(self):
        for _ in range(self.plan.engines):
            self.start_engine()
        for number in range(self.plan.gateways):
            self.tasks.start_soon(self.run_gateway, number)
        await anyio.sleep(2.0)
        self.tasks.start_soon(self._send_calls)
        self.tasks.start_soon(self._sample)

    def start_engine(self):
        number = len(self.engines)
        target_id = f"e-{number}"
        self.engines[target_id] = _Engine(self.plan.slots)
        self.registry.put(
            make_registration(
                target_id,
                "model",
                f"10.1.0.{number}:1",
                slots=self.plan.slots,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            )
        )
        return target_id

    async def replace_engine(self, target_id, drain_s=2.0):
        """Start a new engine, and have an old one leave."""
        self.start_engine()
        self.registry.put(self.registry.entries[target_id]._replace(draining=True))
        await anyio.sleep(drain_s)
        self.registry.remove(target_id)

    async def run_gateway(self, number):
        """Run a gateway until it is removed from `gateways`."""
        address = f"10.0.0.{number + 1}:2"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        seeds = [f"10.0.0.{other + 1}:2" for other in range(self.plan.gateways)]
        harness = GatewayHarness(
            ROUTE, peer_listen=address, peers=tuple(seeds), data_centre=data_centre
        )
        gateway = self.gateways[number] = harness.gateway
        gateway.targets.is_loaded = False
        self.network.listen(address, partial(serve_pages, peer_pages(gateway)))
        socket = self.network.bind(address)
        self.incarnation += 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_targets, gateway, self.registry)
            tasks.start_soon(send_reports, gateway, socket, self.incarnation)
            tasks.start_soon(receive_reports, gateway, socket)
            while not gateway.is_ready():
                await anyio.sleep(0.01)
            self.balanced.add(number)
            while self.gateways[number] is gateway:
                await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    async def replace_gateway(self, number):
        """Shut a gateway down as the daemon does, and start it again under the same address."""
        gateway = self.gateways[number]
        gateway.callers.is_draining = True
        with anyio.move_on_after(GRACE_S):
            await anyio.sleep(BALANCED_AWAY_S)
            self.balanced.discard(number)
            await anyio.sleep(NOTICE_S - BALANCED_AWAY_S)
            gateway.callers.is_refusing = True
            await gateway.callers.wait_for_calls()
        self.gateways[number] = None
        self.network.kill(f"10.0.0.{number + 1}:2")
        await anyio.sleep(RESTART_S)
        self.tasks.start_soon(self.run_gateway, number)

    async def _send_calls(self):
        plan = self.plan
        per_s = plan.load * plan.engines * plan.slots * 2 / (plan.min_run_s + plan.max_run_s)
        while True:
            await anyio.sleep(random.expovariate(per_s))
            if self.balanced:
                number = random.choice(sorted(self.balanced))
                self.tasks.start_soon(self._run_call, self.gateways[number])

    async def _run_call(self, gateway):
        arrived_s = anyio.current_time()
        run_s = random.uniform(self.plan.min_run_s, self.plan.max_run_s)
        call = make_call(ROUTE, arrived_s=arrived_s, prompt_tokens=500)
        tried_ids = set()
        with gateway.callers.call():
            while True:
                try:
                    reservation = await gateway.dispatcher.reserve(call, tried_ids)
                except RequestError:
                    self.refusals.append(anyio.current_time())
                    return
                try:
                    if await self._run_attempt(reservation, arrived_s, run_s):
                        return
                finally:
                    gateway.dispatcher.release(reservation)
                tried_ids.add(reservation.choice.target_id)

    async def _run_attempt(self, reservation, arrived_s, run_s):
        engine = self.engines[reservation.choice.target_id]
        await anyio.sleep(0.001)
        if engine.is_full():
            self.rejections.append(anyio.current_time())
            return False
        engine.calls += 1
        try:
            async with engine.limiter:
                await anyio.sleep(FIRST_EVENT_S)
                now_s = anyio.current_time()
                reservation.target.record_first_event(reservation.running, now_s)
                self.events.append((now_s, now_s - arrived_s))
                await anyio.sleep(run_s)
        finally:
            engine.calls -= 1
        return True

    async def _sample(self):
        while True:
            await anyio.sleep(0.1)
            counts = [
                self.engines[target_id].calls
                for target_id, entry in self.registry.entries.items()
                if not entry.draining
            ]
            shares = [
                share
                for number in self.balanced
                if (share := self.believed_share(number)) is not None
            ]
            if shares:
                spread = max(counts) - fmean(counts)
                self.samples.append((anyio.current_time(), fmean(shares), min(shares), spread))

    def believed_share(self, number):
        """Return the load that a gateway believes the engines have, as a share of their true load.

        None if they have none.
        """
        gateway = self.gateways[number]
        running = sum(self.engines[target_id].calls for target_id in gateway.targets.ids())
        return (
            sum(target.total_running for target in gateway.targets) / running if running else None
        )

    def span(self, begin_s, end_s):
        """Return what was seen between two moments."""

        def within(times):
            return [row for row in times if begin_s <= row[0] < end_s]

        samples = within(self.samples)
        return Span(
            fmean(wait_s for _, wait_s in within(self.events)),
            sum(begin_s <= at_s < end_s for at_s in self.rejections),
            sum(begin_s <= at_s < end_s for at_s in self.refusals),
            fmean(share for _, share, _, _ in samples),
            fmean(least for _, _, least, _ in samples),
            fmean(spread for _, _, _, spread in samples),
        )
