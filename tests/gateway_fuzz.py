"""Random stories of three gateways in virtual time, and what callers and targets must see."""

import random
from functools import partial
from typing import NamedTuple

import anyio

from guavawalk.connection import http_client
from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.tasks.follow_registry import follow_routes, follow_targets
from guavawalk.connection.tasks.gossip import receive_reports, send_reports
from guavawalk.connection.tasks.serve_caller import serve_caller
from guavawalk.connection.tasks.serve_probe import serve_pages
from guavawalk.exception import TargetConnectError, TargetLost
from guavawalk.platform.store import create_store
from guavawalk.process.gateway import connections
from guavawalk.process.gateway.pages import peer_pages
from soak.standins import (
    CHUNKED,
    Caller,
    EndConnection,
    StandInStore,
    StandInTarget,
    answer_not_run,
    event,
    signed_headers,
)
from soak.workload import configuration, registration
from tests.gateway_oracle import (
    KINDS,
    LAST_EVENT,
    QUOTA_PER_S,
    RETRY_RATIO,
    RETRY_SLACK,
    STREAMS,
    Fact,
    Oracle,
    whole_answer,
)
from tests.gateway_standins import GatewayHarness
from tests.memory_network import MemoryNetwork

__all__ = ["STEP_KINDS", "Step", "run_scenario"]

STORE = "10.0.9.1:1"
GATEWAYS = 3
CALLERS = 8
EVENT_EVERY_S = 0.03
WORK_S = 0.02
LONGEST_ANSWER_S = 6.0

STEP_KINDS = (
    "pause",
    "break_target",
    "silence_target",
    "fill_target",
    "kill_target",
    "drain_target",
    "change_routes",
    "kill_gateway",
    "stop_store",
    "forget_history",
)


class Step(NamedTuple):
    """One step of a story.

    Attributes
    ----------
    number : int
        Chooses what it happens to.
    wait_s : float
        Time until the next step.
    """

    kind: str
    number: int = 0
    wait_s: float = 0.3


