"""Runs a whole deployment in one process, on loopback sockets, with stand-ins for its targets."""

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
from guavawalk.tools.plan import Plan, PlannedTarget, plan_parts
from guavawalk.tools.standins.engine import create_engine_app
from guavawalk.tools.standins.engine_model import EngineModel, EngineSpeed, create_engine_model
from guavawalk.tools.standins.platform import PlatformState, create_platform_app
from guavawalk.tools.standins.service import ServiceState, create_service_app
from guavawalk.version.active import create_active_version
from guavawalk.version.publish import published_values, render_documents

__all__ = ["Embedded", "run_embedded"]

# Port 0: the operating system assigns a free port.
FREE_ADDRESS = "127.0.0.1:0"
REQUEST_TIMEOUT_MS = 30_000


class Embedded(NamedTuple):
    """A running deployment.

    Attributes
    ----------
    entries, entry_addresses : dict
        By data centre; addresses at which entries listen to callers.
    sidecars, sidecar_addresses, engines : dict
        By target.
    services : dict
        By service.
    """

    plan: Plan
    platform: PlatformState
    entries: dict[str, Entry]
    entry_addresses: dict[str, str]
    sidecars: dict[str, Sidecar]
    sidecar_addresses: dict[str, str]
    engines: dict[str, EngineModel]
    services: dict[str, ServiceState]


@asynccontextmanager
async def run_embedded(
    plan: Plan, log: EventLog | None = None, request_timeout_ms: int = REQUEST_TIMEOUT_MS
):
    """Run a deployment within the block; yield an `Embedded`.

    Parameters
    ----------
    log : EventLog, optional
        Log of all entries and sidecars; None for no log.
    request_timeout_ms : int
        Time limit of entries for receiving the head, and the body, of a request.
    """
    log = log or create_null_log()
    async with anyio.create_task_group() as tasks:
        platform = PlatformState()
        platform_address = await tasks.start(
            serve_asgi, create_platform_app(platform), FREE_ADDRESS
        )
        deployment = Embedded(plan, platform, {}, {}, {}, {}, {}, {})
        platform_url = f"http://{platform_address}"
        addresses = deployment.sidecar_addresses
        for target in plan.targets:
            addresses[target.name] = await _start_target(
                tasks, deployment, target, platform_url, log
            )
        platform.publish(published_values(render_documents(1, plan_parts(plan, addresses))))
        for centre in plan.entries:
            await _start_entry(tasks, deployment, centre, platform_url, log, request_timeout_ms)
        yield deployment
        tasks.cancel_scope.cancel()


async def _start_target(
    tasks: TaskGroup, deployment: Embedded, target: PlannedTarget, platform_url: str, log: EventLog
) -> str:
    if target.service:
        service = deployment.services.setdefault(target.service, ServiceState())
        app = create_service_app(service)
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
    active = create_active_version()
    sidecar = create_sidecar(settings, create_target(url), active, create_clock(), log, tasks)
    deployment.sidecars[target.name] = sidecar
    network = create_tcp_network(lambda: active.stamp.version)
    platform = create_http_platform(platform_url)
    return await tasks.start(serve_sidecar, sidecar, network, platform, settings.listen)


async def _start_entry(
    tasks: TaskGroup,
    deployment: Embedded,
    centre: str,
    platform_url: str,
    log: EventLog,
    request_timeout_ms: int,
) -> None:
    settings = EntrySettings(
        instance=f"entry-{centre}",
        data_centre=centre,
        listen=FREE_ADDRESS,
        platform_url=platform_url,
        allow_open=True,
        head_timeout_ms=request_timeout_ms,
        body_timeout_ms=request_timeout_ms,
    )
    active = create_active_version()
    network = create_tcp_network(lambda: active.stamp.version)
    entry = create_entry(settings, network, active, create_clock(), log)
    deployment.entries[centre] = entry
    platform = create_http_platform(platform_url)
    address = await tasks.start(serve_entry, entry, platform, settings.listen)
    deployment.entry_addresses[centre] = address
