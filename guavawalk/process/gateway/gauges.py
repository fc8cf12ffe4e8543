"""Gauges of a gateway, read when its metrics are fetched."""

import resource
from collections.abc import Mapping

from guavawalk.process.gateway.state import Gateway
from guavawalk.process.observe.exposition import Labels

__all__ = ["register_gauges"]

KIB = 1024


def register_gauges(gateway: Gateway) -> None:
    """Register the gauges of a gateway's state with its metrics."""
    gauge = gateway.metrics.gauge
    gauge("calls_running", lambda: {(): gateway.callers.calls})
    gauge("caller_connections", lambda: {(): gateway.callers.connections})
    gauge("calls_waiting", lambda: _by("service", gateway.dispatch.waiting()))
    gauge("routes_version", lambda: {(): gateway.routes.table.version})
    gauge("targets_revision", lambda: {(): gateway.targets.revision})
    gauge("ready", lambda: {(): gateway.is_ready()})
    gauge("gateways_heard", lambda: {(): len(gateway.peers.heard())})
    gauge("gateways_heard_share", lambda: {(): gateway.peers.heard_share()})
    gauge("target_running", lambda: _running(gateway))
    gauge("target_failure_share", lambda: _failures(gateway))
    gauge("target_slowness", lambda: _slowness(gateway))
    gauge("connections_opened", lambda: {(): gateway.connections.opened})
    gauge("crash_suspects", lambda: {(): len(gateway.suspects)})
    gauge("log_lines_dropped", lambda: {(): gateway.log.dropped})
    gauge("peak_memory_bytes", _peak_memory)
    gauge("processor_seconds", _processor_s)


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
