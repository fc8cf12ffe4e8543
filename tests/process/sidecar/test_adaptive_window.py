"""The adaptive window: a slowing engine, bursts of long prompts, and reserved slots."""

import pytest

from guavawalk.process.sidecar import adaptive_window
from guavawalk.process.sidecar.adaptive_window import AdaptiveWindow, create_adaptive_window
from guavawalk.process.sidecar.queue import MAX_RANKS
from guavawalk.process.sidecar.window_controller import WindowController
from guavawalk.version.window import WindowRules
from tests.process.sidecar.attempts import make_attempt

SLOTS = 16
STEP_S = 0.02
RULES = WindowRules((0.25, 0.0, 0.0), SLOTS, 4_000.0)


class FakeClock:
    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


def make_window(monkeypatch, rules=RULES):
    monkeypatch.setattr(adaptive_window, "window_rules", lambda configuration, name: rules)
    clock = FakeClock()
    window = create_adaptive_window(SLOTS, clock, object, "engine-0")
    window._configuration = lambda configuration=object(): configuration
    return window, clock


def dispatch_all(window, attempts):
    """Dispatch in order until one is not admitted; return those that were dispatched."""
    out = []
    for attempt in attempts:
        if not window.admits(attempt, len(out)):
            break
        window.record_dispatch(attempt)
        out.append(attempt)
    return out


def stream(window, clock, seconds, gap_ms):
    """Record tokens of full streams for some time, with one attempt always waiting for a slot."""
    stream_of = make_attempt()
    for _ in range(round(seconds / STEP_S)):
        clock.time_s += STEP_S
        window._size_controller.record_full()
        window.observe_tokens(stream_of, 1, gap_ms)


def check_slow_engine(window, clock):
    stream(window, clock, 20, 30)
    assert window.size == SLOTS
    stream(window, clock, 5, 150)
    assert window.size <= SLOTS // 2
    shrunk = window.size
    stream(window, clock, 5, 55)
    assert window.size == shrunk
    stream(window, clock, 20, 30)
    assert window.size == SLOTS


class TestWindowSize:
    def test_shrinks_when_streams_slow_and_recovers(self, monkeypatch):
        check_slow_engine(*make_window(monkeypatch))

    @pytest.mark.parametrize(
        "broken",
        [
            lambda self, target_ms: None,
            lambda self, target_ms: setattr(self, "size", self.max_size),
            lambda self, target_ms: setattr(
                self, "size", self.max_size if self.gap_ms < target_ms + 1 else self.min_size
            ),
        ],
        ids=["never changes", "never shrinks", "no band"],
    )
    def test_a_mutant_is_caught(self, monkeypatch, broken):
        monkeypatch.setattr(WindowController, "_adjust_size", broken)
        with pytest.raises(AssertionError):
            check_slow_engine(*make_window(monkeypatch))

    def test_does_not_grow_unless_something_waits(self, monkeypatch):
        window, clock = make_window(monkeypatch)
        before = window.size
        for _ in range(500):
            clock.time_s += STEP_S
            window.observe_tokens(make_attempt(), 1, 30)
        assert window.size == before

    def test_shrinks_when_first_tokens_are_late_for_their_prompts(self, monkeypatch):
        window, clock = make_window(monkeypatch)
        stream(window, clock, 20, 30)
        for _ in range(10):
            for elapsed_ms in (5_000, 5_000):
                attempt = make_attempt(prompt=10)
                window.record_dispatch(attempt)
                window.observe_first_token(attempt, elapsed_ms)
            stream(window, clock, 0.3, 30)
        assert window.size < SLOTS

    def test_a_long_prompt_is_no_late_first_token(self, monkeypatch):
        window, clock = make_window(monkeypatch)
        stream(window, clock, 20, 30)
        for _ in range(10):
            attempt = make_attempt(prompt=20_000)
            window.record_dispatch(attempt)
            window.observe_first_token(attempt, 5_000)
            stream(window, clock, 0.3, 30)
        assert window.size == SLOTS


