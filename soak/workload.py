"""Configuration, targets and callers of the soak, and the guarantees checked on each request."""

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
    event,
    signed_headers,
)

__all__ = [
    "ROUTES",
    "LoadClient",
    "OutcomeRecorder",
    "configuration",
    "create_target",
    "registration",
]

# By name of the route: its kind, whether it is resumable, and its service.
ROUTES = {
    "unsafe": ("unsafe", False, "desk"),
    "safe": ("safe", False, "desk"),
    "plan": ("streaming", False, "model"),
    "question": ("streaming", True, "model"),
}
EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.02
RUN_TIME_S = 0.03
# What a busy target does: the shares of requests that it rejects as full and that it runs with a
# pause, and the length of the pause, in seconds. It is longer than the gateways' silence limits.
BUSY_REJECTED_SHARE = 0.4
BUSY_PAUSED_SHARE = 0.4
BUSY_PAUSE_S = 1.1
# Share of the rejections of a busy target that ask for quiet, and for how long, in seconds.
BUSY_QUIET_SHARE = 0.3
BUSY_QUIET = b"0.2"
ANSWER_TIMEOUT_S = 6.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def configuration(version: int) -> dict:
    """Return a configuration document with all routes."""
    routes = [
        {
            "name": route,
            "hostname": HOST,
            "prefix": f"/{route}/",
            "routeType": kind,
            "resumable": resumable,
            "service": service,
            "timeoutMs": 4000,
            "latencyGoalMs": 500,
            "maxAttempts": 2,
        }
        for route, (kind, resumable, service) in ROUTES.items()
    ]
    engine = {"capacity": 6, "kvCapacity": 100_000, "kvTokenBytes": 1}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk"}, {"name": "model", "engine": engine}],
        "tenants": [{"name": "w", "apiKeys": ["k1"]}],
    }


def registration(service: str, address: str, state: str = "ready", starts: int = 1) -> dict:
    """Return the registration document of a target that has started `starts` times."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "capacity": 6,
        "state": state,
        "sequence": 1,
        "born": 1_000_000 + starts,
    }


class OutcomeRecorder:
    """Records what targets ran and callers received, and the guarantees that were broken.

    Attributes
    ----------
    runs : Counter
        Number of runs by request id.
    refused : set of str
        Ids of requests whose status says that they did not run.
    lost : set of str
        Ids of requests without a complete answer.
    outcomes : Counter
        Number of requests by route and status, or by route and `lost`.
    broken : list of str
        Broken guarantees.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.broken: list[str] = []

    def record_run(self, request_id: str, path: str, resumed: bool) -> None:
        """Record the start of a run at a target; check that it may be a repeat or resumption."""
        self.runs[request_id] += 1
        route = path.split("/")[1]
        if self.runs[request_id] > 1 and not may_repeat(route):
            self.broken.append(f"{request_id} ({route}) ran {self.runs[request_id]} times")
        if resumed and not ROUTES[route][1]:
            self.broken.append(f"{request_id} ({route}) was resumed")

    def record_answer(self, request_id: str, route: str, status: int, headers, body: bytes) -> None:
        """Record and check a complete answer."""
        self.outcomes[f"{route} {status}"] += 1
        if status == 200:
            expected = expected_body(request_id, route)
            if body != expected or b"Server-Stamp" not in headers:
                self.broken.append(
                    f"{request_id} ({route}) received a wrong 200 answer: {body[:80]!r}"
                )
        elif status in NOT_RUN_STATUSES:
            self.refused.add(request_id)
        elif status in (401, 403, 404):
            self.broken.append(f"{request_id} ({route}) was rejected with {status}")

    def record_no_answer(self, request_id: str, route: str) -> None:
        """Record a connection that ended or timed out without a complete answer."""
        self.outcomes[f"{route} lost"] += 1
        self.lost.add(request_id)

    def close(self, planned_only: bool) -> list[str]:
        """Check the guarantees on the whole scenario; return all broken guarantees.

        Parameters
        ----------
        planned_only : bool
            Whether the scenario did only planned work, which must interrupt no request that ran.
        """
        if planned_only:
            interrupted = [request_id for request_id in sorted(self.lost) if self.runs[request_id]]
            self.broken += [
                f"{request_id} was interrupted by planned work" for request_id in interrupted
            ]
        ran = [request_id for request_id in self.refused if self.runs[request_id]]
        return self.broken + [
            f"{request_id} ran, but its caller was told that it did not"
            for request_id in ran
            if not may_repeat(request_id.split("-")[0])
        ]


def may_repeat(route: str) -> bool:
    """Return whether a request of a route may run more than once."""
    kind, resumable, _ = ROUTES[route]
    return kind == "safe" or resumable


