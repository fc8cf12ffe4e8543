"""The burst scenario of the window benchmark, with shorter runs than the benchmark's."""

import pytest

from guavawalk.process.sidecar.adaptive_window import AdaptiveWindow
from guavawalk.tools.bench.window import measure_window

DURATION_S = 8.0


def check_burst(rows):
    """Check that at most one request waits inside the engine and the top tier is all in time."""
    top = rows[0]
    assert top.engine_queue_max <= 1
    assert top.in_time == top.offered


class TestBurst:
    def test_adaptive_window_keeps_urgent_requests_in_time(self):
        check_burst(measure_window("burst", "adaptive", DURATION_S))

    def test_fixed_window_fails_the_check(self):
        with pytest.raises(AssertionError):
            check_burst(measure_window("burst", "fixed-16", DURATION_S))

    def test_window_without_prefill_budget_and_long_cap_fails_the_check(self, monkeypatch):
        monkeypatch.setattr(AdaptiveWindow, "_has_prefill_room", lambda self, attempt: True)
        monkeypatch.setattr(AdaptiveWindow, "has_long_slot", lambda self: True)
        monkeypatch.setattr(AdaptiveWindow, "_has_slot", lambda self, attempt, running: True)
        with pytest.raises(AssertionError):
            check_burst(measure_window("burst", "adaptive", DURATION_S))
