"""Assembles the state of one gateway process."""

import math
from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.gateway.active_routes import ActiveRoutes, create_active_routes
from guavawalk.process.gateway.buffers import BufferBudget, create_buffer_budget
from guavawalk.process.gateway.callers import (
    CallerTracker,
    create_caller_tracker,
    max_caller_connections,
)
from guavawalk.process.gateway.centres import create_centre_table
from guavawalk.process.gateway.connections import ConnectionPool, create_connection_pool
from guavawalk.process.gateway.crash_news import CrashNewsQueue, create_crash_news_queue
from guavawalk.process.gateway.dispatch import Dispatcher, create_dispatcher
from guavawalk.process.gateway.evacuation import EvacuationTable, create_evacuation_table
from guavawalk.process.gateway.input_budget import InputBudget, create_input_budget
from guavawalk.process.gateway.peers import PeerTable, create_peer_table
from guavawalk.process.gateway.quota import QuotaWindows, create_quota_windows
from guavawalk.process.gateway.registry_eras import RegistryEras, create_registry_eras
from guavawalk.process.gateway.retry_window import (
    RetryBounds,
    RetryWindows,
    create_retry_windows,
)
from guavawalk.process.gateway.settings import GatewaySettings
from guavawalk.process.gateway.targets import TargetTable, create_target_table
from guavawalk.process.gateway.warmup import WarmupBounds, WarmupPacer, create_warmup_pacer
from guavawalk.process.gateway.warmup_log import create_warmup_log
from guavawalk.process.gateway.watch_duty import WatchDuty, create_watch_duty
from guavawalk.process.observe.exposition import MetricSet, create_metric_set
from guavawalk.process.observe.log import EventLog
from guavawalk.process.part_suspects import PartSuspectTable, create_part_suspect_table
from guavawalk.process.read_turns import ReadTurns, create_read_turns
from guavawalk.process.suspects import SuspectTable, create_suspect_table

__all__ = ["Gateway", "create_gateway"]


class Gateway(NamedTuple):
    """State of a gateway, shared by its tasks.

    Attributes
    ----------
    registry_answered_s : dict of str to float
        When the registry last answered, on the process's monotonic clock, by what was requested
        from it; empty before any answer.
    started_s : float
        When the process started, on its monotonic clock.
    """

    settings: GatewaySettings
    clock: Clock
    log: EventLog
    metrics: MetricSet
    routes: ActiveRoutes
    targets: TargetTable
    eras: RegistryEras
    evacuations: EvacuationTable
    connections: ConnectionPool
    buffers: BufferBudget
    input: InputBudget
    read_turns: ReadTurns
    retries: RetryWindows
    quotas: QuotaWindows
    suspects: SuspectTable
    crash_news: CrashNewsQueue
    part_suspects: PartSuspectTable
    part_news: CrashNewsQueue
    peers: PeerTable
    duty: WatchDuty
    callers: CallerTracker
    pacer: WarmupPacer
    dispatcher: Dispatcher
    registry_answered_s: dict[str, float]
    started_s: float

    def is_ready(self) -> bool:
        """Return whether new connections are accepted.

        They are once routes, targets and evacuations are known, until the process starts to shut
        down.
        """
        return (
            bool(self.routes.table.version)
            and self.targets.is_loaded
            and self.evacuations.is_known
            and not self.callers.is_draining
        )


def create_gateway(settings: GatewaySettings, clock: Clock, log: EventLog) -> Gateway:
    """Assemble a gateway without routes, targets or peers."""
    bounds = RetryBounds(settings.retry_ratio, settings.retry_slack, settings.retry_window_s)
    targets = create_target_table(settings.drain_ms / 1000)
    started_s = clock.now_s()
    unknown_before_s = -math.inf if settings.is_first_start else started_s
    quotas = create_quota_windows(settings.quota_window_s, unknown_before_s)
    centres = create_centre_table(targets, quotas)
    peers = create_peer_table(
        settings.peer_listen, settings.data_centre, settings.peers, targets, quotas, centres
    )
    routes, metrics = create_active_routes(), create_metric_set()
    pacer = create_warmup_pacer(
        WarmupBounds(settings.warmup_overrun, settings.warmup_slack),
        routes,
        settings.peer_listen,
        peers,
        create_warmup_log(log, metrics),
        started_s,
    )
    return Gateway(
        settings=settings,
        clock=clock,
        log=log,
        metrics=metrics,
        routes=routes,
        targets=targets,
        eras=create_registry_eras(),
        evacuations=create_evacuation_table(),
        connections=create_connection_pool(),
        buffers=create_buffer_budget(),
        input=create_input_budget(
            settings.max_memory_mb, max_caller_connections(settings.max_descriptors)
        ),
        read_turns=create_read_turns(),
        retries=create_retry_windows(bounds),
        quotas=quotas,
        suspects=create_suspect_table(clock, runs_one_suspect=False),
        crash_news=create_crash_news_queue(),
        part_suspects=create_part_suspect_table(clock),
        part_news=create_crash_news_queue(),
        peers=peers,
        duty=create_watch_duty(peers, clock),
        callers=create_caller_tracker(),
        pacer=pacer,
        dispatcher=create_dispatcher(targets, peers, settings.data_centre, clock, pacer, centres),
        registry_answered_s={},
        started_s=started_s,
    )
