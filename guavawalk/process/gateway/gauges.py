"""Gauges of a gateway, read when its metrics are fetched."""

import resource
from collections.abc import Mapping

from guavawalk.process.gateway.state import Gateway
from guavawalk.process.observe.exposition import Labels

__all__ = ["register_gauges"]

KIB = 1024


def register_gauges(gateway: Gateway) -> None:
    """Register the gauges of a gateway's state with its metrics."""
    metrics = gateway.metrics
    metrics.gauge("calls_running", lambda: {(): gateway.callers.calls})
    metrics.gauge("caller_connections", lambda: {(): gateway.callers.connections})
    metrics.gauge("calls_waiting", lambda: _by("service", gateway.dispatch.waiting()))
    metrics.gauge("routes_version", lambda: {(): gateway.routes.table.version})
    metrics.gauge("targets_revision", lambda: {(): gateway.targets.revision})
    metrics.gauge("ready", lambda: {(): gateway.is_ready()})
    metrics.gauge("gateways_heard", lambda: {(): len(gateway.peers.heard())})
    metrics.gauge("gateways_heard_share", lambda: {(): gateway.peers.heard_share()})
    metrics.gauge("target_running", lambda: _running(gateway))
    metrics.gauge("target_failure_share", lambda: _failures(gateway))
    metrics.gauge("target_slowness", lambda: _slowness(gateway))
    metrics.gauge("connections_opened", lambda: {(): gateway.connections.opened})
    metrics.gauge("crash_suspects", lambda: {(): len(gateway.suspects)})
    metrics.gauge("log_lines_dropped", lambda: {(): gateway.log.dropped})
    metrics.gauge("peak_memory_bytes", _peak_memory)
    metrics.gauge("processor_seconds", _processor_s)


def _by(label: str, values: Mapping[str, float]) -> Mapping[Labels, float]:
    return {((label, name),): value for name, value in values.items()}


def _running(gateway: Gateway) -> Mapping[Labels, float]:
    running = {found.registration.target_id: found.total_running for found in gateway.targets}
    return _by("target", running)


def _failures(gateway: Gateway) -> Mapping[Labels, float]:
    now_s = gateway.clock.now_s()
    shares = {
        found.registration.target_id: found.failures.share(now_s) for found in gateway.targets
    }
    return _by("target", shares)


def _slowness(gateway: Gateway) -> Mapping[Labels, float]:
    known = [found for found in gateway.targets if found.slowness.count]
    return _by("target", {found.registration.target_id: found.slowness.value for found in known})


def _peak_memory() -> Mapping[Labels, float]:
    return {(): resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB}


def _processor_s() -> Mapping[Labels, float]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {(): usage.ru_utime + usage.ru_stime}
