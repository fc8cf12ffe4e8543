"""Gateway processes that are killed and stopped while one request ends the targets that run it."""

import json
import random
import signal
from collections import defaultdict

import anyio
import pytest

from guavawalk.exception import TargetLost
from soak.fleet import create_fleet
from soak.standins import Caller, StandInStore, listen
from soak.workload import configuration
from tests.connection.tasks.test_crashing_parts import late_runs
from tests.connection.tasks.test_crashing_requests import (
    CONTACT_S,
    MAX_LATE_RUNS,
    RARELY_S,
    TOLERATED_ENDS,
)
from tests.crash_fleet import BAD_BODY, BAD_PART, CrashingTarget

PATH = b"/question/1"
TARGETS = 8
SECONDS = 9.0


class ProcessFleet:
    """Gateway processes, a store, and targets that a bad request ends."""

    def __init__(self, tasks, folder, has_new_ids):
        self.tasks = tasks
        self.folder = folder
        self.has_new_ids = has_new_ids
        self.lapse_s, self.down_s = 0.6, 1.2
        self.store = StandInStore()
        self.targets = []
        self.gateways = []
        self.bad_parts = set()
        self.part_runs_s = defaultdict(list)
        self.served = 0

    async def start(self, gateways):
        listener, address = await listen(self.store.serve)
        self.tasks.start_soon(listener.serve, self.store.serve)
        self.store.put("op/config", configuration(5))
        for number in range(TARGETS):
            self.targets.append(CrashingTarget(self, number))
            await self.targets[-1].start()
        self.gateways = create_fleet(self.folder, [address] * gateways)
        for gateway in self.gateways:
            gateway.start()
        with anyio.fail_after(20):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await anyio.sleep(0.05)

    def register(self, registration):
        entry = {
            "service": registration.service,
            "address": registration.address,
            "zone": "a",
            "capacity": registration.slots,
            "state": "ready",
            "sequence": 1,
            "born": registration.started_at_ms,
        }
        self.store.put(f"servers/{registration.target_id}", entry)

    def unregister(self, target_id):
        self.store.remove(f"servers/{target_id}")

    async def ask(self, rng, body, request_id, headers=()):
        host, port = rng.choice(self.gateways).address.split(":")
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                with anyio.fail_after(4):
                    status, _, _ = await Caller(stream).ask(PATH, body, headers, request_id)
                self.served += status == 200
        except (TargetLost, TimeoutError, OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            return

    async def send(self, rng, name, body, every_s):
        number = 0
        while True:
            number += 1
            await self.ask(rng, body or b"sound %s %d" % (name, number), b"%s-%d" % (name, number))
            await anyio.sleep(every_s * rng.uniform(0.5, 1.5))

    async def send_with_part(self, rng, part, seconds):
        """Send requests that have one part of their prompts in common, or none if it is empty."""
        until_s = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until_s:
            number += 1
            name = b"%s%d" % (part or b"sound%d-" % rng.randrange(1000), number)
            parts = b",".join(b"%s:9" % one for one in (b"first", part, name) if one)
            headers = ((b"Prompt-Prefix", parts),)
            self.tasks.start_soon(self.ask, rng, name, name, headers)
            await anyio.sleep((RARELY_S if part else 0.1) * rng.uniform(0.5, 1.5))

    async def freeze_in_turn(self, rng):
        while True:
            for gateway in self.gateways:
                await anyio.sleep(0.6)
                gateway.send_signal(signal.SIGSTOP)
                await anyio.sleep(1.2)
                gateway.send_signal(signal.SIGCONT)

    async def restart_in_turn(self, rng):
        while True:
            for gateway in self.gateways:
                await anyio.sleep(1.5)
                gateway.kill()
                gateway.start()

    def refused_sound(self):
        """Return the log lines by which sound requests were refused as ones that end targets."""
        lines = "".join(path.read_text() for path in self.folder.glob("*.log")).splitlines()
        found = [json.loads(line) for line in lines if '"CRASH_SUSPECT"' in line]
        return [line for line in found if line["trace_id"].startswith("sound")]


class TestRequestThatEndsItsTargets:
    @pytest.mark.parametrize("has_new_ids", (True, False))
    def test_is_not_sent_on_by_processes_that_are_killed_in_turn(self, tmp_path, has_new_ids):
        async def run():
            rng = random.Random(1)
            async with anyio.create_task_group() as tasks:
                fleet = ProcessFleet(tasks, tmp_path, has_new_ids)
                try:
                    await fleet.start(gateways=3)
                    with anyio.move_on_after(SECONDS):
                        async with anyio.create_task_group() as load:
                            load.start_soon(fleet.restart_in_turn, rng)
                            for caller in range(8):
                                name = b"sound%d" % caller
                                load.start_soon(fleet.send, random.Random(caller), name, None, 0.02)
                            await fleet.send(rng, b"bad", BAD_BODY, RARELY_S)
                finally:
                    for gateway in fleet.gateways:
                        gateway.kill()
                tasks.cancel_scope.cancel()
            return fleet

        fleet = anyio.run(run)
        runs_s = sorted(at_s for target in fleet.targets for at_s in target.bad_runs_s)
        assert len(runs_s) >= 2 and fleet.served > 20
        if len(runs_s) > TOLERATED_ENDS:
            known_s = runs_s[TOLERATED_ENDS - 1] + CONTACT_S
            late_runs = sum(run_s > known_s for run_s in runs_s)
            assert late_runs <= MAX_LATE_RUNS, f"{late_runs} of {len(runs_s)} runs came late"
        assert fleet.refused_sound() == []


class TestPartThatEndsItsTargets:
    @pytest.mark.parametrize("disturbance", ("restart_in_turn", "freeze_in_turn"))
    def test_is_not_sent_on_by_processes_that_are_disturbed_in_turn(self, tmp_path, disturbance):
        async def run():
            rng = random.Random(2)
            async with anyio.create_task_group() as tasks:
                fleet = ProcessFleet(tasks, tmp_path, has_new_ids=True)
                fleet.bad_parts = {BAD_PART}
                try:
                    await fleet.start(gateways=3)
                    with anyio.move_on_after(SECONDS + 3.0):
                        async with anyio.create_task_group() as load:
                            load.start_soon(getattr(fleet, disturbance), rng)
                            load.start_soon(fleet.send_with_part, random.Random(3), b"", SECONDS)
                            await fleet.send_with_part(rng, BAD_PART, SECONDS)
                finally:
                    for gateway in fleet.gateways:
                        gateway.kill()
                tasks.cancel_scope.cancel()
            return fleet

        fleet = anyio.run(run)
        runs_s = sorted(fleet.part_runs_s[BAD_PART])
        assert len(runs_s) >= 2 and fleet.served > 20
        assert late_runs(runs_s) <= MAX_LATE_RUNS, f"{late_runs(runs_s)} of {len(runs_s)}"
        assert fleet.refused_sound() == []
