"""What an entry records about targets: prefix caches, answer lengths, failures and load."""

from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.entry.cached import BLOCK_TOKENS, create_cache_view
from guavawalk.process.entry.lengths import MIN_SAMPLES, create_length_estimator
from guavawalk.process.entry.quarantine import MAX_AVOID_S, create_quarantine
from guavawalk.process.entry.view import LEAVING_FOR_S, create_fleet_view
from guavawalk.request.types import LoadReport, Usage
from guavawalk.tools.bench.placement import placement_scene

WORK, _, TARGETS = placement_scene(3, 3, 0)
NAME = TARGETS[0].name


class FakeClock:
    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


class TestCacheView:
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.lists(st.integers(0, 3), max_size=4))))
    def test_equals_a_naive_index(self, sends):
        # The hash of a block covers the whole prefix up to it; here it is the hash of a tuple.
        view = create_cache_view(1_000)
        naive = {}
        for name, path in sends:
            blocks = [hash(tuple(path[: end + 1])) for end in range(len(path))]
            view.record_sent(name, blocks)
            naive.setdefault(name, set()).update(blocks)
        for _, path in sends:
            blocks = [hash(tuple(path[: end + 1])) for end in range(len(path))]
            expected = {}
            for name, sent_blocks in naive.items():
                depth = max(
                    (i + 1 for i, block in enumerate(blocks) if block in sent_blocks), default=0
                )
                if depth:
                    expected[name] = depth * BLOCK_TOKENS
            assert view.cached_tokens(blocks) == expected

    def test_is_bounded(self):
        view = create_cache_view(10)
        for block in range(100):
            view.record_sent(f"t{block}", [block])
        assert len(view) == 10

    def test_cache_misses_lower_the_estimate(self):
        view = create_cache_view()
        view.record_sent("a", [1, 2])
        for _ in range(30):
            view.record_usage("a", 2 * BLOCK_TOKENS, Usage(200, 0, 5))
        assert view.cached_tokens([1, 2])["a"] < BLOCK_TOKENS


class TestLengths:
    def test_estimate_never_exceeds_the_callers_bound(self):
        lengths = create_length_estimator()
        work = WORK._replace(expected_output_tokens=500, max_output_tokens=80)
        assert lengths.with_expected_length(work).expected_output_tokens == 500
        for _ in range(MIN_SAMPLES):
            lengths.record(work, 100)
        assert lengths.with_expected_length(work).expected_output_tokens == 80
        free = work._replace(max_output_tokens=0)
        assert lengths.with_expected_length(free).expected_output_tokens == 100

    def test_is_bounded(self):
        lengths = create_length_estimator(10)
        for index in range(50):
            lengths.record(WORK._replace(model=f"m{index}"), 5)
        assert len(lengths) == 10

    def test_expected_rest_of_a_running_answer_is_dominated_by_long_answers(self):
        lengths = create_length_estimator()
        for index in range(1_000):
            lengths.record(WORK, 400 if index % 10 == 0 else 4)
        assert lengths.remaining_tokens > 2 * lengths.mean_tokens


class TestQuarantine:
    def test_time_grows_with_each_failure_up_to_the_bound(self):
        quarantine = create_quarantine()
        now_s, waits = 0.0, []
        for _ in range(12):
            quarantine.record_failure(now_s)
            waits.append(quarantine.avoided_until_s - now_s)
            now_s = quarantine.avoided_until_s
        assert waits == sorted(waits)
        assert waits[-1] == MAX_AVOID_S

    def test_admits_one_request_at_a_time_until_one_succeeds(self):
        quarantine = create_quarantine()
        quarantine.record_failure(0.0)
        assert not quarantine.admits(0.5, 0)
        assert quarantine.admits(2.0, 0)
        assert not quarantine.admits(2.0, 1)
        quarantine.record_success()
        assert quarantine.admits(2.0, 1)


class TestFleetView:
    def test_leaving_target_is_avoided_for_a_time(self):
        clock = FakeClock()
        view = create_fleet_view(clock)
        view.record_load(NAME, LoadReport(leaving=True))
        assert not view.target_view(NAME, 1, 0).usable
        clock.time_s += LEAVING_FOR_S
        assert view.target_view(NAME, 1, 0).usable

    def test_own_offers_count_until_the_next_report(self):
        view = create_fleet_view(FakeClock())
        view.record_offer(NAME, WORK)
        assert view.target_view(NAME, 1, 0).own_since_report == 1
        view.record_load(NAME, LoadReport(running=1))
        assert view.target_view(NAME, 1, 0).own_since_report == 0
        assert view.target_view(NAME, 1, 0).own_running == 1

    def test_crash_drops_the_expected_cache(self):
        view = create_fleet_view(FakeClock())
        view.record_offer(NAME, WORK)
        assert NAME in view.for_work(WORK).cached
        view.record_crash(NAME)
        assert NAME not in view.for_work(WORK).cached

    def test_overloaded_target_is_avoided_by_the_refused_tier_and_lower_ones_until_the_retry_time(
        self,
    ):
        clock = FakeClock()
        view = create_fleet_view(clock)
        view.record_load(NAME, LoadReport())
        view.record_overload(NAME, WORK, 300)
        assert [view.target_view(NAME, rank, 0).usable for rank in (0, 1, 2)] == [
            True,
            False,
            False,
        ]
        clock.time_s += 0.3
        assert view.target_view(NAME, 1, 0).usable
