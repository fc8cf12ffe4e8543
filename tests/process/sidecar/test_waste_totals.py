"""Totals of wasted prompt tokens, and the waste of single attempts at a complete sidecar."""

from collections import Counter

import anyio
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.process.observe.heaviest import HeaviestKeys
from guavawalk.process.sidecar.waste_totals import create_waste_totals
from guavawalk.request.prompt import prefix_hashes
from guavawalk.request.types import Usage
from guavawalk.request.waste import Prefill, Waste, WasteCause, waste_of
from tests.process.sidecar.test_admission_overload import make_offer, with_sidecar

RECORDS = st.lists(st.tuples(st.integers(0, 12), st.integers(1, 500)), max_size=60)
BOUND = 4


def check_bounds(records):
    totals, exact = create_waste_totals(BOUND), Counter()
    for workspace, tokens in records:
        totals.record(f"w{workspace}", 0, (Waste(WasteCause.CRASH, tokens),))
        exact[f"w{workspace}"] += tokens
    report = totals.report()
    total = sum(exact.values())
    assert sum(row.tokens for row in report.rows) == total
    assert sum(w.least_tokens for w in report.workspaces) + report.rest_tokens == total
    assert len(report.workspaces) <= BOUND
    for row in report.workspaces:
        assert row.least_tokens <= exact[row.workspace] <= row.most_tokens
    listed = {row.workspace for row in report.workspaces}
    assert {name for name, tokens in exact.items() if tokens > total / BOUND} <= listed


class TestWasteTotals:
    @given(RECORDS)
    def test_bounds_hold_and_the_heaviest_are_listed(self, records):
        check_bounds(records)

    def test_a_mutant_is_caught(self, monkeypatch):
        def keep_the_first(self, key, amount=1):
            if key in self._weights or len(self._weights) < self._slots:
                add(self, key, amount)

        add = HeaviestKeys.add
        monkeypatch.setattr(HeaviestKeys, "add", keep_the_first)
        with pytest.raises(AssertionError):
            settings(phases=[Phase.generate])(given(RECORDS)(check_bounds))()

    def test_29_000_workspaces_take_the_room_of_256(self):
        totals = create_waste_totals()
        for number in range(29_000):
            totals.record(f"w{number}", 0, (Waste(WasteCause.EVICTED, 1),))
        assert len(totals.report().workspaces) == 256


class TestWasteOf:
    @pytest.mark.parametrize(
        ("code", "usage", "prefill", "expected"),
        [
            (ResultCode.TARGET_CRASHED, Usage(100, 40, 1), Prefill(90), ("crash", 60)),
            (ResultCode.CANCELLED, Usage(), Prefill(90, 30), ("cancel", 60)),
            (
                ResultCode.CANCELLED,
                Usage(),
                Prefill(90, has_first_token=False, max_computed_tokens=20),
                ("cancel", 20),
            ),
            (ResultCode.COMPLETED, Usage(100, 0, 1), Prefill(100, seen_tokens=64), ("evicted", 64)),
            (
                ResultCode.COMPLETED,
                Usage(100, 0, 1),
                Prefill(100, cached_elsewhere_tokens=64),
                ("cache_miss", 64),
            ),
            (ResultCode.COMPLETED, Usage(100, 64, 1), Prefill(100, 64, 64, 64), None),
            (ResultCode.TARGET_UNREACHABLE, Usage(), Prefill(100), None),
        ],
    )
    def test_cause_and_tokens(self, code, usage, prefill, expected):
        found = waste_of(code, usage, prefill)
        assert ((found[0].cause.value, found[0].tokens) if found else None) == expected


def offer_of(name, text, **fields):
    hashes = prefix_hashes("quill", text)
    return make_offer(name, 0, **fields)._replace(
        body=text.encode(), prompt_tokens=len(text) // 4, prefix_hashes=hashes
    )


async def run_offer(sidecar, offer, leave_after_s=None):
    from guavawalk.connection.tasks.dispatch import run_attempt
    from guavawalk.process.sidecar.admission import admit_offer, withdraw_attempt

    attempt, _ = admit_offer(sidecar, offer)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_attempt, sidecar, attempt)
        if leave_after_s is not None:
            await anyio.sleep(leave_after_s)
            withdraw_attempt(sidecar, attempt, cancel=True)
    return attempt


TEXT = "g" * 4_096


class TestAccounting:
    def test_the_second_of_a_prefix_is_cached_and_wastes_nothing(self):
        async def story(fleet, sidecar):
            await anyio.sleep(1)
            await run_offer(sidecar, offer_of("one", TEXT))
            return await run_offer(sidecar, offer_of("two", TEXT))

        attempt = with_sidecar(story)
        assert attempt.cached_tokens == attempt.usage.cached_tokens == 1_024
        assert attempt.waste == ()

    def test_what_the_engine_evicted_is_recorded(self):
        async def story(fleet, sidecar):
            await anyio.sleep(1)
            await run_offer(sidecar, offer_of("one", TEXT))
            fleet.engines["engine-0"].cache.clear()
            await run_offer(sidecar, offer_of("two", TEXT))
            return sidecar.waste.report()

        report = with_sidecar(story)
        assert [tuple(row) for row in report.rows] == [(WasteCause.EVICTED, 0, 1_024)]
        assert report.computed_tokens == 2_048
        assert report.workspaces[0].workspace == "harbour"

    def test_a_caller_that_leaves_wastes_the_prompt(self):
        async def story(fleet, sidecar):
            await anyio.sleep(1)
            return await run_offer(sidecar, offer_of("one", TEXT, output=4_000), 2.0)

        attempt = with_sidecar(story)
        assert attempt.code is ResultCode.CANCELLED
        assert attempt.waste == (Waste(WasteCause.CANCEL, 1_024),)

    def test_a_crash_wastes_the_prompt_and_the_cache(self):
        async def story(fleet, sidecar):
            await anyio.sleep(1)
            await run_offer(sidecar, offer_of("one", TEXT))
            fleet.engines["engine-0"].faults.crash_on.add("boom")
            attempt = await run_offer(sidecar, offer_of("two", TEXT + "boom" * 1_000))
            return attempt, sidecar.prefixes.total_cached_tokens

        attempt, total_cached_tokens = with_sidecar(story)
        assert attempt.waste[0].cause is WasteCause.CRASH
        assert 900 <= attempt.wasted_tokens <= 1_000
        assert total_cached_tokens == 0


class TestCacheEvents:
    def test_what_the_engine_evicts_is_learned(self):
        async def story(fleet, sidecar):
            await anyio.sleep(1)
            await run_offer(sidecar, offer_of("one", TEXT))
            engine = fleet.engines["engine-0"]
            for block in list(engine.cache):
                del engine.cache[block]
                engine._record(False, block)
            await anyio.sleep(2)
            return sidecar.prefixes, (await run_offer(sidecar, offer_of("two", TEXT)))

        prefixes, attempt = with_sidecar(story)
        assert prefixes.last_sequence == 32
        assert attempt.cached_tokens == 0
        assert attempt.waste == (Waste(WasteCause.EVICTED, 1_024),)
