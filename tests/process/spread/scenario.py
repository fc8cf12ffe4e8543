"""Runs scenarios for the spread of versions: steps on a deployment, checked at each node."""

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

# Time within which a node must activate a version that the service or a node within its reach has.
ACTIVATION_LIMIT_S = 5.0
CHECK_INTERVAL_S = 0.25
# Time without faults before the first step and after the last one.
SETTLE_S = 12.0

# Each step: a method of `StepRunner`, its argument, and the seconds to wait afterwards.
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
    """A guarantee about versions was violated."""


class SeededSecrets:
    """Stand-in for `secrets` that gives the same incarnations in each run."""

    def __init__(self, seed):
        self.randbits = random.Random(seed).getrandbits


def plan_with_15_engines():
    plan = kestrel_lane_plan()
    engines = tuple(
        PlannedTarget(f"engine-{i}", plan.data_centres[i % 3], "gen-a", models=("quill",))
        for i in range(15)
    )
    return plan._replace(targets=engines)


class Oracle:
    """Checks the version of each node against the versions that could have reached it.

    Attributes
    ----------
    activated : dict of int to list of int
        Versions in the order of their activation, by the id of the node's `ActiveVersion`.
    versions : dict of str to int
        Version in force at each node; 0 if there is none.
    newest_history : dict of str to deque
        Pairs of a time and the newest version within the node's reach at that time, oldest first.
        Cleared when the topology changes; of those older than `ACTIVATION_LIMIT_S` only the last
        is kept.
    min_versions : dict of str to int
        Lowest version that a restarted node may activate first: the lowest that a reachable node
        had at the restart, or 0 if none was reachable.
    sides : dict of str to int
        Side (0 or 1) of the network partition on which a node is; a node without an entry is on
        side 0.
    """

    def __init__(self, fleet, activated):
        self.fleet = fleet
        self.activated = activated
        self.versions = {}
        self.newest_history = {}
        self.min_versions = {}
        self.sides = {}

    def node_names(self):
        paused = self.fleet.fabric.paused
        return [name for name in self.fleet.processes if name not in paused]

    def active_version(self, name):
        process = self.fleet.processes[name]
        return (process.sidecar or process.entry).active

    def reachable_names(self, name):
        side = self.sides.get(name, 0)
        return [other for other in self.node_names() if self.sides.get(other, 0) == side]

    def reset_history(self):
        self.newest_history.clear()

    def service_version(self):
        found = self.fleet.platform.read(ROOT_KEY)
        platform = self.fleet.platform
        is_away = platform.down or platform.loses_answers
        return 0 if is_away else stamp_of_root(found[0]).version

    def record_restart(self, name):
        others = [self.active_version(other).stamp.version for other in self.reachable_names(name)]
        self.versions.pop(name, None)
        self.min_versions[name] = min(others, default=0)

    def check(self):
        now_s = anyio.current_time()
        service = self.service_version()
        for name in self.node_names():
            activated = self.activated.get(id(self.active_version(name)), [])
            if activated != sorted(activated):
                raise Violation(f"{name} returned to an older version: {activated}")
            if activated and activated[0] < self.min_versions.get(name, 0):
                raise Violation(f"{name} started with {activated[0]}, older than all its peers")
            self.versions[name] = activated[-1] if activated else 0
        for name in self.node_names():
            newest = max([service, *(self.versions[other] for other in self.reachable_names(name))])
            history = self.newest_history.setdefault(name, deque())
            history.append((now_s, newest))
            while len(history) > 1 and history[1][0] <= now_s - ACTIVATION_LIMIT_S:
                history.popleft()
            since_s, expected = history[0]
            if since_s <= now_s - ACTIVATION_LIMIT_S and self.versions[name] < expected:
                raise Violation(
                    f"{name} has version {self.versions[name]}, "
                    f"but {expected} has been within reach for {ACTIVATION_LIMIT_S} s"
                )


