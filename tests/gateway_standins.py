"""A gateway on loopback with stand-in targets, for tests of its tasks."""

import socket
from contextlib import asynccontextmanager
from functools import partial

import anyio

from guavawalk.connection.socket_stream import create_stream
from guavawalk.connection.tasks.serve_caller import serve_caller
from guavawalk.exception import TargetLost
from guavawalk.process.clock import create_clock
from guavawalk.process.gateway.settings import GatewaySettings
from guavawalk.process.gateway.state import create_gateway
from soak.standins import Caller, StandInTarget, listen
from tests.gateway_calls import make_registration, make_table

__all__ = ["GatewayHarness", "ListLog", "ask_once", "connect_slow_reader", "run_with_timeout"]


def connect_slow_reader(address):
    """Connect a caller for which the kernel holds far less than 4 MB, whatever it has measured."""
    host, port = address.split(":")
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
    raw.connect((host, int(port)))
    return Caller(create_stream(raw))


def run_with_timeout(function, *args):
    """Run an async function on real sockets; raise `TimeoutError` after 30 s."""

    async def run():
        with anyio.fail_after(30):
            return await function(*args)

    return anyio.run(run)


class ListLog:
    """A log that keeps its events in a list."""

    level = "INFO"
    dropped = 0

    def __init__(self):
        self.lines = []

    def emit(self, event, **fields):
        self.lines.append((event.name, fields))

    def named(self, name):
        return [fields for event_name, fields in self.lines if event_name == name]


class GatewayHarness:
    """Creates a gateway with a route table, and serves its callers and stand-in targets.

    Keyword arguments replace settings of the gateway.
    """

    def __init__(self, *routes, **settings):
        settings = {
            "instance": "g-1",
            "data_centre": "a",
            "listen": "127.0.0.1:1",
            "readiness_listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:1",
            "registry": "127.0.0.1:1",
            "is_first_start": True,
            **settings,
        }
        self.log = ListLog()
        self.gateway = create_gateway(GatewaySettings(**settings), create_clock(0.0), self.log)
        self.gateway.routes.replace(make_table(*routes))
        self.gateway.targets.is_loaded = True
        self.gateway.evacuations.is_known = True
        self.address = ""
        self.tasks = None

    @asynccontextmanager
    async def running(self, *targets, service="desk", slots=4):
        """Serve callers and the targets, with the ids `i-1`, `i-2` ..., while the block runs."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for number, target in enumerate(targets, 1):
                listener, target.address = await listen(target.serve)
                tasks.start_soon(listener.serve, target.serve)
                registration = make_registration(
                    f"i-{number}", service, target.address, slots=slots
                )
                self.gateway.targets.put(registration)
            serve = partial(serve_caller, self.gateway)
            listener, self.address = await listen(serve)
            tasks.start_soon(listener.serve, serve)
            yield self
            tasks.cancel_scope.cancel()

    async def caller(self):
        """Connect a caller to the gateway."""
        host, port = self.address.split(":")
        return Caller(await anyio.connect_tcp(host, int(port)))

    def code(self):
        """Return the result code's name of the last refused call, else of the last ended call."""
        names = [*self.log.named("call_ended"), *self.log.named("call_refused")]
        return names[-1]["code_name"]


def ask_once(route, *scripts, **request):
    """Send one request; return the harness, its targets and the answer.

    The answer is None if the connection ended before the answer was complete. Each script gets a
    target of its own.
    """

    async def run():
        harness = GatewayHarness(route)
        targets = [StandInTarget(script) for script in scripts]
        service = route.services[0].service
        async with harness.running(*targets, service=service):
            caller = await harness.caller()
            try:
                answer = await caller.ask(**request)
            except TargetLost:
                answer = None
        return harness, targets, answer

    return run_with_timeout(run)
