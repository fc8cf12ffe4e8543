from guavawalk.process.gateway.targets import create_target_table
from guavawalk.process.gateway.tracked_target import CutCall
from tests.gateway_calls import make_call, make_parts, make_registration


def table_of(*registrations):
    table = create_target_table()
    for registration in registrations:
        table.put(registration)
    return table


def usable(table, now_s=0.0, tried_ids=(), call=None):
    snapshots = table.snapshots(call or make_call(), False, tried_ids, now_s)
    return [snapshot.target_id for snapshot in snapshots]


class TestPause:
    def test_doubles_with_each_failed_trial_up_to_a_maximum(self):
        target = table_of(make_registration("i-1")).get("i-1")
        ends = []
        for now_s in (1.0, 1.05, 2.0, 3.0, 4.0, 5.0):
            target.record_connect_failure(now_s)
            ends.append(round(target.paused_until_s - now_s, 2))
        assert ends == [0.15, 0.1, 0.3, 0.6, 0.8, 0.8]

    def test_starts_at_the_minimum_again_after_an_answer(self):
        target = table_of(make_registration("i-1")).get("i-1")
        target.record_connect_failure(1.0)
        target.record_connect_failure(2.0)
        target.record_answer_start(3.0)
        target.record_connect_failure(4.0)
        assert target.paused_until_s == 4.15

    def test_one_call_at_a_time_until_one_is_answered(self):
        target = table_of(make_registration("i-1")).get("i-1")
        target.record_connect_failure(1.0)
        assert not target.accepts_calls(1.1)
        assert target.accepts_calls(1.2)
        target.begin(make_call(), 1.2, 1.0)
        assert not target.accepts_calls(1.3)
        target.record_answer_start(1.3)
        assert target.accepts_calls(1.3)


