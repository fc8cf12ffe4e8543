from guavawalk.process.gateway.targets import create_target_table
from tests.gateway_calls import make_call, make_parts, make_registration


def table_of(*registrations):
    table = create_target_table()
    for registration in registrations:
        table.put(registration)
    return table


def usable(table, now_s=0.0, tried=(), call=None):
    conditions = table.conditions(call or make_call(), False, tried, now_s)
    return [condition.target_id for condition in conditions]


class TestPause:
    def test_doubles_with_each_trial_in_vain(self):
        belief = table_of(make_registration("i-1")).get("i-1")
        ends = []
        for now_s in (1.0, 1.05, 2.0, 3.0, 4.0, 5.0):
            belief.note_unreached(now_s)
            ends.append(round(belief.paused_until_s - now_s, 2))
        assert ends == [0.15, 0.1, 0.3, 0.6, 0.8, 0.8]

    def test_is_short_again_after_an_answer(self):
        belief = table_of(make_registration("i-1")).get("i-1")
        belief.note_unreached(1.0)
        belief.note_unreached(2.0)
        belief.note_answer(3.0)
        belief.note_unreached(4.0)
        assert belief.paused_until_s == 4.15

    def test_one_call_at_a_time_until_one_is_answered(self):
        belief = table_of(make_registration("i-1")).get("i-1")
        belief.note_unreached(1.0)
        assert not belief.takes_calls(1.1)
        assert belief.takes_calls(1.2)
        belief.begin(make_call(), 1.2, 1.0)
        assert not belief.takes_calls(1.3)
        belief.note_answer(1.3)
        assert belief.takes_calls(1.3)


class TestTargetTable:
    def test_only_ready_targets_of_the_service(self):
        table = table_of(
            make_registration("i-1"),
            make_registration("i-2", draining=True),
            make_registration("i-3", service="other"),
            make_registration("i-4"),
        )
        assert usable(table) == ["i-1", "i-4"]
        assert usable(table, tried=["i-1"]) == ["i-4"]

    def test_removed_entry(self):
        table = table_of(make_registration("i-1"))
        assert table.remove("i-1", 0.0, has_lapsed=False)
        assert usable(table) == []
        assert not table.remove("i-1", 0.0, has_lapsed=False)

    def test_lapsed_entry_is_trusted_for_a_while(self):
        table = table_of(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        assert usable(table, 11.0) == ["i-1"]
        assert usable(table, 12.0) == []
        assert table.expire(12.0) == ["i-1"]

    def test_trust_in_a_lapsed_entry_grows_with_the_time_that_a_leaving_target_serves(self):
        table = create_target_table(drain_s=4.0)
        table.put(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        assert table.expire(12.9) == []
        assert table.expire(13.0) == ["i-1"]

    def test_lapsed_entry_that_comes_back(self):
        table = table_of(make_registration("i-1"))
        table.remove("i-1", 10.0, has_lapsed=True)
        table.put(make_registration("i-1"))
        assert usable(table, 100.0) == ["i-1"]

    def test_lapsed_entry_of_a_leaving_target_is_gone(self):
        table = table_of(make_registration("i-1", draining=True))
        table.remove("i-1", 0.0, has_lapsed=True)
        assert table.get("i-1") is None

    def test_new_start_under_the_same_id_forgets_what_was_believed(self):
        table = table_of(make_registration("i-1", born_ms=1))
        table.get("i-1").note_parts(make_parts(("p", 10)), 0.0)
        table.put(make_registration("i-1", born_ms=2))
        assert table.get("i-1").cached_tokens(make_parts(("p", 10)), 0.0) == 0

    def test_a_later_entry_of_the_same_start_keeps_it(self):
        table = table_of(make_registration("i-1", born_ms=1))
        belief = table.get("i-1")
        assert table.put(make_registration("i-1", born_ms=1, draining=True))
        assert table.get("i-1") is belief
        assert not table.put(make_registration("i-1", born_ms=1, draining=True))

    def test_told_parts_are_the_long_ones_once(self):
        table = create_target_table()
        table.note_sent("i-1", make_parts(("short", 60), ("long", 6_000)))
        assert table.take_sent_parts(8) == (("i-1", "long"),)
        assert table.take_sent_parts(8) == ()


class TestTargetBelief:
    def test_counts_a_call_until_it_ends(self):
        belief = table_of(make_registration()).get("i-1")
        running = belief.begin(make_call(prompt_tokens=500), 0.0, 1.0)
        assert (belief.running, belief.prefill_tokens) == (1, 500)
        belief.note_first(running, 0.5)
        assert (belief.running, belief.prefill_tokens) == (1, 0)
        belief.end(running)
        assert (belief.running, belief.prefill_tokens) == (0, 0)

    def test_end_counts_once(self):
        belief = table_of(make_registration()).get("i-1")
        running = belief.begin(make_call(prompt_tokens=500), 0.0, 1.0)
        belief.end(running)
        belief.end(running)
        assert (belief.running, belief.prefill_tokens) == (0, 0)

    def test_overdue_until_the_first_event(self):
        belief = table_of(make_registration()).get("i-1")
        running = belief.begin(make_call(), 0.0, 1.0)
        assert (belief.overdue(0.9), belief.overdue(1.1)) == (0, 1)
        belief.note_first(running, 1.2)
        assert belief.overdue(1.3) == 0

    def test_cached_prefix_is_a_run_of_leading_parts(self):
        belief = table_of(make_registration()).get("i-1")
        belief.note_parts(make_parts(("a", 60), ("c", 100)), 0.0)
        assert belief.cached_tokens(make_parts(("a", 60), ("b", 10), ("c", 100)), 1.0) == 60
        assert belief.cached_tokens(make_parts(("a", 60), ("c", 100)), 1.0) == 160
        assert belief.cached_tokens(make_parts(("a", 60)), 1000.0) == 0

    def test_suspects_are_the_calls_cut_off_lately(self):
        belief = table_of(make_registration()).get("i-1")
        belief.note_lost(1, 0.0)
        belief.note_lost(2, 10.0)
        assert belief.take_crash_suspects(10.5) == (2,)
        assert belief.take_crash_suspects(10.5) == ()
