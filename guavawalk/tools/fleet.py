"""Runs a deployment in memory: the tasks of entries and sidecars over in-memory links and targets.

Under a virtual clock, failure scenarios run without real waiting and repeat exactly.
"""

import random
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from guavawalk.connection.tasks.process_request import process_request
from guavawalk.process.clock import create_clock
from guavawalk.process.entry.state import Entry
from guavawalk.process.entry_daemon import create_entry, serve_entry_peers
from guavawalk.process.observe.log import create_null_log
from guavawalk.process.settings import EntrySettings, SidecarSettings
from guavawalk.process.sidecar.state import Sidecar
from guavawalk.process.sidecar.window import DEFAULT_WINDOW
from guavawalk.process.sidecar_daemon import create_sidecar, serve_sidecar
from guavawalk.request.placement import Placement
from guavawalk.request.policies import DEFAULT_PLACEMENT
from guavawalk.request.prompt import estimate_tokens, fingerprint, prefix_hashes
from guavawalk.request.types import Work
from guavawalk.tools.plan import Plan, PlannedTarget, plan_parts
from guavawalk.tools.standins.engine_model import EngineModel, EngineSpeed, create_engine_model
from guavawalk.tools.standins.memory_network import Fabric, create_fabric
from guavawalk.tools.standins.memory_targets import (
    MemoryCaller,
    MemoryEngine,
    MemoryPlatform,
    MemoryService,
    mark_output,
)
from guavawalk.tools.standins.platform import PlatformState
from guavawalk.tools.standins.service import ServiceState
from guavawalk.version.active import create_active_version
from guavawalk.version.publish import published_values, render_documents

__all__ = ["Fleet", "RunningProcess", "run_fleet"]


class RunningProcess(NamedTuple):
    """A process of the fleet: the cancel scope of its tasks, and its sidecar or its entry."""

    scope: anyio.CancelScope
    sidecar: Sidecar | None = None
    entry: Entry | None = None


