"""Logs and counts the warm-ups of targets."""

from guavawalk import events
from guavawalk.process.gateway.warmup import Allowance, WarmupObserver
from guavawalk.process.observe.exposition import MetricSet
from guavawalk.process.observe.log import EventLog
from guavawalk.version.registrations import Registration

__all__ = ["create_warmup_log"]


class WarmupLog:
    """Writes one line when a target is known as cold, and one when calls are held back from it."""

    def __init__(self, log: EventLog, metrics: MetricSet) -> None:
        self._log = log
        self.metrics = metrics

    def record_cold(self, registration: Registration, cold_s: float) -> None:
        """Record that a target is known as cold, for `cold_s` more seconds."""
        self.metrics.count("warmups_total")
        self._log.emit(
            events.TARGET_COLD,
            target=registration.target_id,
            service=registration.service,
            cold_ms=int(cold_s * 1000),
            stated_ms=int(registration.warmup_left_s * 1000),
        )

    def record_held(self, registration: Registration, allowance: Allowance) -> None:
        """Record that calls are held back from a target, for the first time in its warm-up."""
        self.metrics.count("warmups_held_total")
        self._log.emit(
            events.TARGET_PACED,
            target=registration.target_id,
            service=registration.service,
            calls=allowance.calls,
            window_ms=int(allowance.window_s * 1000),
        )


def create_warmup_log(log: EventLog, metrics: MetricSet) -> WarmupObserver:
    """Create an observer that writes to a log and counts in metrics."""
    return WarmupLog(log, metrics)
