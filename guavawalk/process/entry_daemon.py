"""Assembles, serves and shuts down the entry process."""

import random
import resource
from functools import partial

import anyio
from anyio.abc import TaskStatus

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.handshake import Identity
from guavawalk.connection.http_listener import MAX_CONNECTIONS
from guavawalk.connection.link import Network
from guavawalk.connection.platform import Platform, create_http_platform
from guavawalk.connection.tasks.admin import serve_admin
from guavawalk.connection.tasks.entry_app import create_entry_app
from guavawalk.connection.tasks.peer_link import serve_peer_link
from guavawalk.connection.tasks.spread import run_spread
from guavawalk.connection.tcp import create_tcp_network
from guavawalk.connection.version_reporting import create_version_reporting_network
from guavawalk.exception import RequestError
from guavawalk.process.admin.entry_node import create_entry_node
from guavawalk.process.clock import Clock, create_clock
from guavawalk.process.entry.crashes import create_crash_counter
from guavawalk.process.entry.limits import (
    EntryCount,
    create_share_limiter,
)
from guavawalk.process.entry.links import create_link_pool
from guavawalk.process.entry.observed import record_invalid
from guavawalk.process.entry.retry import create_retry_budget
from guavawalk.process.entry.state import Entry, EntryLimits, create_request_tracker
from guavawalk.process.entry.view import create_fleet_view
from guavawalk.process.gateway.callers import max_caller_connections
from guavawalk.process.gateway.input_budget import create_input_budget
from guavawalk.process.http_server import serve_asgi
from guavawalk.process.observe.bounded_log import write_log
from guavawalk.process.observe.gauges import GaugeValues, InputGauges, report_gauges
from guavawalk.process.observe.json_log import create_event_log
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.observations import create_observations
from guavawalk.process.part_suspects import create_part_suspect_table
from guavawalk.process.pauses import Sleep
from guavawalk.process.read_turns import create_read_turns
from guavawalk.process.settings import EntrySettings, client_tls_context, server_tls_context
from guavawalk.process.shutdown import create_shutdown, watch_signals
from guavawalk.process.sidecar_daemon import create_incarnation, create_metrics
from guavawalk.process.spread.members import create_members
from guavawalk.process.spread.ranking import Node
from guavawalk.process.spread.state import create_spread
from guavawalk.process.supervise import log_failure
from guavawalk.request.placement import Placement
from guavawalk.request.policies import create_placement
from guavawalk.version.active import ActiveVersion, create_active_version

__all__ = ["create_entry", "drain_entry", "run_entry", "serve_entry", "serve_entry_peers"]

# Interval between checks for links to sidecars that have been idle for too long, in seconds.
IDLE_SWEEP_S = 5.0
SEED_BITS = 64
STDERR = 2
# Memory of an entry that serves nobody, in MB.
PROCESS_MB = 60
# Factor by which the listener's limit on request heads exceeds the application's. The application
# refuses a head over its limit with a result code; the listener's limit only bounds memory.
HEAD_LIMIT_FACTOR = 2


def create_entry(
    settings: EntrySettings,
    network: Network,
    active: ActiveVersion,
    clock: Clock,
    log: EventLog,
    placement: Placement | None = None,
    entry_count: EntryCount | None = None,
) -> Entry:
    """Assemble an entry from its settings and the services of the process.

    Parameters
    ----------
    placement : Placement, optional
        Placement policy; None for the one named in the settings.
    entry_count : EntryCount, optional
        Returns how many entries share the limits of workspaces; None to count the live entries on
        the platform's list.
    """
    secret = settings.fleet_secret.encode()
    own = Node("", settings.data_centre, "entry")
    members = create_members(settings.instance, own, settings.peers, clock)
    network = create_version_reporting_network(network, members.advertised_version.record)
    identity = Identity(
        "entry",
        settings.instance,
        create_incarnation(),
        secret,
        lambda: active.stamp,
        lambda: members.node_table.own_node.address,
    )
    listed_count = partial(members.node_table.live_entry_count, settings.entry_instances)
    return Entry(
        identity=identity,
        data_centre=settings.data_centre,
        clock=clock,
        active=active,
        links=create_link_pool(network, identity, clock),
        view=create_fleet_view(clock),
        placement=placement or create_placement(settings.placement, random.getrandbits(SEED_BITS)),
        limiter=create_share_limiter(clock, entry_count or listed_count),
        retries=create_retry_budget(random.getrandbits(SEED_BITS)),
        request_tracker=create_request_tracker(),
        limits=EntryLimits(
            body_bytes=settings.body_limit_bytes,
            header_bytes=settings.header_limit_bytes,
            head_timeout_s=settings.head_timeout_ms / 1000,
            body_timeout_s=settings.body_timeout_ms / 1000,
        ),
        input=create_input_budget(settings.max_memory_mb, MAX_CONNECTIONS, PROCESS_MB),
        read_turns=create_read_turns(),
        log=log,
        metrics=create_metrics(settings.statsd),
        observed=create_observations(),
        network=network,
        members=members,
        suspects=members.suspects,
        part_suspects=create_part_suspect_table(clock),
        crashes=create_crash_counter(clock),
    )


