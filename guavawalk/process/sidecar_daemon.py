"""Assembles, serves and shuts down the sidecar process."""

import secrets
from functools import partial

import anyio
from anyio.abc import TaskGroup, TaskStatus

from guavawalk import events
from guavawalk.connection.handshake import Identity
from guavawalk.connection.http_target import create_http_engine, create_http_service
from guavawalk.connection.link import Network
from guavawalk.connection.platform import Platform, create_http_platform
from guavawalk.connection.target import TargetClient
from guavawalk.connection.tasks.admin import serve_admin
from guavawalk.connection.tasks.entry_link import serve_entry_link
from guavawalk.connection.tasks.follow_cache import follow_cache
from guavawalk.connection.tasks.give_orders import give_orders
from guavawalk.connection.tasks.leave_notices import follow_notices
from guavawalk.connection.tasks.spread import run_spread
from guavawalk.connection.tcp import create_tcp_network
from guavawalk.connection.version_reporting import create_version_reporting_network
from guavawalk.process.admin.sidecar_node import create_sidecar_node
from guavawalk.process.clock import Clock, create_clock
from guavawalk.process.observe.bounded_log import write_log
from guavawalk.process.observe.gauges import GaugeValues, report_gauges
from guavawalk.process.observe.json_log import create_event_log
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.metrics import (
    Metrics,
    create_null_metrics,
    create_statsd_metrics,
)
from guavawalk.process.observe.observations import create_observations
from guavawalk.process.orders.order_tracker import create_order_tracker
from guavawalk.process.pauses import Sleep
from guavawalk.process.settings import (
    SidecarSettings,
    StatsdSettings,
    client_tls_context,
    server_tls_context,
)
from guavawalk.process.shutdown import Shutdown, create_shutdown, watch_signals
from guavawalk.process.sidecar.adaptive_window import create_adaptive_window
from guavawalk.process.sidecar.admission import start_leaving
from guavawalk.process.sidecar.drain import create_drain_rates
from guavawalk.process.sidecar.leaving import LeaveReason
from guavawalk.process.sidecar.lengths import create_length_statistics
from guavawalk.process.sidecar.link_table import create_link_table
from guavawalk.process.sidecar.prefix_index import create_prefix_index
from guavawalk.process.sidecar.queue import create_tier_queue
from guavawalk.process.sidecar.records import create_records
from guavawalk.process.sidecar.stall import watch_stalled
from guavawalk.process.sidecar.state import Sidecar, SidecarLimits, create_attempt_table
from guavawalk.process.sidecar.waste_totals import create_waste_totals
from guavawalk.process.sidecar.window import DispatchWindow, create_fixed_window
from guavawalk.process.spread.members import create_members
from guavawalk.process.spread.ranking import Node
from guavawalk.process.spread.state import create_spread
from guavawalk.process.supervise import log_failure
from guavawalk.version.active import ActiveVersion, create_active_version
from guavawalk.version.shards import SIDECAR_KINDS

__all__ = [
    "create_incarnation",
    "create_metrics",
    "create_sidecar",
    "drain_sidecar",
    "run_sidecar",
    "serve_sidecar",
]

# Time to wait at shutdown until entries have received the outcomes of all ended attempts, in
# seconds; an entry whose link broke reconnects and asks for the rest of the answer.
NOTIFY_TIMEOUT_S = 12.0
# Further time to wait, in seconds: the last messages may still be in transit, or be lost with their
# link and requested again.
LINGER_S = 1.0
# Time between two loads of the same weights in the fleet, in seconds.
LOAD_SLOT_S = 1.0
INCARNATION_BITS = 63
STDERR = 2


def create_incarnation() -> int:
    """Return a random number that identifies this run of the process; never 0."""
    return secrets.randbits(INCARNATION_BITS) | 1


def create_metrics(settings: StatsdSettings) -> Metrics:
    """Create metrics that are sent to statsd, or dropped if the host is empty."""
    if not settings.host:
        return create_null_metrics()
    return create_statsd_metrics(settings.host, settings.port, settings.prefix)


def create_sidecar(
    settings: SidecarSettings,
    target: TargetClient,
    active: ActiveVersion,
    clock: Clock,
    log: EventLog,
    tasks: TaskGroup,
) -> Sidecar:
    """Assemble a sidecar from its settings, its target and the services of the process.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the tasks of the attempts.
    """
    incarnation = create_incarnation()
    own = Node("", settings.data_centre, "sidecar")
    members = create_members(settings.instance, own, settings.peers, clock)
    identity = Identity(
        "sidecar",
        settings.instance,
        incarnation,
        settings.fleet_secret.encode(),
        lambda: active.stamp,
        lambda: members.node_table.own_node.address,
    )
    limits = SidecarLimits(answer_bytes=settings.answer_limit_bytes)
    return Sidecar(
        identity=identity,
        target_name=settings.target,
        clock=clock,
        active=active,
        target=target,
        engine=target if settings.target_kind == "model" else None,
        queue=create_tier_queue(settings.queue_slots, settings.queue_cost_tokens),
        window=_create_window(settings, active, clock),
        drain_rates=create_drain_rates(),
        lengths=create_length_statistics(),
        prefixes=create_prefix_index(),
        waste=create_waste_totals(),
        records=create_records(settings.target, incarnation, settings.record_slots),
        attempts=create_attempt_table(limits),
        links=create_link_table(limits.closed_links),
        log=log,
        metrics=create_metrics(settings.statsd),
        observed=create_observations(),
        tasks=tasks,
        members=members,
        orders=create_order_tracker(),
        suspects=members.suspects,
    )