class TestTargetTable:
    def test_only_ready_targets_of_the_service(self):
        table = table_of(
            make_registration("i-1"),
            make_registration("i-2", draining=True),
            make_registration("i-3", service="other"),
            make_registration("i-4"),
        )
        assert usable(table) == ["i-1", "i-4"]
        assert usable(table, tried_ids=["i-1"]) == ["i-4"]

    def test_target_without_entry_is_removed(self):
        table = table_of(make_registration("i-1"))
        assert table.remove("i-1", 0.0, has_lapsed=False)
        assert usable(table) == []
        assert not table.remove("i-1", 0.0, has_lapsed=False)

    def test_target_of_a_lapsed_entry_is_used_for_some_time(self):
        table = table_of(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        assert usable(table, 11.0) == ["i-1"]
        assert usable(table, 12.0) == []
        assert table.expire(12.0) == ["i-1"]

    def test_use_after_a_lapsed_entry_grows_with_the_drain_time(self):
        table = create_target_table(drain_s=4.0)
        table.put(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        assert table.expire(12.9) == []
        assert table.expire(13.0) == ["i-1"]

    def test_target_whose_entry_returns_is_used_again(self):
        table = table_of(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        table.put(make_registration("i-1"))
        assert usable(table, 100.0) == ["i-1"]

    def test_draining_target_of_a_lapsed_entry_is_removed(self):
        table = table_of(make_registration("i-1", draining=True))
        table.remove("i-1", 0.0, has_lapsed=True)
        assert table.get("i-1") is None

    def test_new_start_under_the_same_id_discards_observations(self):
        table = table_of(make_registration("i-1", started_at_ms=1))
        table.get("i-1").record_cached_parts(make_parts(("p", 10)), 0.0)
        table.put(make_registration("i-1", started_at_ms=2))
        assert table.get("i-1").cached_tokens(make_parts(("p", 10)), 0.0) == 0

    def test_later_entry_of_the_same_start_keeps_the_observations(self):
        table = table_of(make_registration("i-1", started_at_ms=1))
        target = table.get("i-1")
        assert table.put(make_registration("i-1", started_at_ms=1, draining=True))
        assert table.get("i-1") is target
        assert not table.put(make_registration("i-1", started_at_ms=1, draining=True))

    def test_long_sent_parts_are_popped_once(self):
        table = create_target_table()
        table.record_sent_parts("i-1", make_parts(("short", 60), ("long", 6_000)))
        assert table.pop_sent_parts(8) == (("i-1", "long"),)
        assert table.pop_sent_parts(8) == ()


class TestTrackedTarget:
    def test_counts_a_call_until_it_ends(self):
        target = table_of(make_registration()).get("i-1")
        running = target.begin(make_call(prompt_tokens=500), 0.0, 1.0)
        assert (target.running, target.prefill_tokens) == (1, 500)
        target.record_first_event(running, 0.5)
        assert (target.running, target.prefill_tokens) == (1, 0)
        target.end(running)
        assert (target.running, target.prefill_tokens) == (0, 0)

    def test_end_counts_once(self):
        target = table_of(make_registration()).get("i-1")
        running = target.begin(make_call(prompt_tokens=500), 0.0, 1.0)
        target.end(running)
        target.end(running)
        assert (target.running, target.prefill_tokens) == (0, 0)

    def test_is_overdue_until_the_first_event(self):
        target = table_of(make_registration()).get("i-1")
        running = target.begin(make_call(), 0.0, 1.0)
        assert (target.overdue_calls(0.9), target.overdue_calls(1.1)) == (0, 1)
        target.record_first_event(running, 1.2)
        assert target.overdue_calls(1.3) == 0

    def test_cached_prefix_is_a_run_of_leading_parts(self):
        target = table_of(make_registration()).get("i-1")
        target.record_cached_parts(make_parts(("a", 60), ("c", 100)), 0.0)
        assert target.cached_tokens(make_parts(("a", 60), ("b", 10), ("c", 100)), 1.0) == 60
        assert target.cached_tokens(make_parts(("a", 60), ("c", 100)), 1.0) == 160
        assert target.cached_tokens(make_parts(("a", 60)), 1000.0) == 0


class TestCutCalls:
    def make_target(self, *cut_calls):
        target = table_of(make_registration()).get("i-1")
        for cut in cut_calls:
            target.record_cut_call(cut)
        return target

    def test_are_returned_once_when_the_target_has_ended(self):
        cut = CutCall(1, 0.0, True, True)
        target = self.make_target(cut)
        assert target.pop_cut_calls(5.0, True) == (cut,)
        assert target.pop_cut_calls(5.0, True) == ()

    def test_expire(self):
        target = self.make_target(CutCall(1, 0.0, True, True), CutCall(2, 10.0, True, True))
        assert [cut.fingerprint for cut in target.pop_cut_calls(35.0, True)] == [2]

    def test_calls_that_were_given_up_are_returned_only_if_asked_for(self):
        cut = CutCall(1, 0.0, True, was_closed=False)
        assert self.make_target(cut).pop_cut_calls(1.0, must_be_closed=True) == ()
        assert self.make_target(cut).pop_cut_calls(1.0, must_be_closed=False) == (cut,)

    def test_are_forgotten_once_a_call_that_began_before_goes_on(self):
        target = self.make_target()
        running = target.begin(make_call(), 0.0, 1.0)
        target.record_cut_call(CutCall(1, 1.0, True, True))
        target.record_life(running, 5.0)
        assert target.pop_cut_calls(5.0, True) == ()

    def test_bytes_that_were_sent_before_a_crash_do_not_show_that_the_target_lives(self):
        target = self.make_target()
        running = target.begin(make_call(), 0.0, 1.0)
        target.record_cut_call(CutCall(1, 1.0, True, True))
        target.record_life(running, 1.05)
        assert len(target.pop_cut_calls(2.0, True)) == 1

    def test_answer_of_a_later_start_does_not_show_that_the_target_lived_on(self):
        target = self.make_target(CutCall(1, 1.0, True, True))
        running = target.begin(make_call(), 4.0, 1.0)
        target.record_life(running, 4.2)
        assert len(target.pop_cut_calls(5.0, True)) == 1

    def test_run_is_early_until_some_time_after_its_first_event(self):
        target = self.make_target()
        running = target.begin(make_call(), 0.0, 1.0)
        assert running.is_early(9.0)
        target.record_first_event(running, 10.0)
        assert running.is_early(10.1) and not running.is_early(10.5)


class TestReplacedBy:
    def replaced(self, known, registration):
        return [
            target.registration.target_id for target in table_of(known).replaced_by(registration)
        ]

    def test_earlier_start_under_the_same_id(self):
        known = make_registration("i-1", started_at_ms=1)
        assert self.replaced(known, make_registration("i-1", started_at_ms=2)) == ["i-1"]
        assert self.replaced(known, make_registration("i-1", started_at_ms=1, slots=9)) == []

    def test_earlier_start_at_the_same_address(self):
        known = make_registration("i-1", started_at_ms=1)
        assert self.replaced(known, make_registration("i-2", started_at_ms=2)) == ["i-1"]
        assert self.replaced(known, make_registration("i-2", address="127.0.0.1:2")) == []

    def test_entry_of_an_earlier_start_that_is_still_listed_replaces_nothing(self):
        known = make_registration("i-2", started_at_ms=2)
        assert self.replaced(known, make_registration("i-1", started_at_ms=1)) == []

    def test_removed_target_is_not_named(self):
        table = table_of(make_registration("i-1", started_at_ms=1))
        table.remove("i-1", 0.0, has_lapsed=False)
        assert table.replaced_by(make_registration("i-2", started_at_ms=2)) == []
