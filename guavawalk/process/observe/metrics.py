"""Metrics, as statsd takes them."""

from typing import Protocol

import statsd

__all__ = ["Metrics", "create_null_metrics", "create_statsd_metrics"]


class Metrics(Protocol):
    """Counters, timings and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def time(self, name: str, elapsed_ms: float) -> None:
        """Record a duration."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


class StatsdMetrics:
    """Metrics sent over UDP, without waiting."""

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Send a counter."""
        self._client.incr(name, amount)

    def time(self, name: str, elapsed_ms: float) -> None:
        """Send a timing."""
        self._client.timing(name, elapsed_ms)

    def gauge(self, name: str, value: float) -> None:
        """Send a gauge."""
        self._client.gauge(name, value)


class NullMetrics:
    """Nowhere."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop it."""

    def time(self, name: str, elapsed_ms: float) -> None:
        """Drop it."""

    def gauge(self, name: str, value: float) -> None:
        """Drop it."""


def create_statsd_metrics(host: str, port: int, prefix: str = "guavawalk") -> Metrics:
    """Create metrics that go to a statsd daemon."""
    return StatsdMetrics(statsd.StatsClient(host, port, prefix=prefix))


def create_null_metrics() -> Metrics:
    """Create metrics that go nowhere."""
    return NullMetrics()
