"""The window's scenarios with real tasks in virtual time, shorter than the benchmark's."""

import pytest

from guavawalk.process.sidecar.adaptive_window import AdaptiveWindow
from guavawalk.tools.bench.window import measure_window

DURATION_S = 8.0


def check_burst(rows):
    """The engine's own queue stays near empty, and the top tier loses nothing to the burst."""
    top = rows[0]
    assert top.engine_queue_max <= 1
    assert top.in_time == top.offered


class TestBurst:
    def test_urgent_work_passes_a_burst_of_long_prompts(self):
        check_burst(measure_window("burst", "adaptive", DURATION_S))

    def test_the_fixed_window_is_caught(self):
        with pytest.raises(AssertionError):
            check_burst(measure_window("burst", "fixed-16", DURATION_S))

    def test_a_mutant_without_prefill_budget_and_long_cap_is_caught(self, monkeypatch):
        monkeypatch.setattr(AdaptiveWindow, "_has_prefill_room", lambda self, attempt: True)
        monkeypatch.setattr(AdaptiveWindow, "has_long_slot", lambda self: True)
        monkeypatch.setattr(AdaptiveWindow, "_has_slot", lambda self, attempt, running: True)
        with pytest.raises(AssertionError):
            check_burst(measure_window("burst", "adaptive", DURATION_S))
