"""The promises, checked after a run against what the targets really ran."""

from collections import Counter
from typing import NamedTuple

from guavawalk.tools.fleet import Fleet
from guavawalk.tools.load.driver import MemoryDriver, is_reported_completed, is_reported_not_run

__all__ = ["PromiseCheck", "check_promises"]

SHOWN = 5
SHOWN_CHARS = 40


class PromiseCheck(NamedTuple):
    """One promise, and how often it was broken."""

    promise: str
    broken: int
    detail: str


def check_promises(fleet: Fleet, driver: MemoryDriver) -> tuple[PromiseCheck, ...]:
    """Compare what callers were told with what engines and services ran."""
    runs = Counter(run.prompt for engine in fleet.engines.values() for run in engine.runs)
    calls = Counter()
    for service in fleet.services.values():
        calls.update(service.run_counts)
    return (
        _check("a model request is dispatched at most once", _dispatched_twice(runs, driver)),
        _check("what was told not run did not run", _ran_though_told_not(runs, driver)),
        _check("a completed answer is whole and the request's own", _not_whole(driver)),
        _check("a call with one ticket runs at most once", [r for r, n in calls.items() if n > 1]),
        _check("a call's caller is told the truth", _calls_told_wrongly(calls, driver)),
    )


def _check(promise: str, cases: list[str]) -> PromiseCheck:
    shown = ", ".join(case[-SHOWN_CHARS:].strip() for case in cases[:SHOWN])
    return PromiseCheck(promise, len(cases), shown)


def _dispatched_twice(runs: Counter[str], driver: MemoryDriver) -> list[str]:
    sent = Counter(answer.prompt for answer in driver.model_answers)
    return [prompt for prompt, count in runs.items() if count > sent[prompt]]


def _ran_though_told_not(runs: Counter[str], driver: MemoryDriver) -> list[str]:
    may_have_run = Counter(
        a.prompt for a in driver.model_answers if not is_reported_not_run(a.code)
    )
    told = {answer.prompt for answer in driver.model_answers if is_reported_not_run(answer.code)}
    return [prompt for prompt in told if runs[prompt] > may_have_run[prompt]]


def _not_whole(driver: MemoryDriver) -> list[str]:
    return [
        answer.prompt
        for answer in driver.model_answers
        if is_reported_completed(answer.code) and not answer.is_complete
    ]


def _calls_told_wrongly(calls: Counter[str], driver: MemoryDriver) -> list[str]:
    codes: dict[str, list[int]] = {}
    for answer in driver.call_answers:
        codes.setdefault(answer.reference, []).append(answer.code)
    ran = [ref for ref, told in codes.items() if calls[ref] and all(map(is_reported_not_run, told))]
    lost = [
        ref
        for ref, told in codes.items()
        if not calls[ref] and any(map(is_reported_completed, told))
    ]
    return ran + lost
