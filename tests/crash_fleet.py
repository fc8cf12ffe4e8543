"""Gateways on loopback with targets that end when they begin to run a certain request."""

import socket
import struct
from collections import Counter, defaultdict
from contextlib import asynccontextmanager
from functools import partial

import anyio
from anyio.abc import SocketAttribute

from guavawalk.connection.http_encoding import LAST_CHUNK, encode_chunk, encode_response_head
from guavawalk.connection.tasks.crash_news import send_crash_news, send_part_news
from guavawalk.connection.tasks.gossip import receive_reports, send_reports
from guavawalk.connection.tasks.serve_caller import serve_caller
from guavawalk.exception import TargetLost
from soak.standins import CHUNKED, Caller, EndConnection, StandInTarget, event, signed_headers
from tests.gateway_calls import RESUMABLE, make_registration
from tests.gateway_standins import GatewayHarness

__all__ = ["BAD_BODY", "BAD_PART", "CrashFleet", "CrashingTarget", "running_fleet"]

BAD_BODY = b"ends each target that begins to run it"
# A part of a prompt that ends each target that begins to write an answer on it.
BAD_PART = b"bad"
# First parts of prompts: the first one stands before `BAD_PART` too.
FIRST_PARTS = (b"first", b"other")
# Time between the begin of such an answer and the target's end, in seconds.
BAD_RUN_S = 0.1
SOUND_EVENTS = 10
EVENT_INTERVAL_S = 0.03


class CrashingTarget:
    """A target that ends when it begins to run `BAD_BODY`, and starts again later.

    Attributes
    ----------
    registration : Registration
        Of the present start.
    bad_runs_s : list of float
        When the bad request ended it, on the event loop's clock.
    """

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._starts = 0
        self._streams = set()
        self._listener = None
        self._scope = None
        self._port = 0
        self.registration = None
        self.bad_runs_s = []

    async def start(self):
        """Listen at the port of the last start, and register."""
        if not self._port:
            # Holds the port while no listener does: an outgoing connection could take it.
            self._reserved = socket.socket()
            self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._reserved.bind(("127.0.0.1", 0))
            self._port = self._reserved.getsockname()[1]
        self._listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._port, reuse_port=True
        )
        self._starts += 1
        self._scope = anyio.CancelScope()
        self._fleet.tasks.start_soon(self._listen, self._listener, self._scope)
        name = f"i-{self._number}"
        if self._fleet.has_new_ids:
            name += f"-{self._starts}"
        self.registration = make_registration(
            name,
            "model",
            f"127.0.0.1:{self._port}",
            slots=8,
            started_at_ms=1_000_000 * self._starts + self._number,
        )
        self._fleet.register(self.registration)

    async def _listen(self, listener, scope):
        try:
            with scope:
                await listener.serve(self._serve, self._fleet.tasks)
        except* anyio.ClosedResourceError:
            pass

    async def _serve(self, stream):
        self._streams.add(stream)
        try:
            await StandInTarget(self._answer).serve(stream)
        except (anyio.ClosedResourceError, OSError):
            return
        finally:
            self._streams.discard(stream)

    async def _answer(self, target, stream, request):
        if request.body == BAD_BODY:
            self.bad_runs_s.append(anyio.current_time())
            await self.crash()
            raise EndConnection
        bad_parts = self._fleet.bad_parts & set(_shared_parts(request))
        await anyio.sleep(EVENT_INTERVAL_S)
        await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
        if bad_parts:
            for part in bad_parts:
                self._fleet.part_runs_s[part].append(anyio.current_time())
            await stream.send(encode_chunk(event(1)))
            await anyio.sleep(BAD_RUN_S)
            if self.is_listening:
                await self.crash()
            raise EndConnection
        first = int(dict(request.headers).get(b"Last-Event-Id", b"0")) + 1
        for number in range(first, SOUND_EVENTS + 1):
            await stream.send(encode_chunk(event(number)))
            await anyio.sleep(EVENT_INTERVAL_S)
        await stream.send(LAST_CHUNK)

    @property
    def is_listening(self):
        """Whether it runs."""
        return not self._scope.cancel_called

    async def crash(self):
        """Reset all connections, refuse new ones, and start again after a while."""
        self._scope.cancel()
        await self._listener.aclose()
        await self.reset_connections()
        self._fleet.tasks.start_soon(self._start_again, self.registration)

    async def reset_connections(self):
        """Reset all connections, as a broken link does."""
        for stream in list(self._streams):
            raw = stream.extra(SocketAttribute.raw_socket)
            if raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await anyio.aclose_forcefully(stream)

    async def _start_again(self, ended):
        await anyio.sleep(self._fleet.lapse_s)
        if self._fleet.has_new_ids:
            self._fleet.unregister(ended.target_id)
        await anyio.sleep(self._fleet.down_s - self._fleet.lapse_s)
        await self.start()


