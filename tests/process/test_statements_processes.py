"""Gateway processes that are killed and frozen leave targets alone that leave or want quiet."""

import random
import signal
from collections import Counter

import anyio
import pytest

from guavawalk.exception import TargetLost
from soak.fleet import create_fleet
from soak.standins import Caller, StandInStore, listen
from soak.workload import configuration
from tests.connection.tasks.test_statements_at_gateways import Target, vary

SECONDS = 8.0
PATH = b"/question/1"


class ExcusingTarget(Target):
    """A target that excuses what a gateway sends late since it was frozen."""

    drain_s = 2.0

    def __init__(self, rng, number, broken, names):
        super().__init__(rng, number, broken)
        self.names = names

    def check(self, gateway):
        if gateway in self.names:
            super().check(gateway)


class ProcessPlay:
    """Gateway processes, a store, and targets that leave and want quiet at random times."""

    def __init__(self, tasks, folder, seed):
        self.tasks = tasks
        self.folder = folder
        self.rng = random.Random(seed)
        self.store = StandInStore()
        self.broken = []
        self.statuses = Counter()
        # Names of the present starts of the gateways, which requests carry to the targets.
        self.names = ["a", "b", "c"]
        self.targets = [
            ExcusingTarget(self.rng, number, self.broken, self.names) for number in range(6)
        ]
        self.gateways = []

    async def start(self):
        listener, address = await listen(self.store.serve)
        self.tasks.start_soon(listener.serve, self.store.serve)
        self.store.put("op/config", configuration(5))
        for target in self.targets:
            listener, target.address = await listen(target.serve)
            self.tasks.start_soon(listener.serve, target.serve)
            self.register(target.registration())
        self.gateways = create_fleet(self.folder, [address] * len(self.names))
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

    async def disturb(self):
        """Kill or freeze a gateway now and then; what it was told before is excused then."""
        while True:
            await anyio.sleep(self.rng.uniform(0.6, 1.5))
            number = self.rng.randrange(len(self.gateways))
            gateway = self.gateways[number]
            if self.rng.random() < 0.5:
                gateway.kill()
                gateway.start()
                with anyio.move_on_after(5):
                    while not await gateway.is_ready():
                        await anyio.sleep(0.05)
            else:
                gateway.send_signal(signal.SIGSTOP)
                await anyio.sleep(self.rng.uniform(0.2, 1.0))
                gateway.send_signal(signal.SIGCONT)
            self.names[number] += "'"

    async def ask(self, caller):
        own, number = random.Random(caller), 0
        while True:
            number += 1
            at = own.randrange(len(self.gateways))
            host, port = self.gateways[at].address.split(":")
            request_id = b"s%d-%d" % (caller, number)
            headers = ((b"X-Gateway", self.names[at].encode()),)
            try:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    with anyio.fail_after(3):
                        answer = await Caller(stream).ask(PATH, request_id, headers, request_id)
                self.statuses[answer[0]] += 1
            except (
                TargetLost,
                TimeoutError,
                OSError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
            ):
                self.statuses[None] += 1
            await anyio.sleep(own.uniform(0.0, 0.05))


class TestRandomPlays:
    @pytest.mark.parametrize("seed", (1, 2))
    def test_targets_that_leave_or_want_quiet_are_left_alone(self, tmp_path, seed):
        async def run():
            async with anyio.create_task_group() as tasks:
                play = ProcessPlay(tasks, tmp_path, seed)
                try:
                    await play.start()
                    with anyio.move_on_after(SECONDS):
                        async with anyio.create_task_group() as load:
                            load.start_soon(vary, play, play.targets, play.rng)
                            load.start_soon(play.disturb)
                            for caller in range(8):
                                load.start_soon(play.ask, caller)
                finally:
                    for gateway in play.gateways:
                        gateway.kill()
                tasks.cancel_scope.cancel()
            return play

        play = anyio.run(run)
        assert play.broken == []
        assert play.statuses[200] > 50 and set(play.statuses) <= {200, 502, 503, None}
