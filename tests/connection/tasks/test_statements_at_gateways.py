"""Random plays: no gateway sends on to targets that leave or want quiet."""

import random
from collections import Counter

import anyio
import pytest

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from soak.standins import CHUNKED, StandInTarget, event, listen, signed_headers
from tests.crash_fleet import running_fleet
from tests.gateway_calls import make_registration
from tests.gateway_standins import run_with_timeout

SECONDS = 5.0
# Time for which a target that leaves may still get requests, and time after a target has asked for
# quiet in which requests may still arrive there, in seconds; and the number of later ones.
DRAIN_S = 0.5
QUIET_FROM_S = 0.5
MAX_IN_QUIET = 2


class Target(StandInTarget):
    """A target that leaves or wants quiet at random times, and checks who sends to it."""

    drain_s = DRAIN_S

    def __init__(self, rng, number, broken):
        super().__init__(self.run)
        self.rng = rng
        self.number = number
        self.starts = 1
        self.is_leaving = self.is_busy = False
        self.broken = broken
        # By gateway: when it was first told that this start leaves, and its times of quiet.
        self.left_s = {}
        self.quiet_s = {}
        self.in_quiet = Counter()

    def registration(self):
        return make_registration(
            f"i-{self.number}", "model", self.address, slots=8, started_at_ms=self.starts
        )

    def check(self, gateway):
        now_s = anyio.current_time()
        if now_s - self.left_s.get(gateway, now_s) > self.drain_s:
            self.broken.append(f"{gateway} sends to {self.number}, which left")
        from_s, until_s = self.quiet_s.get(gateway, (0.0, 0.0))
        if from_s < now_s < until_s:
            self.in_quiet[gateway, until_s] += 1
            if self.in_quiet[gateway, until_s] > MAX_IN_QUIET:
                self.broken.append(f"{gateway} sends to {self.number}, which wants quiet")

    async def run(self, target, stream, request):
        headers = dict(request.headers)
        gateway = headers[b"X-Gateway"].decode()
        self.check(gateway)
        leaving = ((b"Server-Leaving", b"1"),) if self.is_leaving else ()
        if self.is_leaving:
            self.left_s.setdefault(gateway, anyio.current_time())
        if self.is_busy:
            seconds = round(self.rng.uniform(0.2, 1.5), 2)
            now_s = anyio.current_time()
            known_until_s = self.quiet_s.get(gateway, (0.0, 0.0))[1]
            if now_s + seconds > known_until_s:
                self.quiet_s[gateway] = (now_s + QUIET_FROM_S, now_s + seconds)
            refusal = (b"Not-Executed", b"1"), (b"Retry-After", b"%.2f" % seconds), *leaving
            await stream.send(encode_response(503, (*signed_headers(request)[:1], *refusal)))
            return
        await anyio.sleep(self.rng.uniform(0.01, 0.2))
        head = encode_response_head(200, signed_headers(request, *leaving), CHUNKED)
        await stream.send(head + encode_chunk(event(1)) + LAST_CHUNK)

    def start_again(self):
        self.starts += 1
        self.is_leaving = False
        self.left_s, self.quiet_s = {}, {}


async def vary(fleet, targets, rng):
    while True:
        await anyio.sleep(rng.uniform(0.1, 0.5))
        target = rng.choice(targets)
        if target.is_leaving:
            target.start_again()
            fleet.register(target.registration())
        elif rng.random() < 0.4:
            target.is_leaving = True
            if rng.random() < 0.3:
                # The entry is removed, and an old one comes once more.
                fleet.unregister(f"i-{target.number}")
                fleet.register(target.registration())
        else:
            target.is_busy = True
            await anyio.sleep(rng.uniform(0.05, 0.3))
            target.is_busy = False


async def replace(fleet, rng, names):
    while True:
        await anyio.sleep(rng.uniform(0.8, 2.0))
        number = rng.randrange(len(fleet.gateways))
        names[number] += "'"
        await fleet.replace_gateway(number)


class TestRandomPlays:
    @pytest.mark.parametrize("seed", range(4))
    def test_targets_that_leave_or_want_quiet_are_left_alone(self, seed):
        broken, statuses = [], Counter()

        async def run():
            rng = random.Random(seed)
            async with running_fleet(gateways=3, targets=0) as fleet:
                targets = [Target(rng, number, broken) for number in range(6)]
                for target in targets:
                    listener, target.address = await listen(target.serve)
                    fleet.tasks.start_soon(listener.serve, target.serve)
                    fleet.register(target.registration())
                names = ["a", "b", "c"]
                fleet.tasks.start_soon(vary, fleet, targets, rng)
                fleet.tasks.start_soon(replace, fleet, rng, names)

                async def ask(caller):
                    own = random.Random(f"{seed}/{caller}")
                    number = 0
                    while True:
                        number += 1
                        gateway = own.randrange(3)
                        request_id = b"s%d-%d" % (caller, number)
                        header = (b"X-Gateway", names[gateway].encode())
                        status = await fleet.ask(gateway, request_id, request_id, (header,))
                        statuses[status] += 1
                        await anyio.sleep(own.uniform(0.0, 0.05))

                with anyio.move_on_after(SECONDS):
                    async with anyio.create_task_group() as callers:
                        for caller in range(12):
                            callers.start_soon(ask, caller)

        run_with_timeout(run)
        assert broken == []
        assert statuses[200] > 50 and set(statuses) <= {200, 502, 503, None}
