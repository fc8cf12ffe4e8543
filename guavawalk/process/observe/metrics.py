"""Sends metrics to a statsd daemon."""

from typing import Protocol

import statsd

__all__ = ["Metrics", "create_null_metrics", "create_statsd_metrics"]


class Metrics(Protocol):
    """Recorder of counters, timings and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        ...

    def time(self, name: str, elapsed_ms: float) -> None:
        """Record a duration in milliseconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


class StatsdMetrics:
    """Metrics that are sent to statsd over UDP without blocking."""

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Send an increment of a counter."""
        self._client.incr(name, amount)

    def time(self, name: str, elapsed_ms: float) -> None:
        """Send a duration in milliseconds."""
        self._client.timing(name, elapsed_ms)

    def gauge(self, name: str, value: float) -> None:
        """Send the value of a gauge."""
        self._client.gauge(name, value)


class NullMetrics:
    """Metrics that are dropped."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop the increment."""

    def time(self, name: str, elapsed_ms: float) -> None:
        """Drop the duration."""

    def gauge(self, name: str, value: float) -> None:
        """Drop the value."""


def create_statsd_metrics(host: str, port: int, prefix: str = "guavawalk") -> Metrics:
    """Create metrics that are sent to the statsd daemon at a host and UDP port."""
    return StatsdMetrics(statsd.StatsClient(host, port, prefix=prefix))


def create_null_metrics() -> Metrics:
    """Create metrics that are dropped."""
    return NullMetrics()
