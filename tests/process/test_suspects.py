"""Tests that requests that crash targets are blocked, and concurrent requests are not."""

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
