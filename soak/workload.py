"""What surrounds the gateways in the soak: store, targets, callers, and the promises checked."""

import random
from collections import Counter

import anyio

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.exception import TargetLost
from soak.standins import (
    CHUNKED,
    HOST,
    Caller,
    EndConnection,
    StandInTarget,
    answer_not_run,
    event,
    signed_headers,
)

__all__ = [
    "KINDS",
    "LoadClient",
    "OutcomeRecorder",
    "configuration",
    "create_target",
    "registration",
]

# Kind of route, whether it may be resumed, and its service.
KINDS = {
    "unsafe": ("unsafe", False, "desk"),
    "safe": ("safe", False, "desk"),
    "plan": ("streaming", False, "model"),
    "question": ("streaming", True, "model"),
}
EVENTS = 12
EVENT_EVERY_S = 0.02
WORK_S = 0.03
ANSWER_WITHIN_S = 6.0
PROMISES = (408, 421, 429, 503)


def configuration(version: int) -> dict:
    """Return an operator's configuration."""
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "prefix": f"/{name}/",
            "routeType": kind,
            "resumable": resumable,
            "service": service,
            "timeoutMs": 4000,
            "latencyGoalMs": 500,
            "maxAttempts": 2,
        }
        for name, (kind, resumable, service) in KINDS.items()
    ]
    engine = {"capacity": 6, "kvCapacity": 100_000, "kvTokenBytes": 1}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk"}, {"name": "model", "engine": engine}],
        "tenants": [{"name": "w", "apiKeys": ["k1"]}],
    }


def registration(service: str, address: str, state: str = "ready") -> dict:
    """Return a target's entry."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "capacity": 6,
        "state": state,
        "sequence": 1,
    }


class OutcomeRecorder:
    """What targets ran and callers got, and which promises that breaks."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.broken: list[str] = []

    def record_run(self, request_id: str, path: str, resumed: bool) -> None:
        """Note that a target begins to run a request."""
        self.runs[request_id] += 1
        name = path.split("/")[1]
        if self.runs[request_id] > 1 and not may_repeat(name):
            self.broken.append(f"{request_id} ({name}) ran {self.runs[request_id]} times")
        if resumed and not KINDS[name][1]:
            self.broken.append(f"{request_id} ({name}) was resumed")

    def record_answer(self, request_id: str, name: str, status: int, headers, body: bytes) -> None:
        """Check a whole answer."""
        self.outcomes[f"{name} {status}"] += 1
        if status == 200:
            whole = expected_body(request_id, name)
            if body != whole or b"Server-Stamp" not in headers:
                self.broken.append(f"{request_id} ({name}) got a wrong success: {body[:80]!r}")
        elif status in PROMISES:
            self.refused.add(request_id)
        elif status in (401, 403, 404):
            self.broken.append(f"{request_id} ({name}) was denied: {status}")

    def record_no_answer(self, request_id: str, name: str) -> None:
        """Note a connection that ended without a whole answer."""
        self.outcomes[f"{name} lost"] += 1
        self.lost.add(request_id)

    def close(self, planned_only: bool) -> list[str]:
        """Return all broken promises.

        Parameters
        ----------
        planned_only : bool
            Whether nothing but planned work was done, which cuts off no request that ran.
        """
        if planned_only:
            cut = [request_id for request_id in sorted(self.lost) if self.runs[request_id]]
            self.broken += [f"{request_id} was cut off by planned work" for request_id in cut]
        ran = [request_id for request_id in self.refused if self.runs[request_id]]
        return self.broken + [
            f"{request_id} was refused as not run, and ran"
            for request_id in ran
            if not may_repeat(request_id.split("-")[0])
        ]


def may_repeat(name: str) -> bool:
    """Say whether a kind of request may run more than once."""
    kind, resumable, _ = KINDS[name]
    return kind == "safe" or resumable


def expected_body(request_id: str, name: str) -> bytes:
    """Return the whole answer to a request."""
    if KINDS[name][0] == "streaming":
        return b"".join(map(event, range(1, EVENTS + 1)))
    return b"answer to " + request_id.encode()


def create_target(target_id: str, recorder: OutcomeRecorder, rng: random.Random) -> StandInTarget:
    """Create a target that runs requests meant for it, and fails some."""

    async def run(target, stream, request):
        headers = dict(request.headers)
        if headers[b"Expect-Instance"] != target_id.encode():
            await stream.send(encode_response(421, ((b"Instance-Id", target_id.encode()),)))
            return
        if rng.random() < target.shed_share:
            await answer_not_run(target, stream, request)
            return
        request_id = headers[b"Request-Id"].decode()
        last = int(headers.get(b"Last-Event-Id", b"0"))
        recorder.record_run(request_id, request.target.decode(), bool(last))
        if headers.get(b"Tenant") != b"w" or b"Authorization" in headers:
            recorder.broken.append(f"{request_id} came with the wrong workspace or with its key")
        name = request.target.decode().split("/")[1]
        await anyio.sleep(WORK_S)
        if rng.random() < target.fail_share:
            raise EndConnection
        if KINDS[name][0] != "streaming":
            await stream.send(
                encode_response(200, signed_headers(request), expected_body(request_id, name))
            )
            return
        await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
        for number in range(last + 1, EVENTS + 1):
            await stream.send(encode_chunk(event(number)))
            await anyio.sleep(EVENT_EVERY_S)
            if rng.random() < target.fail_share / EVENTS:
                raise EndConnection
        await stream.send(LAST_CHUNK)

    target = StandInTarget(run)
    target.shed_share = target.fail_share = 0.0
    return target


class LoadClient:
    """One caller: it keeps its connection until that ends, then opens another one."""

    def __init__(
        self, number: int, recorder: OutcomeRecorder, rng: random.Random, addresses
    ) -> None:
        self._number = number
        self._recorder = recorder
        self._rng = rng
        self._addresses = addresses
        self._caller: Caller | None = None
        self._asked = 0

    async def ask_until(self, stop: anyio.Event) -> None:
        """Ask one request after the other."""
        while not stop.is_set():
            await self.ask(self._rng.choice(list(KINDS)))
            await anyio.sleep(self._rng.uniform(0.0, 0.05))
        await self.aclose()

    async def ask(self, name: str) -> bool:
        """Ask one request; say whether it was served."""
        self._asked += 1
        request_id = f"{name}-{self._number}-{self._asked}"
        try:
            with anyio.fail_after(ANSWER_WITHIN_S):
                if self._caller is None:
                    host, port = self._rng.choice(self._addresses).split(":")
                    self._caller = Caller(await anyio.connect_tcp(host, int(port)))
                status, headers, body = await self._caller.ask(
                    f"/{name}/1".encode(), request_id=request_id.encode()
                )
        except (TargetLost, OSError, TimeoutError, anyio.BrokenResourceError):
            self._recorder.record_no_answer(request_id, name)
            await self.aclose()
            return False
        self._recorder.record_answer(request_id, name, status, headers, body)
        if headers.get(b"Connection") == b"close":
            await self.aclose()
        return status == 200

    async def aclose(self) -> None:
        """Close the connection, if there is one."""
        caller, self._caller = self._caller, None
        if caller is not None:
            await anyio.aclose_forcefully(caller.stream)
