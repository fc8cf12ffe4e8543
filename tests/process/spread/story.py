"""Stories about versions: steps carried out on a deployment, and the oracle beside them."""

import random
from collections import deque
from unittest.mock import patch

import anyio
from hypothesis import strategies as st

from guavawalk.process import sidecar_daemon
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import PlannedTarget, kestrel_lane_plan
from guavawalk.version.active import ActiveVersion
from guavawalk.version.build import stamp_of_root
from guavawalk.version.documents import ROOT_KEY
from tests.virtual import run_virtually

IN_FORCE_S = 5.0
CHECK_S = 0.25
SETTLE_S = 12.0

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["publish", "publish", "down", "up", "stale", "old", "fresh", "part", "heal"]
            + ["pause", "wake", "kill", "restart", "list"]
        ),
        st.integers(0, 100),
        st.sampled_from([0.1, 1.0, 3.0, 7.0]),
    ),
    min_size=3,
    max_size=12,
)


class Violation(AssertionError):
    """A promise about versions was broken."""


class SeededSecrets:
    """Incarnations that are the same in each run."""

    def __init__(self, seed):
        self.randbits = random.Random(seed).getrandbits


def wide_plan():
    plan = kestrel_lane_plan()
    engines = tuple(
        PlannedTarget(f"engine-{i}", plan.data_centres[i % 3], "gen-a", models=("quill",))
        for i in range(15)
    )
    return plan._replace(targets=engines)


class Oracle:
    """What each node must hold by now, worked out from what could reach it."""

    def __init__(self, fleet, taken):
        self.fleet = fleet
        self.taken = taken
        self.held = {}
        self.history = {}
        self.floor = {}
        self.half = {}

    def node_names(self):
        paused = self.fleet.fabric.paused
        return [name for name in self.fleet.processes if name not in paused]

    def holder(self, name):
        process = self.fleet.processes[name]
        return (process.sidecar or process.entry).active

    def component(self, name):
        side = self.half.get(name, 0)
        return [other for other in self.node_names() if self.half.get(other, 0) == side]

    def change_of_topology(self):
        self.history.clear()

    def service_version(self):
        found = self.fleet.books.read(ROOT_KEY)
        return 0 if self.fleet.books.down else stamp_of_root(found[0]).version

    def started(self, name):
        others = [self.holder(other).stamp.version for other in self.component(name)]
        self.held.pop(name, None)
        self.floor[name] = min(others, default=0)

    def check(self):
        now_s = anyio.current_time()
        service = self.service_version()
        for name in self.node_names():
            taken = self.taken.get(id(self.holder(name)), [])
            if taken != sorted(taken):
                raise Violation(f"{name} went back: {taken}")
            if taken and taken[0] < self.floor.get(name, 0):
                raise Violation(f"{name} began with {taken[0]}, older than all its peers")
            self.held[name] = taken[-1] if taken else 0
        for name in self.node_names():
            newest = max([service, *(self.held[other] for other in self.component(name))])
            history = self.history.setdefault(name, deque())
            history.append((now_s, newest))
            while len(history) > 1 and history[1][0] <= now_s - IN_FORCE_S:
                history.popleft()
            since_s, owed = history[0]
            if since_s <= now_s - IN_FORCE_S and self.held[name] < owed:
                raise Violation(f"{name} holds {self.held[name]}, {owed} is {IN_FORCE_S} s old")


class Storyteller:
    """Carries out the steps."""

    def __init__(self, fleet, oracle, tasks):
        self.fleet = fleet
        self.oracle = oracle
        self.tasks = tasks
        self.dead = []

    def pick(self, number):
        names = sorted(self.oracle.node_names())
        return names[number % len(names)]

    def do(self, kind, number):
        if kind in ("part", "heal", "pause", "wake", "kill", "restart"):
            self.oracle.change_of_topology()
        getattr(self, kind)(number)

    def publish(self, number):
        self.fleet.publish()

    def down(self, number):
        self.fleet.books.down = True

    def up(self, number):
        self.fleet.books.down = False

    def stale(self, number):
        self.fleet.books.set_stale(True)

    def old(self, number):
        self.fleet.books.show_first()

    def fresh(self, number):
        self.fleet.books.set_stale(False)

    def list(self, number):
        self.fleet.list_instances()

    def part(self, number):
        names = sorted(self.fleet.processes) + self.dead
        self.oracle.half = {name: (hash_of(name) >> number % 8) & 1 for name in names}
        for name in names:
            for other in names:
                if self.oracle.half[name] != self.oracle.half[other]:
                    self.fleet.fabric.cut(name, other)

    def heal(self, number):
        self.oracle.half = {}
        self.fleet.fabric.heal()

    def pause(self, number):
        if len(self.oracle.node_names()) > 4:
            self.fleet.fabric.pause(self.pick(number))

    def wake(self, number):
        for name in list(self.fleet.fabric.paused):
            self.fleet.fabric.wake(name)

    def kill(self, number):
        if len(self.oracle.node_names()) > 4:
            name = self.pick(number)
            self.fleet.kill(name)
            self.dead.append(name)

    def restart(self, number):
        if not self.dead:
            return
        name = self.dead.pop(number % len(self.dead))
        self.oracle.started(name)
        role, _, rest = name.partition("-")
        if role == "entry":
            self.tasks.start_soon(self.fleet.start_entry, rest)
        else:
            target = next(t for t in self.fleet.plan.targets if t.name == rest)
            self.tasks.start_soon(self.fleet.start_sidecar, target)


def hash_of(name):
    return sum(map(ord, name)) * 2654435761 >> 7


async def _tell(steps, taken):
    async with run_fleet(wide_plan()) as fleet:
        fleet.list_instances()
        oracle = Oracle(fleet, taken)
        async with anyio.create_task_group() as tasks:
            teller = Storyteller(fleet, oracle, tasks)
            await _watch(oracle, SETTLE_S)
            for kind, number, wait_s in steps:
                teller.do(kind, number)
                await _watch(oracle, wait_s)
            for kind in ("up", "fresh", "heal", "wake", "publish"):
                teller.do(kind, 0)
            await _watch(oracle, SETTLE_S)
            last = {oracle.holder(name).stamp.version for name in oracle.node_names()}
            reads = fleet.books.reads
            tasks.cancel_scope.cancel()
        return last, fleet.version, reads


async def _watch(oracle, for_s):
    until_s = anyio.current_time() + for_s
    while anyio.current_time() < until_s:
        oracle.check()
        await anyio.sleep(CHECK_S)


def tell(steps, seed=1):
    """Tell a story; return the versions held at its end, the newest published, and the reads."""
    taken = {}
    holders = []
    put = ActiveVersion._set_active

    def record_taken(active, documents, built):
        holders.append(active)
        taken.setdefault(id(active), []).append(documents.stamp.version)
        put(active, documents, built)

    random.seed(seed)
    with (
        patch.object(sidecar_daemon, "secrets", SeededSecrets(seed)),
        patch.object(ActiveVersion, "_set_active", record_taken),
    ):
        return run_virtually(_tell, steps, taken, seed=seed)