class Fleet:
    """A running deployment in memory.

    Attributes
    ----------
    platform : PlatformState
        Published values and the instance list.
    engines, services : dict
        State of the targets, by target and by service; it outlives their sidecars.
    processes : dict of str to RunningProcess
        Running processes by node name: `sidecar-TARGET` and `entry-DATACENTRE`.
    version : int
        Number of the last published version; 0 before the first.
    """

    def __init__(
        self,
        plan: Plan,
        fabric: Fabric,
        tasks: TaskGroup,
        placement,
        placement_name,
        window,
        sidecar_options: dict,
    ) -> None:
        self.plan = plan
        self.fabric = fabric
        self.platform = PlatformState()
        self.engines: dict[str, EngineModel] = {}
        self.services: dict[str, ServiceState] = {}
        self.targets: dict[str, MemoryEngine | MemoryService] = {}
        self.processes: dict[str, RunningProcess] = {}
        self.version = 0
        self._tasks = tasks
        self._placement = placement
        self._placement_name = placement_name
        self._window = window
        self._sidecar_options = sidecar_options

    def publish(self, parts: dict | None = None) -> int:
        """Publish the next version, of the plan or of other parts; return its number."""
        self.version += 1
        parts = parts or plan_parts(self.plan, self.addresses())
        self.platform.publish(published_values(render_documents(self.version, parts)))
        return self.version

    def addresses(self) -> dict[str, str]:
        """Return the address of each target's sidecar, by target."""
        names = [target.name for target in self.plan.targets]
        return {name: f"10.0.0.{index + 1}:7000" for index, name in enumerate(names)}

    def entry_addresses(self) -> dict[str, str]:
        """Return the address at which each entry accepts links from peers, by data centre."""
        centres = self.plan.entries
        return {centre: f"10.1.0.{index + 1}:7100" for index, centre in enumerate(centres)}

    def publish_instances(self) -> None:
        """Set the platform's instance list to the running processes."""
        sidecars, entries = self.addresses(), self.entry_addresses()
        rows = [
            {"name": f"sidecar-{t.name}", "role": "sidecar", "address": sidecars[t.name]}
            | {"data_centre": t.data_centre}
            for t in self.plan.targets
        ]
        rows += [
            {"name": f"entry-{c}", "role": "entry", "address": entries[c], "data_centre": c}
            for c in self.plan.entries
        ]
        self.platform.instances = [row for row in rows if row["name"] in self.processes]

    async def _sleep(self, node: str, delay_s: float) -> None:
        """Sleep for `delay_s`, and on while the node is paused."""
        await anyio.sleep(delay_s)
        await self.fabric.wait_while_paused(node)

    def entry(self, centre: str) -> Entry:
        """Return the running entry of a data centre; raise KeyError if there is none."""
        return self.processes[f"entry-{centre}"].entry

    def sidecar(self, target: str) -> Sidecar:
        """Return the running sidecar of a target; raise KeyError if there is none."""
        return self.processes[f"sidecar-{target}"].sidecar

    async def start_sidecar(self, target: PlannedTarget) -> None:
        """Start the sidecar of a target, as a new incarnation."""
        await self._tasks.start(self._run_sidecar, target)

    async def start_entry(self, centre: str) -> None:
        """Start the entry of a data centre, as a new incarnation; wait for a version in force."""
        await self._tasks.start(self._run_entry, centre)

    def kill(self, node: str) -> None:
        """End a process at once and break its links; do nothing if it isn't running."""
        process = self.processes.pop(node, None)
        if process is not None:
            self.fabric.kill(node)
            process.scope.cancel()

    def work(
        self,
        workspace: str,
        tier: str,
        text: str,
        output_tokens: int = 16,
        model: str = "",
        service: str = "",
        deadline_ms: int = 60_000,
        key: str = "",
        method: str = "POST",
        entry: str = "",
    ) -> Work:
        """Create the work of one request, under the version in force at an entry.

        An empty `entry` stands for the first entry of the plan; `deadline_ms` counts from now.

        Notes
        -----
        A model's answer has exactly `output_tokens` tokens, whatever length the entry expects.
        """
        if model:
            text = mark_output(text, output_tokens)
        configuration = self.entry(entry or self.plan.entries[0]).active.configuration
        return Work(
            trace_id=f"trace-{random.getrandbits(32):x}",
            configuration=configuration,
            workspace=configuration.workspaces[workspace],
            tier=configuration.tiers[tier],
            deadline_s=anyio.current_time() + deadline_ms / 1000,
            model=model,
            service_path=service,
            method=method,
            body=text.encode(),
            idempotency_key=key,
            idempotent=method == "GET",
            prompt_tokens=estimate_tokens(text),
            expected_output_tokens=output_tokens if model else 0,
            fingerprint=fingerprint(workspace, text.encode()),
            prefix_hashes=prefix_hashes(model, text),
        )

    async def send(self, centre: str, work: Work, caller: MemoryCaller | None = None):
        """Process a request at the entry of a data centre; return its caller with the answer."""
        caller = caller or MemoryCaller()
        await process_request(self.entry(centre), work, caller)
        return caller

    async def _run_sidecar(self, target: PlannedTarget, *, task_status) -> None:
        node = f"sidecar-{target.name}"
        settings = SidecarSettings(
            instance=node,
            data_centre=target.data_centre,
            listen=self.addresses()[target.name],
            platform_url="",
            target=target.name,
            target_kind="service" if target.service else "model",
            target_url="",
            allow_open=True,
            window=self._window,
            **self._sidecar_options,
        )
        active = create_active_version()
        network = self.fabric.network(node, lambda: active.stamp.version)
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                client = self._target_client(target, node)
                sidecar = create_sidecar(
                    settings, client, active, create_clock(0.0), create_null_log(), tasks
                )
                platform = MemoryPlatform(
                    self.platform, lambda: self.fabric.wait_while_paused(node)
                )
                self.processes[node] = RunningProcess(scope, sidecar=sidecar)
                sleep = partial(self._sleep, node)
                await tasks.start(
                    serve_sidecar, sidecar, network, platform, settings.listen, 0.0, sleep
                )
                task_status.started()

    def _target_client(self, target: PlannedTarget, node: str):
        existing = self.targets.get(target.name)
        if existing is not None:
            return existing

        async def gate() -> None:
            await self.fabric.wait_while_paused(node)

        if target.service:
            service = self.services.setdefault(target.service, ServiceState())
            client = MemoryService(service, gate)
        else:
            generation = {g.name: g for g in self.plan.generations}[target.generation]
            model = create_engine_model(EngineSpeed(*generation[1:]))
            self.engines[target.name] = model
            client = MemoryEngine(model, target.models, gate)
        self.targets[target.name] = client
        return client

    async def _run_entry(self, centre: str, *, task_status) -> None:
        node = f"entry-{centre}"
        settings = EntrySettings(
            instance=node,
            data_centre=centre,
            listen="",
            platform_url="",
            allow_open=True,
            placement=self._placement_name,
        )
        active = create_active_version()
        network = self.fabric.network(node, lambda: active.stamp.version)
        log = create_null_log()
        ready = False
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                entry = create_entry(
                    settings, network, active, create_clock(0.0), log, self._placement
                )
                platform = MemoryPlatform(
                    self.platform, lambda: self.fabric.wait_while_paused(node)
                )
                self.processes[node] = RunningProcess(scope, entry=entry)
                sleep = partial(self._sleep, node)
                address = self.entry_addresses()[centre]
                await tasks.start(serve_entry_peers, entry, platform, address, 0.0, sleep)
                await active.wait_newer(0)
                ready = True
                task_status.started()
        if not ready:
            # Killed before a version was in force: `start_entry` returns all the same.
            task_status.started()


@asynccontextmanager
async def run_fleet(
    plan: Plan,
    placement: Placement | None = None,
    delay_s: float = 0.0005,
    placement_name: str = DEFAULT_PLACEMENT,
    window: str = DEFAULT_WINDOW,
    sidecar_options: dict | None = None,
):
    """Run a deployment in memory within the block; yield a `Fleet`.

    Parameters
    ----------
    placement : Placement, optional
        One policy object for all entries; None to create one for each by `placement_name`.
    delay_s : float
        One-way delay between any two nodes.
    window : str
        Dispatch window of the sidecars, by name.
    sidecar_options : dict, optional
        Fields of every `SidecarSettings` that differ from the default.
    """
    async with anyio.create_task_group() as tasks:
        fabric = create_fabric(lambda a, b: delay_s)
        options = sidecar_options or {}
        fleet = Fleet(plan, fabric, tasks, placement, placement_name, window, options)
        fleet.publish()
        for target in plan.targets:
            await fleet.start_sidecar(target)
        for centre in plan.entries:
            await fleet.start_entry(centre)
        yield fleet
        tasks.cancel_scope.cancel()
