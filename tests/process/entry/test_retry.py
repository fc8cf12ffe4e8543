"""Retry budgets and back-off, also while an entry can't reach any target."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.entry.retry import (
    MAX_ATTEMPTS,
    MAX_BACKOFF_S,
    MAX_PROCESS_RETRIES,
    RETRIES_PER_REQUEST,
    create_attempt_cap,
    create_retry_budget,
)
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from tests.virtual import run_virtually


def retries_when_all_fails(budget, workspaces):
    spent = 0
    for workspace in workspaces:
        budget.record_request(workspace)
        attempts = 1
        while budget.try_spend(workspace, attempts):
            attempts += 1
            spent += 1
    return spent


class TestBudget:
    @given(st.lists(st.sampled_from("abcdef"), max_size=300))
    def test_retries_are_a_share_of_requests(self, workspaces):
        spent = retries_when_all_fails(create_retry_budget(1), workspaces)
        assert spent <= RETRIES_PER_REQUEST * len(workspaces) + MAX_PROCESS_RETRIES

    def test_one_workspace_does_not_spend_the_retries_of_all(self):
        budget = create_retry_budget(1)
        retries_when_all_fails(budget, ["a"] * 5)
        budget.record_request("b")
        assert budget.try_spend("b", 1)

    @given(st.lists(st.integers(0, 400), max_size=300))
    def test_eviction_from_the_table_earns_no_retries(self, numbers):
        budget = create_retry_budget(1, max_workspaces=5)
        spent = retries_when_all_fails(budget, [str(number) for number in numbers])
        assert spent <= RETRIES_PER_REQUEST * len(numbers) + MAX_PROCESS_RETRIES
        assert len(budget) <= 5

    def test_one_request_is_capped(self):
        assert not create_retry_budget(1).try_spend("a", MAX_ATTEMPTS)


class TestBackoff:
    @given(st.integers(1, 40))
    def test_jitter_covers_the_whole_range_up_to_the_bound(self, attempts):
        budget = create_retry_budget(7)
        drawn = [budget.backoff_s(attempts) for _ in range(200)]
        assert 0 <= min(drawn) < 0.2 * max(drawn)
        assert max(drawn) <= MAX_BACKOFF_S

    def test_first_attempt_does_not_wait(self):
        assert create_retry_budget(7).backoff_s(0) == 0.0


async def attempts_while_cut_off(budget, quarantine) -> tuple[int, int, int]:
    """Send requests through one entry while none of its targets can be reached.

    Returns the number of requests, the number of their attempts, and the code of one more request
    that is sent after the links are restored.
    """
    plan = kestrel_lane_plan()
    async with run_fleet(plan) as fleet:
        node = "entry-victoria"
        entry = fleet.entry("victoria")
        if budget is not None:
            process = fleet.processes[node]
            fleet.processes[node] = process._replace(entry=entry._replace(retries=budget))
        if not quarantine:
            entry.view.record_unreachable = lambda name: None
        for target in plan.targets:
            fleet.fabric.cut(node, f"sidecar-{target.name}")
        callers = []

        async def send(index):
            work = fleet.work("harbour", "onsite", f"glaze {index}?", model="quill")
            callers.append(await fleet.send("victoria", work))

        async with anyio.create_task_group() as tasks:
            for index in range(200):
                tasks.start_soon(send, index)
                await anyio.sleep(0.02)
        await anyio.sleep(60)
        work = fleet.work("harbour", "onsite", "after?", model="quill")
        fleet.fabric.heal()
        recovered = await fleet.send("victoria", work)
        attempts = sum(caller.outcome.attempts for caller in callers)
        return len(callers), attempts, int(recovered.outcome.code)


def assert_no_retry_storm(requests, attempts):
    assert attempts <= requests * (1 + RETRIES_PER_REQUEST) + MAX_PROCESS_RETRIES


class TestRetryStorm:
    @pytest.mark.parametrize("quarantine", [True, False])
    def test_unreachable_targets_cause_no_retry_storm_and_recover(self, quarantine):
        requests, attempts, code = run_virtually(attempts_while_cut_off, None, quarantine)
        assert_no_retry_storm(requests, attempts)
        assert code == 0

    def test_assertion_fails_with_a_budget_that_only_caps_attempts(self):
        requests, attempts, _ = run_virtually(attempts_while_cut_off, create_attempt_cap(), False)
        with pytest.raises(AssertionError):
            assert_no_retry_storm(requests, attempts)
