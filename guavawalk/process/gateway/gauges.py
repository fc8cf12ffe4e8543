"""Registers the gauges of a gateway's state, which are computed when its metrics are fetched."""

import resource
from collections.abc import Mapping
from itertools import islice

from guavawalk.process.gateway.state import Gateway
from guavawalk.process.observe.exposition import MAX_SERIES, Labels

__all__ = ["register_gauges"]

# Unit of `ru_maxrss` on Linux, in bytes.
KIB = 1024


def register_gauges(gateway: Gateway) -> None:
    """Register the gauges of a gateway's state with its metrics."""
    metrics = gateway.metrics
    metrics.gauge("calls_running", lambda: {(): gateway.callers.calls})
    metrics.gauge("caller_connections", lambda: {(): gateway.callers.connections})
    metrics.gauge("input_bytes", lambda: {(): gateway.input.used_bytes})
    metrics.gauge("input_limit_bytes", lambda: {(): gateway.input.total_bytes})
    metrics.gauge("input_waiting", lambda: {(): gateway.input.waiting})
    metrics.gauge("input_refused", lambda: {(): gateway.input.refused})
    metrics.gauge("input_turns_waiting", lambda: {(): gateway.read_turns.waiting})
    metrics.gauge("input_turns_refused", lambda: {(): gateway.read_turns.refused})
    metrics.gauge("calls_waiting", lambda: _labelled("service", gateway.dispatcher.waiting()))
    metrics.gauge("calls_waiting_elsewhere", lambda: _waiting_elsewhere(gateway))
    metrics.gauge("queue_refusals", lambda: _queue_refusals(gateway))
    metrics.gauge("calls_returned", lambda: _returned(gateway))
    metrics.gauge("slots_yielded", lambda: {(): gateway.dispatcher.slot_yield.yielded})
    metrics.gauge("load_difference", lambda: _load_differences(gateway))
    metrics.gauge("routes_version", lambda: {(): gateway.routes.table.version})
    metrics.gauge("routes_age_seconds", lambda: {(): _age_s(gateway, gateway.routes.activated_s)})
    metrics.gauge("registry_silent_seconds", lambda: _registry_silence_s(gateway))
    metrics.gauge("registry_era", lambda: {(): gateway.eras.era})
    metrics.gauge("targets_revision", lambda: {(): gateway.targets.last_change})
    metrics.gauge("targets_complete_revision", lambda: {(): gateway.targets.position.revision})
    metrics.gauge("evacuated", lambda: _labelled("data_centre", _evacuated(gateway)))
    metrics.gauge("ready", lambda: {(): gateway.is_ready()})
    metrics.gauge("gateways_heard", lambda: {(): gateway.peers.live_count() - 1})
    metrics.gauge("gateways_heard_share", lambda: {(): gateway.peers.live_share()})
    metrics.gauge("cold_targets", lambda: {(): _cold_targets(gateway)})
    metrics.gauge("target_running", lambda: _running_calls(gateway))
    metrics.gauge("target_failure_share", lambda: _failure_shares(gateway))
    metrics.gauge("target_slowness", lambda: _slowness(gateway))
    metrics.gauge("target_silent_seconds", lambda: _target_silence_s(gateway))
    metrics.gauge("quota_admitted", lambda: _admitted(gateway))
    metrics.gauge("repeats_left", lambda: _remaining_repeats(gateway))
    metrics.gauge("connections_opened", lambda: {(): gateway.connections.opened})
    metrics.gauge("crash_suspects", lambda: {(): len(gateway.suspects)})
    metrics.gauge("part_suspects", lambda: {(): len(gateway.part_suspects)})
    metrics.gauge("parts_blamed", lambda: {(): gateway.part_suspects.blamed_count})
    metrics.gauge("crash_news_queued", lambda: {(): _queued_news(gateway)})
    metrics.gauge("crash_news_dropped", lambda: {(): _dropped_news(gateway)})
    metrics.gauge("log_lines_dropped", lambda: {(): gateway.log.dropped})
    metrics.gauge("peak_memory_bytes", _peak_memory_bytes)
    metrics.gauge("processor_seconds", _processor_s)


