"""Requests that crash targets, and those that are only beside them."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.admission import admit_offer
from guavawalk.process.suspects import SUSPECT_RETENTION_S, SuspectTable, create_suspect_table
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import asante_plan
from tests.process.sidecar.test_admission_overload import make_offer, with_sidecar
from tests.virtual import run_virtually

CRASHING = "crash the engine"
RESTART_S = 0.2
# Peers poll each other every 2 s, over at most three steps in so small a deployment.
SPREAD_S = 8.0


class FixedClock:
    def __init__(self):
        self.at_s = 0.0

    def now_s(self):
        return self.at_s


class TestSuspectTable:
    def test_two_distinct_targets_block(self):
        table = create_suspect_table(FixedClock())
        table.record_target_death(7, "a")
        table.record_target_death(7, "a")
        assert table.is_suspect(7) and not table.is_blocked(7)
        table.record_target_death(7, "b")
        assert table.is_blocked(7)

    def test_is_forgotten_after_a_while_and_on_request(self):
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


async def resend_crashing(fleet, times, beside=0):
    """Send the crashing request again and again, with other requests beside it each time."""
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


def run_story(times, beside, engines=10):
    plan = asante_plan()
    ledgers = [target for target in plan.targets if target.service]
    plan = plan._replace(targets=(*plan.targets[:engines], *ledgers))

    async def story():
        async with run_fleet(plan) as fleet:
            fleet.list_instances()
            await anyio.sleep(SPREAD_S)
            outcomes, others = await resend_crashing(fleet, times, beside)
            crashed = {
                name
                for name, engine in fleet.engines.items()
                if any(run.prompt.startswith(CRASHING) for run in engine.runs)
            }
            return [outcome.code for _, outcome in outcomes], crashed, others

    return run_virtually(story)


class TestCrashingRequest:
    def test_is_refused_after_the_second_distinct_target(self):
        codes, crashed, _ = run_story(times=8, beside=0)
        assert len(crashed) == 2
        assert codes[-1] is ResultCode.CRASH_SUSPECT
        first = codes.index(ResultCode.CRASH_SUSPECT)
        assert set(codes[first:]) == {ResultCode.CRASH_SUSPECT}

    def test_a_mutant_that_blocks_nothing_is_caught(self, monkeypatch):
        monkeypatch.setattr(SuspectTable, "is_blocked", lambda self, fingerprint: False)
        with pytest.raises(AssertionError):
            self.test_is_refused_after_the_second_distinct_target()


class TestConcurrentRequest:
    def test_beside_the_crashing_one_is_not_blocked(self):
        codes, _, others = run_story(times=6, beside=8, engines=2)
        told = {outcome.code for _, outcome in others}
        assert ResultCode.CRASH_SUSPECT in codes
        assert ResultCode.TARGET_CRASHED in told
        assert ResultCode.CRASH_SUSPECT not in told

    def test_is_cleared_once_it_completes(self):
        table = create_suspect_table(FixedClock())
        table.record_target_death(7, "a")
        table.record_completed(7)
        table.merge((7, 12, 7, 13))
        assert not table.is_suspect(7)
        table.record_target_death(7, "b")
        assert table.is_suspect(7)


class TestIsolation:
    def test_one_suspect_at_a_time_is_taken(self):
        async def story(fleet, sidecar):
            for fingerprint in (1, 2):
                sidecar.suspects.record_target_death(fingerprint, "another target")
            admit_offer(sidecar, make_offer("first", 0)._replace(fingerprint=1))
            with pytest.raises(RequestError) as caught:
                admit_offer(sidecar, make_offer("second", 0)._replace(fingerprint=2))
            admit_offer(sidecar, make_offer("no suspect", 0)._replace(fingerprint=3))
            return caught.value

        error = with_sidecar(story)
        assert error.code is ResultCode.SUSPECT_WAITS
        assert error.retry_after_ms > 0
