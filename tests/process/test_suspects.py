"""Tests that requests that crash targets are blocked, and concurrent requests are not."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.admission import admit_offer
from guavawalk.process.suspects import (
    PAIR_DELAY_S,
    SETTLE_S,
    SuspectTable,
    create_suspect_table,
)
from guavawalk.process.target_ends import SUSPECT_RETENTION_S, hash_target
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import asante_plan
from tests.process.sidecar.test_admission_overload import make_offer, with_sidecar
from tests.virtual import run_virtually

CRASHING = "crash the engine"
RESTART_S = 0.2
# Time for suspicions to reach all processes: peers poll every 2 s, over at most three hops here.
SPREAD_S = 8.0


class FixedClock:
    def __init__(self):
        self.at_s = 0.0

    def now_s(self):
        return self.at_s


class TestSuspectTable:
    def test_deaths_of_two_distinct_targets_block(self):
        table = create_suspect_table(FixedClock())
        table.record_target_death(7, "a")
        table.record_target_death(7, "a")
        assert table.is_suspect(7) and not table.is_blocked(7)
        table.record_target_death(7, "b")
        assert table.is_blocked(7)

    def test_entry_expires_and_can_be_cleared(self):
        clock = FixedClock()
        table = create_suspect_table(clock)
        table.record_target_death(7, "a")
        table.record_target_death(8, "a")
        assert table.clear(8) and not table.clear(8)
        clock.at_s = SUSPECT_RETENTION_S + 1
        assert not table.is_suspect(7)

    @given(st.lists(st.tuples(st.integers(1, 30), st.sampled_from("abcdef")), max_size=60))
    def test_stays_bounded_and_spreads_what_it_holds(self, deaths):
        table = create_suspect_table(FixedClock(), max_suspects=8)
        peer = create_suspect_table(FixedClock(), max_suspects=8)
        for fingerprint, target in deaths:
            table.record_target_death(fingerprint, target)
        peer.merge(table.newest_pairs())
        assert len(table) <= 8
        newest = {fingerprint for fingerprint, _ in deaths[-1:]}
        assert all(peer.is_blocked(f) == table.is_blocked(f) for f in newest)


class TestTablesOfGateways:
    """Several suspects may run at a target at a time."""

    def make_tables(self, count=2):
        clock = FixedClock()
        return clock, [create_suspect_table(clock, runs_one_suspect=False) for _ in range(count)]

    def tell(self, sender, receiver, *fingerprints):
        return receiver.merge_news([sender.news_of(fingerprint) for fingerprint in fingerprints])

    def test_two_early_deaths_block_once_peers_could_have_told_of_others(self):
        clock, (table,) = self.make_tables(1)
        table.record_target_death(7, "a")
        table.record_target_death(7, "b")
        assert not table.is_blocked(7) and table.settles_in_s(7) == SETTLE_S
        clock.at_s = SETTLE_S
        assert table.is_blocked(7) and table.settles_in_s(7) == 0.0

    def test_two_deaths_at_one_moment_may_have_a_common_cause_and_three_may_not(self):
        clock, (table,) = self.make_tables(1)
        for at_s, target in ((0.0, "a"), (0.1, "b")):
            table.record_target_death(7, target, at_s)
        clock.at_s = 1.0
        assert table.is_blocked(7) and table.may_have_common_cause(7)
        table.record_target_death(7, "c", 0.2)
        assert table.is_blocked(7) and not table.may_have_common_cause(7)

    def test_deaths_that_something_else_explains_do_not_block(self):
        clock, (table,) = self.make_tables(1)
        for target in "abc":
            table.record_target_death(7, target)
        assert table.is_blocked(7) and not table.is_blocked(7, {hash_target("a")})

    def test_third_death_blocks_at_once_also_in_the_middle_of_runs(self):
        _, (table,) = self.make_tables(1)
        for target in "ab":
            table.record_target_death(7, target, is_early=False)
        assert not table.is_blocked(7) and not table.settles_in_s(7)
        table.record_target_death(7, "c", is_early=False)
        assert table.is_blocked(7)

    def test_requests_in_flight_at_the_same_two_deaths_wait_for_the_third(self):
        clock, (table,) = self.make_tables(1)
        for target in "ab":
            table.record_target_death(7, target)
            table.record_target_death(8, target)
        clock.at_s = 1.0
        assert not table.is_blocked(7) and not table.is_blocked(8)
        table.record_target_death(7, "c")
        assert table.is_blocked(7) and not table.is_blocked(8)

    def test_targets_that_die_together_do_not_block_a_request_that_was_at_one_of_them(self):
        clock, (table,) = self.make_tables(1)
        for at_s, target, other in ((0.0, "a", "b"), (5.0, "c", "d")):
            table.record_target_death(7, target, at_s)
            table.record_target_death(8, other, at_s + 0.1)
        clock.at_s = 9.0
        assert not table.is_blocked(7) and not table.is_blocked(8)
        table.record_target_death(7, "e")
        assert table.is_blocked(7) and not table.is_blocked(8)

    def test_targets_that_die_one_after_the_other_of_one_request_block_it(self):
        clock, (table,) = self.make_tables(1)
        for at_s, target in ((0.0, "a"), (0.1, "b")):
            for fingerprint in (7, 100 + ord(target)):
                table.record_target_death(fingerprint, target, at_s)
        clock.at_s = 9.0
        assert table.is_blocked(7)

    def test_completion_of_one_of_two_tells_which_request_crashes_targets(self):
        clock, (table, peer) = self.make_tables()
        for target in "ab":
            table.record_target_death(7, target)
            table.record_target_death(8, target)
        clock.at_s = 1.0
        self.tell(table, peer, 7, 8)
        peer.record_completed(8)
        clock.at_s = 2.0
        assert self.tell(peer, table, 8) == [8]
        assert table.is_blocked(7) and not table.is_suspect(8)

    def test_death_after_a_completion_counts_whoever_tells_of_it(self):
        clock, (table, peer) = self.make_tables()
        table.record_target_death(7, "a")
        clock.at_s = 1.0
        table.record_completed(7)
        clock.at_s = 2.0
        peer.record_target_death(7, "b")
        peer.record_target_death(7, "c")
        clock.at_s = 3.0
        assert self.tell(peer, table, 7) == [7]
        clock.at_s = 4.0
        assert table.is_blocked(7)

    def test_completed_request_is_no_suspect_where_it_was_not_known(self):
        clock, (table, peer) = self.make_tables()
        table.record_target_death(7, "a")
        clock.at_s = 1.0
        table.record_completed(7)
        self.tell(table, peer, 7)
        assert not peer.is_suspect(7)

    def test_death_before_a_completion_does_not_count_however_late_it_is_told(self):
        clock, (table, peer) = self.make_tables()
        peer.record_target_death(7, "a")
        peer.record_target_death(7, "b")
        clock.at_s = 1.0
        table.record_target_death(7, "c")
        clock.at_s = 2.0
        table.record_completed(7)
        clock.at_s = 300.0
        self.tell(peer, table, 7)
        assert not table.is_suspect(7)

    def test_news_that_is_known_is_not_new(self):
        clock, (table, peer) = self.make_tables()
        table.record_target_death(7, "a")
        assert self.tell(table, peer, 7) == [7]
        clock.at_s = 5.0
        assert self.tell(table, peer, 7) == self.tell(peer, table, 7) == []

    def test_request_with_most_deaths_is_told_first_among_many(self):
        clock, (table,) = self.make_tables(1)
        for target in "ab":
            table.record_target_death(7, target)
        for fingerprint in range(100, 200):
            table.record_target_death(fingerprint, "c")
        assert table.most_suspected(16)[0] == 7
        clock.at_s = 60.0
        assert table.most_suspected(16) == [7]

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["death", "completed", "tell"]),
                st.integers(1, 4),
                st.sampled_from("abcd"),
                st.floats(0.0, 2.0),
            ),
            max_size=40,
        )
    )
    def test_tables_agree_once_all_have_told_all(self, steps):
        clock, tables = self.make_tables(3)
        for number, step, fingerprint, target, pause_s in steps:
            clock.at_s += 0.01 + pause_s
            table = tables[number]
            if step == "death":
                table.record_target_death(fingerprint, target)
            elif step == "completed":
                table.record_completed(fingerprint)
            elif table.news_of(fingerprint):
                self.tell(table, tables[number - 1], fingerprint)
        clock.at_s += 1.0
        known = {fingerprint for _, _, fingerprint, _, _ in steps}
        for _ in range(2):
            for sender in tables:
                for receiver in tables:
                    news = filter(None, map(sender.news_of, known))
                    receiver.merge_news(list(news))
        clock.at_s += 1.0
        for fingerprint in known:
            assert len({table.is_blocked(fingerprint) for table in tables}) == 1
            assert len({table.is_suspect(fingerprint) for table in tables}) == 1


async def resend_crashing(fleet, times, beside=0):
    """Send the crashing request several times, each with `beside` other concurrent requests."""
    plan = fleet.plan
    outcomes, others = [], []
    for engine in fleet.engines.values():
        engine.faults.crash_on.add(CRASHING)

    async def send(text, into, centre):
        work = fleet.work("weavers", "quick", text, 200, "weaver", entry=centre)
        into.append((text, (await fleet.send(centre, work)).outcome))

    for round_number in range(times):
        centre = plan.entries[round_number % len(plan.entries)]
        async with anyio.create_task_group() as tasks:
            for number in range(beside):
                tasks.start_soon(send, f"other {number}", others, centre)
            await anyio.sleep(0.05)
            tasks.start_soon(send, CRASHING, outcomes, centre)
        await anyio.sleep(RESTART_S)
        for engine in fleet.engines.values():
            engine.restart()
        await anyio.sleep(SPREAD_S)
    return outcomes, others


def run_crashing(times, beside, engines=10):
    plan = asante_plan()
    services = [target for target in plan.targets if target.service]
    plan = plan._replace(targets=(*plan.targets[:engines], *services))

    async def scenario():
        async with run_fleet(plan) as fleet:
            fleet.publish_instances()
            await anyio.sleep(SPREAD_S)
            outcomes, others = await resend_crashing(fleet, times, beside)
            crashed = {
                name
                for name, engine in fleet.engines.items()
                if any(run.prompt.startswith(CRASHING) for run in engine.runs)
            }
            return [outcome.code for _, outcome in outcomes], crashed, others

    return run_virtually(scenario)


class TestCrashingRequest:
    def test_is_refused_after_two_distinct_targets_crashed(self):
        codes, crashed, _ = run_crashing(times=8, beside=0)
        assert len(crashed) == 2
        assert codes[-1] is ResultCode.CRASH_SUSPECT
        first = codes.index(ResultCode.CRASH_SUSPECT)
        assert set(codes[first:]) == {ResultCode.CRASH_SUSPECT}

    def test_mutant_that_blocks_nothing_is_detected(self, monkeypatch):
        monkeypatch.setattr(SuspectTable, "is_blocked", lambda self, fingerprint: False)
        with pytest.raises(AssertionError):
            self.test_is_refused_after_two_distinct_targets_crashed()


class TestConcurrentRequest:
    def test_request_concurrent_with_the_crashing_one_is_not_blocked(self):
        codes, _, others = run_crashing(times=6, beside=8, engines=2)
        codes_of_others = {outcome.code for _, outcome in others}
        assert ResultCode.CRASH_SUSPECT in codes
        assert ResultCode.TARGET_CRASHED in codes_of_others
        assert ResultCode.CRASH_SUSPECT not in codes_of_others

    def test_is_cleared_once_it_completes(self):
        table = create_suspect_table(FixedClock())
        table.record_target_death(7, "a")
        table.record_completed(7)
        table.merge((7, 12, 7, 13))
        assert not table.is_suspect(7)
        table.record_target_death(7, "b")
        assert table.is_suspect(7)

    def test_pairs_from_peers_count_again_some_time_after_a_completion(self):
        clock = FixedClock()
        table = create_suspect_table(clock)
        table.record_target_death(7, "a")
        table.record_completed(7)
        clock.at_s = PAIR_DELAY_S + 1
        table.merge((7, 12, 7, 13))
        assert table.is_blocked(7)


class TestIsolation:
    def test_sidecar_accepts_one_suspect_at_a_time(self):
        async def scenario(fleet, sidecar):
            for fingerprint in (1, 2):
                sidecar.suspects.record_target_death(fingerprint, "another target")
            admit_offer(sidecar, make_offer("first", 0)._replace(fingerprint=1))
            with pytest.raises(RequestError) as caught:
                admit_offer(sidecar, make_offer("second", 0)._replace(fingerprint=2))
            admit_offer(sidecar, make_offer("no suspect", 0)._replace(fingerprint=3))
            return caught.value

        error = with_sidecar(scenario)
        assert error.code is ResultCode.SUSPECT_WAITS
        assert error.retry_after_ms > 0