def _evacuated(gateway: Gateway) -> Mapping[str, float]:
    return dict.fromkeys(sorted(gateway.targets.evacuated), 1)


def _load_differences(gateway: Gateway) -> Mapping[Labels, float]:
    differences = gateway.dispatcher.load_differences()
    return {
        (("service", service), ("data_centre", data_centre)): difference
        for (service, data_centre), difference in differences.items()
    }


def _queued_news(gateway: Gateway) -> int:
    return len(gateway.crash_news) + len(gateway.part_news)


def _dropped_news(gateway: Gateway) -> int:
    return gateway.crash_news.dropped + gateway.part_news.dropped


def _labelled(label: str, values: Mapping[str, float]) -> Mapping[Labels, float]:
    return {((label, name),): value for name, value in values.items()}


def _waiting_elsewhere(gateway: Gateway) -> Mapping[Labels, float]:
    reports, now_s = gateway.dispatcher.slot_yield.reports, gateway.clock.now_s()
    counts = {
        service: sum(calls.count for calls in reports.waiting(service, now_s))
        for service in islice(gateway.dispatcher.waiting(), MAX_SERIES)
    }
    return _labelled("service", counts)


def _queue_refusals(gateway: Gateway) -> Mapping[Labels, float]:
    refusals = gateway.dispatcher.refusals
    return _labelled("reason", {reason.name.lower(): refusals[reason] for reason in refusals})


def _returned(gateway: Gateway) -> Mapping[Labels, float]:
    returns = gateway.dispatcher.returns
    return _labelled("when", {"punctual": returns.punctual, "early": returns.early})


def _running_calls(gateway: Gateway) -> Mapping[Labels, float]:
    running = {target.registration.target_id: target.total_running for target in gateway.targets}
    return _labelled("target", running)


def _cold_targets(gateway: Gateway) -> int:
    return gateway.pacer.cold_count(gateway.targets, gateway.clock.now_s())


def _failure_shares(gateway: Gateway) -> Mapping[Labels, float]:
    now_s = gateway.clock.now_s()
    shares = {
        target.registration.target_id: target.failure_share(now_s) for target in gateway.targets
    }
    return _labelled("target", shares)


def _slowness(gateway: Gateway) -> Mapping[Labels, float]:
    observed = [target for target in gateway.targets if target.slowness.count]
    return _labelled(
        "target", {target.registration.target_id: target.slowness.value for target in observed}
    )


def _age_s(gateway: Gateway, at_s: float) -> float:
    return gateway.clock.now_s() - at_s


def _registry_silence_s(gateway: Gateway) -> Mapping[Labels, float]:
    answered = gateway.registry_answered_s
    return _labelled("what", {what: _age_s(gateway, at_s) for what, at_s in answered.items()})


def _target_silence_s(gateway: Gateway) -> Mapping[Labels, float]:
    answered = [target for target in gateway.targets if target.last_answer_s]
    ages = {
        target.registration.target_id: _age_s(gateway, target.last_answer_s) for target in answered
    }
    return _labelled("target", ages)


def _admitted(gateway: Gateway) -> Mapping[Labels, float]:
    return _labelled("workspace", dict(islice(gateway.quotas.admitted.totals.items(), MAX_SERIES)))


def _remaining_repeats(gateway: Gateway) -> Mapping[Labels, float]:
    retries, gateways, now_s = gateway.retries, gateway.peers.count(), gateway.clock.now_s()
    return _labelled(
        "service",
        {service: retries.remaining(service, gateways, now_s) for service in retries.services()},
    )


def _peak_memory_bytes() -> Mapping[Labels, float]:
    return {(): resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB}


def _processor_s() -> Mapping[Labels, float]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {(): usage.ru_utime + usage.ru_stime}
