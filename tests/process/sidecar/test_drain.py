"""The drain rate and the retry hints that follow from it."""

import pytest

from guavawalk.process.sidecar.drain import MAX_RETRY_MS, UNKNOWN_RETRY_MS, create_drain_rate


class TestDrainRate:
    def test_idle_time_does_not_count(self):
        rate = create_drain_rate()
        for second in range(20):
            rate.record_dispatch(100, second, 5)
        rate.record_dispatch(100, 20, 0)
        rate.record_dispatch(100, 5_000, 5)
        rate.record_dispatch(100, 5_001, 5)
        assert rate.tokens_per_s == pytest.approx(100, rel=0.01)

    def test_a_pause_of_the_process_is_bounded(self):
        rate = create_drain_rate()
        rate.record_dispatch(100, 0, 5)
        rate.record_dispatch(100, 10_000, 5)
        assert rate.tokens_per_s == pytest.approx(20)

    def test_retry_after_follows_the_rate(self):
        rate = create_drain_rate()
        assert rate.retry_after_ms(1_000) == UNKNOWN_RETRY_MS
        for second in range(20):
            rate.record_dispatch(100, second, 5)
        assert rate.retry_after_ms(1_000) == pytest.approx(10_000, rel=0.01)
        assert rate.retry_after_ms(10**9) == MAX_RETRY_MS
