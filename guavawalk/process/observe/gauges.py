"""Sends the gauges of a process to statsd at a fixed interval."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from guavawalk.process.observe.memory import resident_bytes
from guavawalk.process.observe.metrics import Metrics

__all__ = ["GaugeValues", "report_gauges"]

# Interval at which gauges are sent, in seconds.
REPORT_EVERY_S = 10.0


class GaugeValues(NamedTuple):
    """Values of the gauges; None for a gauge that the role of the process does not have."""

    running: int
    version: int
    queued: int | None = None
    window: int | None = None


async def report_gauges(metrics: Metrics, read: Callable[[], GaugeValues]) -> None:
    """Send the gauges every `REPORT_EVERY_S` seconds until cancelled."""
    while True:
        values = read()
        metrics.gauge("running", values.running)
        metrics.gauge("version", values.version)
        metrics.gauge("resident_bytes", resident_bytes())
        if values.queued is not None:
            metrics.gauge("queued", values.queued)
        if values.window is not None:
            metrics.gauge("window", values.window)
        await anyio.sleep(REPORT_EVERY_S)