def expected_body(request_id: str, route: str) -> bytes:
    """Return the body of the complete answer to a request."""
    if ROUTES[route][0] == "streaming":
        return b"".join(map(event, range(1, EVENT_COUNT + 1)))
    return b"answer to " + request_id.encode()


def create_target(target_id: str, recorder: OutcomeRecorder, rng: random.Random) -> StandInTarget:
    """Create a target that runs the requests addressed to it, and rejects others with 421.

    Its `shed_share` is the share of requests that it rejects as not run. Its `fail_share` is the
    share of runs that end without an answer; a stream may also be closed after each event, with
    probability `fail_share / EVENT_COUNT`. Both shares are 0 at first. While it `is_busy`, it
    rejects some requests as full, some of these with a time in which it wants quiet, and pauses in
    some runs before the answer or within a stream. While it `is_leaving`, its answers say so.
    """

    async def run(target, stream, request):
        headers = dict(request.headers)
        if headers[b"Expect-Instance"] != target_id.encode():
            await stream.send(encode_response(421, ((b"Instance-Id", target_id.encode()),)))
            return
        rejected_share = BUSY_REJECTED_SHARE if target.is_busy else 0.0
        if rng.random() < max(target.shed_share, rejected_share):
            quiet = ((b"Retry-After", BUSY_QUIET),) if rng.random() < BUSY_QUIET_SHARE else ()
            await stream.send(encode_response(503, ((b"Not-Executed", b"1"), *quiet)))
            return
        leaving = ((b"Server-Leaving", b"1"),) if target.is_leaving else ()
        request_id = headers[b"Request-Id"].decode()
        last = int(headers.get(b"Last-Event-Id", b"0"))
        recorder.record_run(request_id, request.target.decode(), bool(last))
        if headers.get(b"Tenant") != b"w" or b"Authorization" in headers:
            recorder.broken.append(
                f"{request_id} reached a target with a wrong workspace or with its key"
            )
        route = request.target.decode().split("/")[1]
        pause_before = None
        if target.is_busy and rng.random() < BUSY_PAUSED_SHARE:
            pause_before = rng.randint(0, EVENT_COUNT)
        await anyio.sleep(RUN_TIME_S)
        if pause_before == 0 or (pause_before and ROUTES[route][0] != "streaming"):
            await anyio.sleep(BUSY_PAUSE_S)
        if rng.random() < target.fail_share:
            raise EndConnection
        if ROUTES[route][0] != "streaming":
            await stream.send(
                encode_response(
                    200, signed_headers(request, *leaving), expected_body(request_id, route)
                )
            )
            return
        await stream.send(encode_response_head(200, signed_headers(request, *leaving), CHUNKED))
        for number in range(last + 1, EVENT_COUNT + 1):
            if number == pause_before:
                await anyio.sleep(BUSY_PAUSE_S)
            await stream.send(encode_chunk(event(number)))
            await anyio.sleep(EVENT_INTERVAL_S)
            if rng.random() < target.fail_share / EVENT_COUNT:
                raise EndConnection
        await stream.send(LAST_CHUNK)

    target = StandInTarget(run)
    target.shed_share = target.fail_share = 0.0
    target.is_busy = target.is_leaving = False
    return target


class LoadClient:
    """A caller that sends one request after the other and reuses its connection."""

    def __init__(
        self, number: int, recorder: OutcomeRecorder, rng: random.Random, addresses
    ) -> None:
        self._number = number
        self._recorder = recorder
        self._rng = rng
        self._addresses = addresses
        self._caller: Caller | None = None
        self._sent_count = 0

    async def send_requests_until(self, stop: anyio.Event) -> None:
        """Send requests on random routes until `stop` is set, then close the connection."""
        while not stop.is_set():
            await self.send_request(self._rng.choice(list(ROUTES)))
            await anyio.sleep(self._rng.uniform(0.0, 0.05))
        await self.aclose()

    async def send_request(self, route: str) -> bool:
        """Send one request and record its outcome; return whether it was answered with 200."""
        self._sent_count += 1
        request_id = f"{route}-{self._number}-{self._sent_count}"
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                if self._caller is None:
                    host, port = self._rng.choice(self._addresses).split(":")
                    self._caller = Caller(await anyio.connect_tcp(host, int(port)))
                status, headers, body = await self._caller.ask(
                    f"/{route}/1".encode(), request_id=request_id.encode()
                )
        except (TargetLost, OSError, TimeoutError, anyio.BrokenResourceError):
            self._recorder.record_no_answer(request_id, route)
            await self.aclose()
            return False
        self._recorder.record_answer(request_id, route, status, headers, body)
        if headers.get(b"Connection") == b"close":
            await self.aclose()
        return status == 200

    async def aclose(self) -> None:
        """Close the connection; no effect if there is none."""
        caller, self._caller = self._caller, None
        if caller is not None:
            await anyio.aclose_forcefully(caller.stream)