async def serve_entry(
    entry: Entry,
    platform: Platform,
    address: str,
    peer_address: str = "",
    start_jitter_s: float = 0.0,
    stop: anyio.Event | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers and keep the configuration up to date, until cancelled or stopped.

    Once the first configuration is in force, the bound address, `IP:port`, is reported through
    `task_status`.

    Parameters
    ----------
    address, peer_address : str
        Addresses to bind for callers and for peers, `IP:port`; an empty `peer_address` accepts no
        peers.
    start_jitter_s : float
        Longest random delay before the first read of the platform, in seconds.
    stop : anyio.Event, optional
        Once set, the call returns after the answers in progress have been sent.
    """
    stop = stop or anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve_entry_peers, entry, platform, peer_address, start_jitter_s)
        tasks.start_soon(_sweep_idle_links, entry)
        bound = await tasks.start(_serve_callers, entry, address, stop, tasks.cancel_scope)
        await entry.active.wait_newer(0)
        entry.log.emit(events.PROCESS_READY, address=bound)
        task_status.started(bound)


async def _serve_callers(
    entry: Entry,
    address: str,
    stop: anyio.Event,
    scope: anyio.CancelScope,
    *,
    task_status: TaskStatus[str],
) -> None:
    await serve_asgi(
        create_entry_app(entry),
        address,
        entry.limits.header_bytes * HEAD_LIMIT_FACTOR,
        entry.limits.head_timeout_s,
        partial(_record_rejected, entry),
        stop,
        _max_connections(),
        task_status=task_status,
    )
    scope.cancel()


def _max_connections() -> int:
    """Return how many callers' connections leave descriptors for links and all others."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, max_caller_connections(limit))


def _record_rejected(entry: Entry, code: ResultCode) -> None:
    record_invalid(entry, RequestError(code, "no readable request"), "", "")


async def serve_entry_peers(
    entry: Entry,
    platform: Platform,
    peer_address: str = "",
    start_jitter_s: float = 0.0,
    sleep: Sleep = anyio.sleep,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Keep the configuration up to date and serve peers, until cancelled.

    Parameters
    ----------
    peer_address : str
        Address to bind for peers, `IP:port`; empty to accept none.
    start_jitter_s : float
        Longest random delay before the first read of the platform, in seconds.
    sleep : callable
        Suspends a task for a number of seconds.
    """
    spread = create_spread(
        entry.identity,
        entry.active,
        entry.members,
        entry.network,
        platform,
        entry.clock,
        entry.log,
        sleep,
        start_jitter_s,
    )
    async with anyio.create_task_group() as tasks:
        if peer_address:
            handler = partial(serve_peer_link, spread)
            bound = await tasks.start(entry.network.serve, peer_address, handler)
            entry.members.node_table.set_address(bound)
        tasks.start_soon(run_spread, spread)
        task_status.started()


async def _sweep_idle_links(entry: Entry) -> None:
    while True:
        await anyio.sleep(IDLE_SWEEP_S)
        await entry.links.close_idle()


def _read_gauges(entry: Entry) -> GaugeValues:
    return GaugeValues(
        running=entry.request_tracker.running,
        version=entry.active.stamp.version,
        input=InputGauges(
            used_bytes=entry.input.used_bytes,
            limit_bytes=entry.input.total_bytes,
            waiting=entry.input.waiting,
            refused=entry.input.refused,
            turns_waiting=entry.read_turns.waiting,
            turns_refused=entry.read_turns.refused,
        ),
        log_lines_dropped=entry.log.dropped,
    )


async def drain_entry(entry: Entry, notice_s: float = 0.0) -> None:
    """Refuse new requests, and wait until those in progress have ended.

    Parameters
    ----------
    notice_s : float
        Shortest time to keep answering, in seconds, so that the load balancer sees that the
        process is not ready.
    """
    entry.request_tracker.draining = True
    entry.log.emit(events.SHUTDOWN_BEGUN, running=entry.request_tracker.running)
    await anyio.sleep(notice_s)
    await entry.request_tracker.wait_idle()
    await entry.links.close_idle(0.0)
    entry.log.emit(events.SHUTDOWN_DONE)


async def run_entry(settings: EntrySettings) -> int:
    """Run the entry daemon until a signal ends it; return its exit code.

    The code is 0 after a graceful shutdown, and 1 if a second signal interrupted requests.
    """
    log = create_event_log("entry", settings.instance, settings.log_level)
    active = create_active_version()
    network = create_tcp_network(
        lambda: active.stamp.version,
        server_tls_context(settings.tls),
        client_tls_context(settings.tls),
        partial(log_failure, log, "link listener"),
    )
    entry = create_entry(settings, network, active, create_clock(), log)
    log.emit(events.PROCESS_STARTED, incarnation=entry.identity.incarnation)
    platform = create_http_platform(settings.platform_url)
    stop = anyio.Event()
    shutdown = create_shutdown()
    async with write_log(log, STDERR), anyio.create_task_group() as tasks:

        async def drain() -> None:
            await drain_entry(entry, settings.drain_notice_ms / 1000)
            stop.set()

        def force() -> None:
            shutdown.force(log, entry.request_tracker.running)

        async def serve() -> None:
            jitter_s = settings.start_jitter_ms / 1000
            listen = settings.listen
            await serve_entry(entry, platform, listen, settings.peer_listen, jitter_s, stop)
            shutdown.complete()

        await tasks.start(watch_signals, partial(tasks.start_soon, drain), force)
        admin = create_entry_node(entry)
        tasks.start_soon(serve_admin, admin, settings.admin_keys, settings.admin_listen)
        tasks.start_soon(report_gauges, entry.metrics, partial(_read_gauges, entry))
        tasks.start_soon(serve)
        await shutdown.wait()
        tasks.cancel_scope.cancel()
    return shutdown.exit_code