def check_burst(window):
    assert len(dispatch_all(window, [make_attempt(rank=2, prompt=3_000) for _ in range(8)])) == 1


class TestPrefillBudget:
    def test_a_burst_of_long_prompts_goes_out_one_by_one(self, monkeypatch):
        check_burst(make_window(monkeypatch)[0])

    def test_a_mutant_is_caught(self, monkeypatch):
        monkeypatch.setattr(AdaptiveWindow, "_has_prefill_room", lambda self, attempt: True)
        with pytest.raises(AssertionError):
            check_burst(make_window(monkeypatch)[0])

    def test_short_prompts_go_out_together(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        assert len(dispatch_all(window, [make_attempt(prompt=50) for _ in range(8)])) == 8

    def test_a_prompt_in_the_cache_needs_no_room(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        attempts = [make_attempt(prompt=3_000) for _ in range(4)]
        for attempt in attempts[1:]:
            attempt.cached_tokens = 2_950
        attempts[0].cached_tokens = 2_000
        assert len(dispatch_all(window, attempts)) == 4

    def test_an_attempt_that_ends_without_a_token_frees_the_prefill_budget(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        first, second = make_attempt(prompt=3_000), make_attempt(prompt=3_000)
        dispatch_all(window, [first])
        assert not window.admits(second, 1)
        window.record_end(first)
        assert window.admits(second, 0)
        assert sum(window._running_by_rank) == 0


def check_headroom(window):
    low = dispatch_all(window, [make_attempt(rank=2, prompt=1) for _ in range(SLOTS)])
    size = window.size
    assert len(low) == size - size // 4
    high = [make_attempt(rank=0, prompt=1) for _ in range(size // 4)]
    for number, attempt in enumerate(high):
        assert window.admits(attempt, len(low) + number)
        window.record_dispatch(attempt)
    assert not window.admits(make_attempt(rank=0, prompt=1), size)


class TestHeadroom:
    def test_low_tiers_leave_the_reserve_to_the_top(self, monkeypatch):
        check_headroom(make_window(monkeypatch)[0])

    def test_a_mutant_is_caught(self, monkeypatch):
        monkeypatch.setattr(adaptive_window, "reserved_slots", lambda *args: 0)
        with pytest.raises(AssertionError):
            check_headroom(make_window(monkeypatch)[0])

    def test_the_lowest_tier_is_never_kept_out_of_an_idle_target(self, monkeypatch):
        window, _ = make_window(monkeypatch, RULES._replace(reserved_shares=(1.0, 1.0, 0.0)))
        assert window.admits(make_attempt(rank=2), 0)

    def test_long_attempts_hold_half_of_the_slots_at_most(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        for _ in range(window.size // 2):
            assert window.has_long_slot()
            window.record_dispatch(make_attempt(is_long=True, prompt=1))
        assert not window.has_long_slot()

    def test_a_rank_from_the_wire_is_bounded(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        for rank in (-1, 2**31 - 1):
            attempt = make_attempt(rank=rank)
            window.admits(attempt, 3)
            window.record_dispatch(attempt)
        assert len(window._running_by_rank) == MAX_RANKS


class TestPrefillRate:
    def test_short_prompts_can_only_raise_it(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        window.admits(make_attempt(), 0)
        attempt = make_attempt(prompt=10)
        window.record_dispatch(attempt)
        window.observe_first_token(attempt, 5_000)
        assert window.prefill_tokens_per_s == RULES.prefill_tokens_per_s

    def test_short_prompts_correct_a_rate_learned_from_a_stopped_engine(self, monkeypatch):
        window, _ = make_window(monkeypatch)
        for prompt, elapsed_ms in [(3_000, 60_000)] * 30 + [(200, 100)] * 30:
            attempt = make_attempt(prompt=prompt)
            window.record_dispatch(attempt)
            window.observe_first_token(attempt, elapsed_ms)
        assert window.prefill_tokens_per_s > 1_900
