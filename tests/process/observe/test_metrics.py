"""Tests the packets that a statsd daemon receives."""

import socket

import anyio
import pytest

from guavawalk.process.observe.gauges import GaugeValues, InputGauges, report_gauges
from guavawalk.process.observe.metrics import create_statsd_metrics


@pytest.fixture
def daemon():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as daemon:
        daemon.bind(("127.0.0.1", 0))
        daemon.settimeout(5.0)
        yield daemon


def received(daemon: socket.socket) -> str:
    return daemon.recv(1_000).decode()


class TestStatsd:
    def test_packets_hold_name_value_and_kind(self, daemon):
        metrics = create_statsd_metrics(*daemon.getsockname(), "walk")
        metrics.count("request.onsite.shed")
        metrics.time("request.onsite.whole_ms", 12.5)
        metrics.gauge("running", 3)
        assert received(daemon) == "walk.request.onsite.shed:1|c"
        assert received(daemon) == "walk.request.onsite.whole_ms:12.500000|ms"
        assert received(daemon) == "walk.running:3|g"

    def test_gauges_of_a_sidecar_are_sent(self, daemon):
        metrics = create_statsd_metrics(*daemon.getsockname(), "walk")

        async def report_once():
            with anyio.move_on_after(0):
                await report_gauges(metrics, lambda: GaugeValues(1, 7, queued=2, window=8))

        anyio.run(report_once)
        found = dict(received(daemon).split(":") for _ in range(5))
        assert found["walk.version"] == "7|g"
        assert found["walk.queued"] == "2|g"
        assert found["walk.window"] == "8|g"
        assert int(found["walk.resident_bytes"].partition("|")[0]) > 1_000_000

    def test_gauges_of_an_entry_are_sent(self, daemon):
        metrics = create_statsd_metrics(*daemon.getsockname(), "walk")
        values = GaugeValues(1, 7, input=InputGauges(1, 2, 3, 4, 5, 6), log_lines_dropped=8)

        async def report_once():
            with anyio.move_on_after(0):
                await report_gauges(metrics, lambda: values)

        anyio.run(report_once)
        found = dict(received(daemon).split(":") for _ in range(10))
        assert found["walk.input_waiting"] == "3|g"
        assert found["walk.input_turns_refused"] == "6|g"
        assert found["walk.log_lines_dropped"] == "8|g"