class StepRunner:
    """Runs the steps of a scenario on a deployment.

    Notes
    -----
    The configuration service serves its present values (`fresh`), those at the time of the step
    (`stale`) or the first ones (`old`), or it doesn't answer (`down`), or its answers are lost
    (`lose`), until `up`. `part` cuts the network in two until `heal`. `list` publishes the list of
    running instances.
    """

    def __init__(self, fleet, oracle, tasks):
        self.fleet = fleet
        self.oracle = oracle
        self.tasks = tasks
        self.stopped = []

    def pick_node(self, number):
        names = sorted(self.oracle.node_names())
        return names[number % len(names)]

    def run(self, kind, number):
        if kind in ("part", "heal", "pause", "wake", "kill", "restart"):
            self.oracle.reset_history()
        getattr(self, kind)(number)

    def publish(self, number):
        """Publish the next version."""
        self.fleet.publish()

    def down(self, number):
        """Make the configuration service unreachable."""
        self.fleet.platform.down = True

    def up(self, number):
        """Make the configuration service reachable."""
        self.fleet.platform.down = self.fleet.platform.loses_answers = False

    def lose(self, number):
        """Lose the answers of the configuration service."""
        self.fleet.platform.loses_answers = True

    def stale(self, number):
        """Freeze the answers of the service at its present values."""
        self.fleet.platform.set_stale(True)

    def old(self, number):
        """Make the service answer with the first published values."""
        self.fleet.platform.serve_initial_values()

    def fresh(self, number):
        """Make the service answer with its newest values."""
        self.fleet.platform.set_stale(False)

    def list(self, number):
        """Add all running processes to the list of instances."""
        self.fleet.publish_instances()

    def part(self, number):
        """Partition the network into two sides."""
        names = sorted(self.fleet.processes) + self.stopped
        self.oracle.sides = {name: (hash_of(name) >> number % 8) & 1 for name in names}
        for name in names:
            for other in names:
                if self.oracle.sides[name] != self.oracle.sides[other]:
                    self.fleet.fabric.cut(name, other)

    def heal(self, number):
        """End the network partition."""
        self.oracle.sides = {}
        self.fleet.fabric.heal()

    def pause(self, number):
        """Pause a node, if more than four are running."""
        if len(self.oracle.node_names()) > 4:
            self.fleet.fabric.pause(self.pick_node(number))

    def wake(self, number):
        """Resume all paused nodes."""
        for name in list(self.fleet.fabric.paused):
            self.fleet.fabric.resume(name)

    def kill(self, number):
        """Kill a node, if more than four are running."""
        if len(self.oracle.node_names()) > 4:
            name = self.pick_node(number)
            self.fleet.kill(name)
            self.stopped.append(name)

    def restart(self, number):
        """Restart a killed node, if there is one."""
        if not self.stopped:
            return
        name = self.stopped.pop(number % len(self.stopped))
        self.oracle.record_restart(name)
        role, _, rest = name.partition("-")
        if role == "entry":
            self.tasks.start_soon(self.fleet.start_entry, rest)
        else:
            target = next(t for t in self.fleet.plan.targets if t.name == rest)
            self.tasks.start_soon(self.fleet.start_sidecar, target)


def hash_of(name):
    return sum(map(ord, name)) * 2654435761 >> 7


async def _run_steps(steps, activated):
    async with run_fleet(plan_with_15_engines()) as fleet:
        fleet.publish_instances()
        oracle = Oracle(fleet, activated)
        async with anyio.create_task_group() as tasks:
            runner = StepRunner(fleet, oracle, tasks)
            await _check_for(oracle, SETTLE_S)
            for kind, number, wait_s in steps:
                runner.run(kind, number)
                await _check_for(oracle, wait_s)
            for kind in ("up", "fresh", "heal", "wake", "publish"):
                runner.run(kind, 0)
            await _check_for(oracle, SETTLE_S)
            last = {oracle.active_version(name).stamp.version for name in oracle.node_names()}
            reads = fleet.platform.reads
            tasks.cancel_scope.cancel()
        return last, fleet.version, reads


async def _check_for(oracle, for_s):
    until_s = anyio.current_time() + for_s
    while anyio.current_time() < until_s:
        oracle.check()
        await anyio.sleep(CHECK_INTERVAL_S)


def run_scenario(steps, seed=1):
    """Run a scenario; return the final versions, the newest published version and the reads."""
    activated = {}
    # Keeps the `ActiveVersion` objects alive, so that none of the ids in `activated` is reused.
    actives = []
    put = ActiveVersion._set_active

    def record_activation(active, documents, built):
        actives.append(active)
        activated.setdefault(id(active), []).append(documents.stamp.version)
        put(active, documents, built)

    random.seed(seed)
    with (
        patch.object(sidecar_daemon, "secrets", SeededSecrets(seed)),
        patch.object(ActiveVersion, "_set_active", record_activation),
    ):
        return run_virtually(_run_steps, steps, activated, seed=seed)
