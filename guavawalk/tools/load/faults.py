"""Injects the faults of a load plan into a deployment in memory."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from guavawalk.exception import SettingsError
from guavawalk.process.sidecar.admission import start_leaving
from guavawalk.tools.fleet import Fleet
from guavawalk.tools.load.plan_file import Fault, LoadPlan
from guavawalk.tools.plan import PlannedTarget

__all__ = ["CRASH_TEXT", "RequestSender", "check_faults", "inject_faults"]

# Prompt of the crashing request; during that fault, engines crash on prompts that contain it.
CRASH_TEXT = "crash the engine"
# Interval at which crashed engines are restarted during the fault crashing_request.
ENGINE_RESTART_S = 1.0
# Interval of checks whether a leaving target has drained.
DRAIN_CHECK_S = 0.1


class RequestSender(Protocol):
    """The part of the load driver that faults use."""

    async def kill_entry(self, centre: str) -> None:
        """Kill an entry and cancel the requests in progress there."""
        ...

    async def send_crashing(self, times: int, every_s: float) -> None:
        """Send a crashing request `times` times, `every_s` apart."""
        ...


Injector = Callable[[Fleet, RequestSender, Fault], Awaitable[None]]


async def inject_faults(fleet: Fleet, sender: RequestSender, plan: LoadPlan) -> None:
    """Inject all faults of a plan at their times; return when the last has ended."""
    start_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for fault in plan.faults:
            tasks.start_soon(_inject_at, fleet, sender, fault, start_s + fault.at_s)


async def _inject_at(fleet: Fleet, sender: RequestSender, fault: Fault, at_s: float) -> None:
    await anyio.sleep_until(at_s)
    await _INJECTORS[fault.kind](fleet, sender, fault)


async def _engine_slow(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    faults = fleet.engines[fault.where].faults
    faults.slow_factor = fault.factor
    await anyio.sleep(fault.for_s)
    faults.slow_factor = 1.0


async def _engine_crash(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    fleet.engines[fault.where].crash()
    await anyio.sleep(fault.for_s)
    fleet.engines[fault.where].restart()


async def _sidecar_kill(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    fleet.kill(f"sidecar-{fault.where}")
    await anyio.sleep(fault.for_s)
    await fleet.start_sidecar(_planned_target(fleet, fault.where))


async def _entry_kill(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    await sender.kill_entry(fault.where)
    await anyio.sleep(fault.for_s)
    await fleet.start_entry(fault.where)


async def _pause(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    fleet.fabric.pause(fault.where)
    await anyio.sleep(fault.for_s)
    fleet.fabric.resume(fault.where)


async def _data_centre_lost(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    targets = [target for target in fleet.plan.targets if target.data_centre == fault.where]
    if fault.where in fleet.plan.entries:
        await sender.kill_entry(fault.where)
    for target in targets:
        fleet.kill(f"sidecar-{target.name}")
        if target.name in fleet.engines:
            fleet.engines[target.name].crash()
    await anyio.sleep(fault.for_s)
    for target in targets:
        if target.name in fleet.engines:
            fleet.engines[target.name].restart()
        await fleet.start_sidecar(target)
    if fault.where in fleet.plan.entries:
        await fleet.start_entry(fault.where)


async def _partition(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    inside = _nodes_in(fleet, fault.where)
    outside = [node for node in fleet.processes if node not in inside]
    for a in inside:
        for b in outside:
            fleet.fabric.cut(a, b)
    await anyio.sleep(fault.for_s)
    fleet.fabric.heal()


async def _platform_down(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    fleet.platform.down = True
    await anyio.sleep(fault.for_s)
    fleet.platform.down = False


async def _platform_stale(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    fleet.platform.set_stale(True)
    # Readers do not get this version until the fault ends.
    fleet.publish()
    await anyio.sleep(fault.for_s)
    fleet.platform.set_stale(False)


async def _target_leaves(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    sidecar = fleet.sidecar(fault.where)
    start_leaving(sidecar)
    with anyio.move_on_after(fault.for_s):
        while sidecar.attempts.live:
            await anyio.sleep(DRAIN_CHECK_S)
    fleet.kill(f"sidecar-{fault.where}")
    await fleet.start_sidecar(_planned_target(fleet, fault.where))


async def _rolling_replacement(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    for target in fleet.plan.targets:
        await _target_leaves(fleet, sender, fault._replace(where=target.name))


async def _crashing_request(fleet: Fleet, sender: RequestSender, fault: Fault) -> None:
    async with anyio.create_task_group() as tasks:
        for engine in fleet.engines.values():
            engine.faults.crash_on.add(CRASH_TEXT)
            tasks.start_soon(_restart_periodically, engine, fault.for_s)
        times = max(1, int(fault.factor))
        await sender.send_crashing(times, fault.for_s / times)
    for engine in fleet.engines.values():
        engine.faults.crash_on.discard(CRASH_TEXT)


async def _restart_periodically(engine, for_s: float) -> None:
    with anyio.move_on_after(for_s):
        while True:
            await anyio.sleep(ENGINE_RESTART_S)
            engine.restart()
    engine.restart()


def _planned_target(fleet: Fleet, name: str) -> PlannedTarget:
    return next(target for target in fleet.plan.targets if target.name == name)


def _nodes_in(fleet: Fleet, centre: str) -> list[str]:
    nodes = [f"sidecar-{t.name}" for t in fleet.plan.targets if t.data_centre == centre]
    return [*nodes, f"entry-{centre}"]


_INJECTORS: dict[str, Injector] = {
    "engine_slow": _engine_slow,
    "engine_crash": _engine_crash,
    "sidecar_kill": _sidecar_kill,
    "entry_kill": _entry_kill,
    "pause": _pause,
    "data_centre_lost": _data_centre_lost,
    "partition": _partition,
    "platform_down": _platform_down,
    "platform_stale": _platform_stale,
    "target_leaves": _target_leaves,
    "rolling_replacement": _rolling_replacement,
    "crashing_request": _crashing_request,
}


def check_faults(source: str, plan: LoadPlan, deployment) -> None:
    """Check that `where` of each fault names a target, node or data centre of the deployment.

    It is not checked for kinds that concern the whole deployment.

    Raises
    ------
    SettingsError
        If one does not; the message names the fault and the allowed values.
    """
    engines = [target.name for target in deployment.targets if target.generation]
    targets = [target.name for target in deployment.targets]
    nodes = [f"entry-{c}" for c in deployment.entries] + [f"sidecar-{name}" for name in targets]
    allowed = {
        "engine_slow": engines,
        "engine_crash": engines,
        "sidecar_kill": targets,
        "target_leaves": targets,
        "entry_kill": list(deployment.entries),
        "pause": nodes,
        "data_centre_lost": list(deployment.data_centres),
        "partition": list(deployment.data_centres),
    }
    for index, fault in enumerate(plan.faults):
        allowed_places = allowed.get(fault.kind)
        if allowed_places is not None and fault.where not in allowed_places:
            problem = f"found {fault.where!r}, allowed are {', '.join(allowed_places)}"
            raise SettingsError(source, f"$.faults[{index}].where", problem)
