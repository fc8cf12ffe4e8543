"""Runs a load plan with one policy in virtual time."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

import anyio

from guavawalk.tools.bench.policy import bench_plan, count_waste
from guavawalk.tools.fleet import Fleet, run_fleet
from guavawalk.tools.load.driver import MemoryDriver, create_memory_driver
from guavawalk.tools.load.faults import inject_faults
from guavawalk.tools.load.oracle import check_promises
from guavawalk.tools.load.plan_file import LoadPlan
from guavawalk.tools.load.results import (
    FaultLine,
    PromiseLine,
    RequestLine,
    ResultLine,
    RunLine,
    WasteLine,
)
from guavawalk.tools.virtual_time import run_in_virtual_time

__all__ = ["FinishedRun", "lines_of_run", "run_policy_of_plan"]

# Virtual time for the deployment to become ready, before the load starts.
SETTLE_S = 0.5


class FinishedRun(NamedTuple):
    """The run of one policy, as lines of a results file."""

    run: RunLine
    faults: tuple[FaultLine, ...]
    requests: tuple[RequestLine, ...]
    waste: tuple[WasteLine, ...]
    promises: tuple[PromiseLine, ...]


def run_policy_of_plan(
    plan: LoadPlan, policy: str, report_progress: Callable[[float], None] = lambda at_s: None
) -> FinishedRun:
    """Run a plan with one policy; the same plan and policy give the same results.

    Parameters
    ----------
    report_progress : callable
        Called with the arrival time of each model request, in virtual seconds.

    Raises
    ------
    GuavawalkError
        If trio, a dependency of the tests and of the load tool, is not installed.
    """
    deployment = bench_plan(plan.deployment)
    name = f"{plan.title}, {policy}, seed {plan.seed}"

    async def simulate() -> FinishedRun:
        delay_s = deployment.crossing_ms / 2000
        async with run_fleet(deployment, delay_s=delay_s, placement_name=policy) as fleet:
            await anyio.sleep(SETTLE_S)
            driver = create_memory_driver(plan, name, fleet, report_progress)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(inject_faults, fleet, driver, plan)
                await driver.send_all()
            return _finish(plan, name, policy, fleet, driver)

    return run_in_virtual_time(simulate, plan.seed)


def lines_of_run(finished: FinishedRun) -> Iterator[ResultLine]:
    """Return the lines of a run in the order of a results file."""
    yield finished.run
    yield from finished.faults
    yield from finished.requests
    yield from finished.waste
    yield from finished.promises


def _finish(
    plan: LoadPlan, name: str, policy: str, fleet: Fleet, driver: MemoryDriver
) -> FinishedRun:
    run = RunLine(
        kind="run",
        run=name,
        plan=plan.title,
        policy=policy,
        deployment=plan.deployment,
        seed=plan.seed,
        duration_s=plan.duration_s,
    )
    return FinishedRun(
        run=run,
        faults=tuple(
            FaultLine(kind="fault", run=name, at_s=f.at_s, fault=f.kind, node=f.where)
            for f in plan.faults
        ),
        requests=tuple(driver.lines),
        waste=_waste(name, fleet, driver),
        promises=tuple(
            PromiseLine(
                kind="promise",
                run=name,
                promise=check.promise,
                broken=check.broken,
                detail=check.detail,
            )
            for check in check_promises(fleet, driver)
        ),
    )


def _waste(name: str, fleet: Fleet, driver: MemoryDriver) -> tuple[WasteLine, ...]:
    # Counted from the records of the engines: the counts of a sidecar are lost when it is killed.
    runs = [run for engine in fleet.engines.values() for run in engine.runs]
    completed_prompts = {answer.prompt for answer in driver.model_answers if answer.code == 0}
    repeated, discarded = count_waste(runs, completed_prompts)
    causes = {"repeated": repeated, "discarded": discarded}
    return tuple(
        WasteLine(kind="waste", run=name, cause=cause, prompt_tokens=tokens)
        for cause, tokens in causes.items()
    )
