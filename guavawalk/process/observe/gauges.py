"""Sends the gauges of a process to statsd at a fixed interval."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from guavawalk.process.observe.memory import resident_bytes
from guavawalk.process.observe.metrics import Metrics

__all__ = ["GaugeValues", "InputGauges", "report_gauges"]

# Interval at which gauges are sent, in seconds.
REPORT_EVERY_S = 10.0


class InputGauges(NamedTuple):
    """Memory of the bodies that callers send, and the turns in which they are read.

    Attributes
    ----------
    used_bytes, limit_bytes : int
        Memory in use, reserved room included, and the most of it.
    waiting, refused : int
        Connections not read for lack of that memory, and requests refused for it since the start.
    turns_waiting, turns_refused : int
        Bodies that wait for processor time, and those refused for lack of it since the start.
    """

    used_bytes: int
    limit_bytes: int
    waiting: int
    refused: int
    turns_waiting: int
    turns_refused: int


class GaugeValues(NamedTuple):
    """Values of the gauges; None for a gauge that the role of the process does not have."""

    running: int
    version: int
    queued: int | None = None
    window: int | None = None
    input: InputGauges | None = None
    log_lines_dropped: int = 0


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
        if values.input is not None:
            _report_input(metrics, values.input)
        metrics.gauge("log_lines_dropped", values.log_lines_dropped)
        await anyio.sleep(REPORT_EVERY_S)


def _report_input(metrics: Metrics, values: InputGauges) -> None:
    metrics.gauge("input_bytes", values.used_bytes)
    metrics.gauge("input_limit_bytes", values.limit_bytes)
    metrics.gauge("input_waiting", values.waiting)
    metrics.gauge("input_refused", values.refused)
    metrics.gauge("input_turns_waiting", values.turns_waiting)
    metrics.gauge("input_turns_refused", values.turns_refused)