class World:
    """Store, targets, gateways and callers of one story."""

    def __init__(self, tasks, seed):
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(tasks)
        self.store = StandInStore()
        self.oracle = Oracle()
        self.version = 5
        self.modes = {}
        self.services = {}
        self.gateways = {}

    async def build(self):
        """Start everything, and wait until all gateways are ready."""
        self.network.listen(STORE, self.store.serve)
        for number in range(3):
            for service in ("desk", "model"):
                self._start_target(f"{service}-{number}", service)
        self._publish(has_extra=False)
        for number in range(GATEWAYS):
            self._start_gateway(number, is_first=True)
        await anyio.sleep(1.0)
        assert all(gateway.is_ready() for gateway in self.gateways.values())

    def _publish(self, has_extra):
        document = configuration(self.version)
        if has_extra:
            extra = {**document["routes"][1], "name": "extra", "prefix": "/extra/"}
            document["routes"].append(extra)
        document["tenants"][0] |= {"ratePerS": QUOTA_PER_S, "burst": QUOTA_PER_S}
        self.store.put("op/config", document)
        if has_extra is not self.oracle.extra[-1].value:
            self.oracle.extra.append(Fact(anyio.current_time(), has_extra))

    def _start_target(self, target_id, service):
        address = f"10.0.1.{len(self.services) + 1}:1"
        self.services[target_id] = service, address
        self.modes[target_id] = "ok"
        target = StandInTarget(partial(self._run_request, target_id))
        self.network.listen(address, target.serve)
        self.store.put(f"servers/{target_id}", registration(service, address))

    async def _run_request(self, target_id, target, stream, request):
        headers = dict(request.headers)
        if headers[b"Expect-Instance"] != target_id.encode():
            await stream.send(encode_response(421, ((b"Instance-Id", target_id.encode()),)))
            return
        mode = self.modes[target_id]
        if mode == "full":
            await answer_not_run(target, stream, request)
            return
        request_id = headers[b"Request-Id"].decode()
        name = request.target.decode().split("/")[1]
        self.oracle.record_run(request, target_id, name, request_id, anyio.current_time())
        await anyio.sleep(WORK_S)
        if mode == "silent":
            await anyio.sleep(3.0)
        if mode == "broken" and name not in STREAMS:
            raise EndConnection
        if name not in STREAMS:
            if not stream.has_input:
                self.oracle.record_work(request_id, name, anyio.current_time())
            await stream.send(
                encode_response(200, signed_headers(request), whole_answer(request_id, name))
            )
            return
        first = int(headers.get(b"Last-Event-Id", b"0")) + 1
        await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
        for number in range(first, LAST_EVENT + 1):
            if not stream.has_input:
                self.oracle.record_work(request_id, name, anyio.current_time())
            await stream.send(encode_chunk(event(number)))
            await anyio.sleep(EVENT_EVERY_S)
            if mode == "broken" and number == first + 2:
                await stream.send(encode_chunk(event(number + 1)[:5]))
                raise EndConnection
        await stream.send(LAST_CHUNK)

    def _start_gateway(self, number, is_first=False):
        address = f"10.0.0.{number + 1}"
        story = GatewayHarness(
            peer_listen=f"{address}:2",
            peers=tuple(f"10.0.0.{other + 1}:2" for other in range(GATEWAYS)),
            is_first_start=is_first,
            retry_ratio=RETRY_RATIO,
            retry_slack=RETRY_SLACK,
            instance=f"g-{number}",
        )
        gateway = self.gateways[number] = story.gateway
        gateway.routes.table = gateway.routes.table._replace(version=0)
        gateway.targets.is_loaded = False
        self.network.listen(f"{address}:1", partial(serve_caller, gateway))
        self.network.listen(f"{address}:2", partial(serve_pages, peer_pages(gateway)))
        self.tasks.start_soon(self._run_gateway, number, gateway)

    async def _run_gateway(self, number, gateway):
        address = f"10.0.0.{number + 1}:2"
        socket = self.network.bind(address)
        store = create_store(STORE)
        incarnation = self.rng.randrange(1, 1 << 40)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_routes, gateway, store)
            tasks.start_soon(follow_targets, gateway, store)
            tasks.start_soon(send_reports, gateway, socket, incarnation)
            tasks.start_soon(receive_reports, gateway, socket)
            while self.gateways[number] is gateway:
                await anyio.sleep(0.1)
                gateway.targets.expire(anyio.current_time())
                gateway.dispatcher.dispatch_all()
            tasks.cancel_scope.cancel()

    async def call_until(self, number, stop):
        """Make one call after the other; some callers leave before their answer."""
        rng = random.Random(f"{number}{self.rng.random()}")
        asked = 0
        while not stop.is_set():
            asked += 1
            name = rng.choice((*KINDS, *KINDS, "extra"))
            await self._call(rng, name, f"{name}-{number}-{asked}")
            await anyio.sleep(rng.uniform(0.0, 0.1))

    async def _call(self, rng, name, request_id):
        patience_s = rng.uniform(0.0, 0.4) if rng.random() < 0.1 else LONGEST_ANSWER_S
        try:
            stream = await self.network.open_stream(f"10.0.0.{rng.randint(1, GATEWAYS)}:1")
        except TargetConnectError:
            return
        sent_s = anyio.current_time()
        self.oracle.sent.append((sent_s, name))
        try:
            with anyio.fail_after(patience_s):
                caller = Caller(stream)
                answer = await caller.ask(f"/{name}/1".encode(), request_id=request_id.encode())
            self.oracle.record_answer(request_id, name, *answer, sent_s)
        except TimeoutError:
            self.oracle.left_s[request_id] = anyio.current_time()
        except (TargetLost, anyio.BrokenResourceError):
            self.oracle.statuses["lost"] += 1
        finally:
            stream.close()

    async def take(self, step):
        """Take one step; what it does ends by itself."""
        target_id = sorted(self.services)[step.number % len(self.services)]
        act = {
            "break_target": partial(self._spoil, target_id, "broken"),
            "silence_target": partial(self._spoil, target_id, "silent"),
            "fill_target": partial(self._spoil, target_id, "full"),
            "kill_target": partial(self._kill_target, target_id),
            "drain_target": partial(self._drain_target, target_id),
            "change_routes": self._change_routes,
            "kill_gateway": partial(self._kill_gateway, step.number % GATEWAYS),
            "stop_store": self._stop_store,
            "forget_history": self._forget_history,
        }.get(step.kind)
        if act is not None:
            self.tasks.start_soon(act)
        await anyio.sleep(step.wait_s)

    async def _spoil(self, target_id, mode):
        self.modes[target_id] = mode
        await anyio.sleep(1.0)
        self.modes[target_id] = "ok"

    async def _kill_target(self, target_id):
        service, address = self.services[target_id]
        self.network.kill(address)
        await anyio.sleep(1.0)
        target = StandInTarget(partial(self._run_request, target_id))
        self.network.listen(address, target.serve)

    async def _drain_target(self, target_id):
        if target_id in self.oracle.draining_s:
            return
        service, address = self.services[target_id]
        self.store.put(f"servers/{target_id}", registration(service, address, "draining"))
        self.oracle.draining_s[target_id] = anyio.current_time()
        await anyio.sleep(4.0)
        del self.oracle.draining_s[target_id]
        self.store.put(f"servers/{target_id}", registration(service, address))

    async def _change_routes(self):
        self.version += self.rng.randint(1, 9)
        self._publish(has_extra=not self.oracle.extra[-1].value)

    async def _kill_gateway(self, number):
        for port in (1, 2):
            self.network.kill(f"10.0.0.{number + 1}:{port}")
        self.gateways[number] = None
        await anyio.sleep(0.3)
        if self.gateways[number] is None:
            self._start_gateway(number)

    async def _stop_store(self):
        self.store.failure_status = 503
        for _ in range(15):
            self.oracle.store_trouble_s.append(anyio.current_time())
            await anyio.sleep(0.1)
        self.store.failure_status = 0
        self.oracle.store_trouble_s.append(anyio.current_time())

    async def _forget_history(self):
        self.store.forget_history()


async def run_scenario(steps, seed):
    """Play a story; return how answers ended.

    Raises
    ------
    Violation
        If a promise was broken.
    """
    async with anyio.create_task_group() as tasks:
        world = World(tasks, seed)
        http_client.open_stream = connections.open_stream = world.network.open_stream
        await world.build()
        stop = anyio.Event()
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(world.call_until, number, stop)
            for step in steps:
                await world.take(step)
            stop.set()
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    world.oracle.close()
    return world.oracle.statuses