class CrashFleet:
    """Gateways in two data centres, and targets that a bad request ends.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the tasks of gateways and targets.
    has_new_ids : bool
        Whether each start of a target has an id of its own.
    lapse_s, down_s : float
        Time from the end of a target until its registration is gone, and until it has started
        again, in seconds.
    """

    def __init__(self, tasks, has_new_ids=True, lapse_s=0.6, down_s=1.2):
        self.tasks = tasks
        self.has_new_ids = has_new_ids
        self.lapse_s, self.down_s = lapse_s, down_s
        self.gateways = []
        self.targets = []
        self.logs = []
        self.served_sound = 0
        self.bad_parts = {BAD_PART}
        # When runs of a bad part began, by part, on the event loop's clock.
        self.part_runs_s = defaultdict(list)
        # Sound requests, and those served at the first attempt, by the first part of their prompt.
        self.sent_by_part = Counter()
        self.served_by_part = Counter()
        self._registrations = {}

    async def start(self, gateways=3, targets=10):
        """Start targets and gateways, and wait until the gateways know each other."""
        for number in range(targets):
            target = CrashingTarget(self, number)
            self.targets.append(target)
            await target.start()
        for number in range(gateways):
            self.gateways.append(await self.start_gateway("ab"[number % 2]))
        while any(one.gateway.peers.count() < gateways for one in self.gateways):
            await anyio.sleep(0.02)

    async def start_gateway(self, data_centre):
        """Start a gateway that knows the targets, and the others' addresses."""
        datagrams, pages, port = await _bind_both()
        story = GatewayHarness(
            RESUMABLE,
            peer_listen=f"127.0.0.1:{port}",
            peers=tuple(one.gateway.settings.peer_listen for one in self.gateways),
            data_centre=data_centre,
            instance=f"g-{port}",
        )
        for registration in self._registrations.values():
            story.gateway.targets.put(registration)
        self.logs.append(story.log)
        story.scope = anyio.CancelScope()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        story.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        self.tasks.start_soon(self._run_gateway, story, listener, datagrams, pages, port)
        return story

    async def _run_gateway(self, story, listener, datagrams, pages, port):
        with story.scope:
            async with datagrams, pages, listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, partial(serve_caller, story.gateway))
                tasks.start_soon(receive_reports, story.gateway, datagrams)
                tasks.start_soon(send_crash_news, story.gateway, datagrams)
                tasks.start_soon(send_part_news, story.gateway, datagrams)
                tasks.start_soon(send_reports, story.gateway, datagrams, port)

    async def replace_gateway(self, number):
        """Kill a gateway; another one, which knows nothing of what was, takes its place."""
        self.gateways[number].scope.cancel()
        await anyio.sleep(0.05)
        data_centre = self.gateways[number].gateway.settings.data_centre
        self.gateways[number] = await self.start_gateway(data_centre)

    def register(self, registration):
        """Register a target at all gateways."""
        self._registrations[registration.target_id] = registration
        for story in self.gateways:
            story.gateway.targets.put(registration)
            story.gateway.dispatcher.dispatch_all()

    def unregister(self, target_id):
        """Remove a registration at all gateways, as the registry does when it lapses."""
        self._registrations.pop(target_id, None)
        for story in self.gateways:
            now_s = story.gateway.clock.now_s()
            story.gateway.targets.remove(target_id, now_s, False)

    async def ask(self, number, body, request_id, headers=()):
        """Send one request to a gateway; return its status, or None if it got no whole answer."""
        host, port = self.gateways[number].address.split(":")
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                with anyio.fail_after(4):
                    answer = await Caller(stream).ask(
                        path=b"/x/1", body=body, request_id=request_id, headers=headers
                    )
                return answer[0]
        except (TargetLost, TimeoutError, OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            return None

    async def send_bad(self, rng, seconds, every_s):
        """Send the bad request again and again, each time to a random gateway."""
        until_s = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until_s:
            number += 1
            gateway = rng.randrange(len(self.gateways))
            self.tasks.start_soon(self.ask, gateway, BAD_BODY, b"bad%d" % number)
            await anyio.sleep(every_s * rng.uniform(0.5, 1.5))

    async def send_bad_parts(self, rng, seconds, every_s, part=BAD_PART, others=FIRST_PARTS[:1]):
        """Send requests that have one part in common, each to a random gateway."""
        until_s = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until_s:
            number += 1
            own = b"%s-%d" % (part, number)
            headers = (_prompt_prefix(rng.choice(others), part, b"third", own),)
            gateway = rng.randrange(len(self.gateways))
            self.tasks.start_soon(self.ask, gateway, own, own, headers)
            await anyio.sleep(every_s * rng.uniform(0.5, 1.5))

    async def send_sound(self, rng, stop, client):
        """Send sound requests, one after another, each of them again if it is not served."""
        number = 0
        first = FIRST_PARTS[client % len(FIRST_PARTS)]
        while not stop.is_set():
            number += 1
            body = b"sound %d %d" % (client, number)
            headers = (_prompt_prefix(first, b"mid%d" % client, b"third", body),)
            self.sent_by_part[first] += 1
            for attempt in range(2):
                gateway = rng.randrange(len(self.gateways))
                request_id = b"s%d-%d-%d" % (client, number, attempt)
                status = await self.ask(gateway, body, request_id, headers)
                if status == 200:
                    self.served_sound += 1
                    self.served_by_part[first] += not attempt
                    break

    @property
    def refused_sound(self):
        """Number of sound requests that were refused as ones that end targets."""
        return sum(
            ended["code_name"] == "CRASH_SUSPECT" and ended["trace_id"].startswith("s")
            for log in self.logs
            for ended in (*log.named("call_refused"), *log.named("call_ended"))
        )

    def bad_runs_s(self):
        """Return when the bad request began to run at a target and ended it, in order."""
        return sorted(at_s for target in self.targets for at_s in target.bad_runs_s)


def _prompt_prefix(*parts):
    value = b",".join(b"%s:60" % part.replace(b" ", b"-") for part in parts)
    return b"Prompt-Prefix", value


def _shared_parts(request):
    """Return the ids of the parts of a request's prompt but the last."""
    value = dict(request.headers).get(b"Prompt-Prefix", b"")
    return [part.partition(b":")[0] for part in value.split(b",")[:-1]]


async def _bind_both():
    for _ in range(20):
        datagrams = await anyio.create_udp_socket(local_host="127.0.0.1", local_port=0)
        port = datagrams.extra(SocketAttribute.local_port)
        try:
            pages = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        except OSError:
            await datagrams.aclose()
            continue
        return datagrams, pages, port
    raise AssertionError("found no port that is free for both UDP and TCP")


@asynccontextmanager
async def running_fleet(gateways=3, targets=10, **options):
    """Run a fleet while the block runs."""
    async with anyio.create_task_group() as tasks:
        fleet = CrashFleet(tasks, **options)
        await fleet.start(gateways, targets)
        yield fleet
        tasks.cancel_scope.cancel()