def _create_window(
    settings: SidecarSettings, active: ActiveVersion, clock: Clock
) -> DispatchWindow:
    if settings.window == "fixed" or settings.target_kind == "service":
        return create_fixed_window(settings.window_slots)
    return create_adaptive_window(
        settings.window_slots, clock, lambda: active.configuration, settings.target
    )


async def serve_sidecar(
    sidecar: Sidecar,
    network: Network,
    platform: Platform,
    address: str,
    start_jitter_s: float = 0.0,
    sleep: Sleep = anyio.sleep,
    load_slot_s: float = LOAD_SLOT_S,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve links from entries and keep the configuration up to date, until cancelled.

    The bound address, `IP:port`, is reported through `task_status`.

    Parameters
    ----------
    address : str
        Address to bind, `IP:port`.
    start_jitter_s : float
        Longest random delay before the first read of the platform, in seconds.
    sleep : callable
        Suspends a task for a number of seconds.
    load_slot_s : float
        Time between two loads of the same weights in the fleet, in seconds.
    """
    members = sidecar.members
    reporting = create_version_reporting_network(network, members.advertised_version.record)
    spread = create_spread(
        sidecar.identity,
        sidecar.active,
        members,
        reporting,
        platform,
        sidecar.clock,
        sidecar.log,
        sleep,
        start_jitter_s,
    )
    async with anyio.create_task_group() as tasks:
        handler = partial(serve_entry_link, sidecar)
        bound = await tasks.start(reporting.serve, address, handler)
        members.node_table.set_address(bound)
        tasks.start_soon(run_spread, spread)
        tasks.start_soon(watch_stalled, sidecar)
        if sidecar.engine is not None:
            tasks.start_soon(follow_cache, sidecar, sidecar.engine)
            tasks.start_soon(give_orders, sidecar, sidecar.engine, load_slot_s)
        tasks.start_soon(follow_notices, sidecar)
        sidecar.log.emit(events.PROCESS_READY, address=bound)
        task_status.started(bound)


def _read_gauges(sidecar: Sidecar) -> GaugeValues:
    return GaugeValues(
        running=sidecar.attempts.running,
        version=sidecar.active.stamp.version,
        queued=len(sidecar.queue),
        window=sidecar.window.size,
        log_lines_dropped=sidecar.log.dropped,
    )


async def drain_sidecar(sidecar: Sidecar) -> None:
    """Refuse new work, and wait until all attempts have ended and entries have the outcomes.

    The event `SHUTDOWN_DONE` logs the number of outcomes that entries had not received
    `NOTIFY_TIMEOUT_S` after the last attempt ended.
    """
    sidecar.log.emit(events.SHUTDOWN_BEGUN, running=sidecar.attempts.running)
    start_leaving(sidecar, LeaveReason.SHUTDOWN)
    leave_tracker = sidecar.attempts.leave_tracker
    await leave_tracker.wait_ended()
    with anyio.move_on_after(NOTIFY_TIMEOUT_S):
        await leave_tracker.wait_reported()
        await anyio.sleep(LINGER_S)
        await leave_tracker.wait_reported()
    sidecar.log.emit(events.SHUTDOWN_DONE, untold=leave_tracker.unreported)


async def run_sidecar(settings: SidecarSettings) -> int:
    """Run the sidecar daemon until a signal ends it; return its exit code.

    The code is 0 after a graceful shutdown, and 1 if a second signal interrupted attempts, or the
    delivery of their outcomes.
    """
    log = create_event_log("sidecar", settings.instance, settings.log_level)
    active = create_active_version(SIDECAR_KINDS)
    network = create_tcp_network(
        lambda: active.stamp.version,
        server_tls_context(settings.tls),
        client_tls_context(settings.tls),
        partial(log_failure, log, "link listener"),
    )
    create_target = create_http_engine if settings.target_kind == "model" else create_http_service
    async with write_log(log, STDERR), anyio.create_task_group() as tasks:
        sidecar = create_sidecar(
            settings, create_target(settings.target_url), active, create_clock(), log, tasks
        )
        log.emit(events.PROCESS_STARTED, incarnation=sidecar.identity.incarnation)
        shutdown = create_shutdown()
        on_first = partial(tasks.start_soon, _drain_and_exit, sidecar, shutdown)
        await tasks.start(watch_signals, on_first, partial(_force_exit, sidecar, shutdown))
        platform = create_http_platform(settings.platform_url)
        admin = create_sidecar_node(sidecar)
        tasks.start_soon(serve_admin, admin, settings.admin_keys, settings.admin_listen)
        tasks.start_soon(report_gauges, sidecar.metrics, partial(_read_gauges, sidecar))
        await tasks.start(
            serve_sidecar,
            sidecar,
            network,
            platform,
            settings.listen,
            settings.start_jitter_ms / 1000,
            anyio.sleep,
            settings.load_slot_ms / 1000,
        )
        await shutdown.wait()
        tasks.cancel_scope.cancel()
    return shutdown.exit_code


async def _drain_and_exit(sidecar: Sidecar, shutdown: Shutdown) -> None:
    await drain_sidecar(sidecar)
    shutdown.complete()


def _force_exit(sidecar: Sidecar, shutdown: Shutdown) -> None:
    shutdown.force(
        sidecar.log, len(sidecar.attempts.live) + sidecar.attempts.leave_tracker.unreported
    )
