"""A whole deployment in one process, on loopback, with stand-ins."""

from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from guavawalk.connection.http_target import create_http_engine, create_http_service
from guavawalk.connection.platform import create_http_platform
from guavawalk.connection.tcp import create_tcp_network
from guavawalk.process.clock import create_clock
from guavawalk.process.entry.state import Entry
from guavawalk.process.entry_daemon import create_entry, serve_entry
from guavawalk.process.http_server import serve_asgi
from guavawalk.process.observe.log import EventLog, create_null_log
from guavawalk.process.settings import EntrySettings, SidecarSettings
from guavawalk.process.sidecar.state import Sidecar
from guavawalk.process.sidecar_daemon import create_sidecar, serve_sidecar
from guavawalk.process.standins.engine import create_engine_app
from guavawalk.process.standins.engine_model import EngineModel, EngineSpeed, create_engine_model
from guavawalk.process.standins.platform import PlatformBooks, create_platform_app
from guavawalk.process.standins.service import ServiceBooks, create_service_app
from guavawalk.version.documents import digest_bytes
from guavawalk.version.held import create_held_version
from guavawalk.version.publish import published_values, render_documents
from guavawalk.version.types import (
    Crossing,
    DataCentre,
    DesiredState,
    Generation,
    Model,
    Service,
    Target,
    Tier,
    Workspace,
)

__all__ = ["Embedded", "Plan", "PlannedTarget", "kestrel_lane_plan", "run_embedded"]

FREE_ADDRESS = "127.0.0.1:0"


class PlannedTarget(NamedTuple):
    """A target of the deployment; `speed` for an engine."""

    name: str
    data_centre: str
    generation: str = ""
    service: str = ""
    models: tuple[str, ...] = ()


class Plan(NamedTuple):
    """What an embedded deployment consists of."""

    data_centres: tuple[str, ...]
    entries: tuple[str, ...]
    targets: tuple[PlannedTarget, ...]
    generations: tuple[Generation, ...]
    tiers: tuple[Tier, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    crossing_ms: float
    api_keys: dict[str, str]


class Embedded(NamedTuple):
    """A running deployment."""

    plan: Plan
    platform: PlatformBooks
    entries: dict[str, Entry]
    entry_addresses: dict[str, str]
    sidecars: dict[str, Sidecar]
    engines: dict[str, EngineModel]
    services: dict[str, ServiceBooks]


def kestrel_lane_plan() -> Plan:
    """Return a deployment shaped like Kestrel Lane: three data centres, five and three targets."""
    centres = ("victoria", "nanaimo", "vancouver")
    engines = tuple(
        PlannedTarget(
            f"engine-{i}", centres[i % 3], "gen-b" if i % 2 else "gen-a", models=("quill",)
        )
        for i in range(5)
    )
    bookings = tuple(PlannedTarget(f"booking-{i}", centres[i], service="booking") for i in range(3))
    names = ("heritage", "harbour", "lamplight", "westcoast", "council")
    keys = {name: f"key-{name}" for name in names}
    tiers = ("onsite", "plan", "tag")
    workspaces = tuple(
        Workspace(
            name,
            (digest_bytes(keys[name].encode()),),
            tiers,
            "plan",
            models=("quill",),
            services=("booking",),
        )
        for name in names
    )
    return Plan(
        data_centres=centres,
        entries=centres,
        targets=engines + bookings,
        generations=(
            Generation("gen-a", 4_000.0, 120.0, 8, 64_000),
            Generation("gen-b", 12_000.0, 240.0, 16, 128_000),
        ),
        tiers=(
            Tier("onsite", 0, 10_000, 1_000, 0.2),
            Tier("plan", 1, 120_000, 10_000),
            Tier("tag", 2, 30_000, 10_000),
        ),
        models=(Model("quill"),),
        services=(Service("booking"),),
        workspaces=workspaces,
        crossing_ms=3.0,
        api_keys=keys,
    )


@asynccontextmanager
async def run_embedded(plan: Plan, log: EventLog | None = None):
    """Run a deployment for as long as the block lasts; yield an `Embedded`."""
    log = log or create_null_log()
    async with anyio.create_task_group() as tasks:
        books = PlatformBooks()
        platform_address = await tasks.start(serve_asgi, create_platform_app(books), FREE_ADDRESS)
        deployment = Embedded(plan, books, {}, {}, {}, {}, {})
        platform_url = f"http://{platform_address}"
        addresses = {}
        for target in plan.targets:
            addresses[target.name] = await _start_target(
                tasks, deployment, target, platform_url, log
            )
        books.publish(published_values(render_documents(1, _parts(plan, addresses))))
        for centre in plan.entries:
            await _start_entry(tasks, deployment, centre, platform_url, log)
        yield deployment
        tasks.cancel_scope.cancel()


async def _start_target(
    tasks: TaskGroup, deployment: Embedded, target: PlannedTarget, platform_url: str, log: EventLog
) -> str:
    if target.service:
        books = deployment.services.setdefault(target.service, ServiceBooks())
        app = create_service_app(books)
    else:
        generation = {g.name: g for g in deployment.plan.generations}[target.generation]
        engine = create_engine_model(EngineSpeed(*generation[1:]))
        deployment.engines[target.name] = engine
        app = create_engine_app(engine, tasks, target.models)
    url = f"http://{await tasks.start(serve_asgi, app, FREE_ADDRESS)}"
    settings = SidecarSettings(
        instance=f"sidecar-{target.name}",
        data_centre=target.data_centre,
        listen=FREE_ADDRESS,
        platform_url=platform_url,
        target=target.name,
        target_kind="service" if target.service else "model",
        target_url=url,
        allow_open=True,
    )
    create_target = create_http_service if target.service else create_http_engine
    held = create_held_version()
    sidecar = create_sidecar(settings, create_target(url), held, create_clock(), log, tasks)
    deployment.sidecars[target.name] = sidecar
    network = create_tcp_network(lambda: held.stamp.version)
    platform = create_http_platform(platform_url)
    return await tasks.start(serve_sidecar, sidecar, network, platform, settings.listen)


async def _start_entry(
    tasks: TaskGroup, deployment: Embedded, centre: str, platform_url: str, log: EventLog
) -> None:
    settings = EntrySettings(
        instance=f"entry-{centre}",
        data_centre=centre,
        listen=FREE_ADDRESS,
        platform_url=platform_url,
        allow_open=True,
    )
    held = create_held_version()
    network = create_tcp_network(lambda: held.stamp.version)
    entry = create_entry(settings, network, held, create_clock(), log)
    deployment.entries[centre] = entry
    platform = create_http_platform(platform_url)
    address = await tasks.start(serve_entry, entry, platform, settings.listen)
    deployment.entry_addresses[centre] = address


def _parts(plan: Plan, addresses: dict[str, str]) -> dict:
    centres = plan.data_centres
    crossings = [
        Crossing(a, b, plan.crossing_ms, 1.0) for i, a in enumerate(centres) for b in centres[:i]
    ]
    targets = [
        Target(
            name=t.name,
            kind="service" if t.service else "model",
            data_centre=t.data_centre,
            sidecar=addresses[t.name],
            generation=t.generation,
            service=t.service,
            desired=DesiredState(models=t.models),
            checks_fencing=True,
        )
        for t in plan.targets
    ]
    return {
        "tiers": plan.tiers,
        "data_centres": [DataCentre(name, "coast") for name in centres],
        "crossings": crossings,
        "generations": plan.generations,
        "models": plan.models,
        "services": plan.services,
        "targets": targets,
        "workspaces": plan.workspaces,
    }
