"""Checks the guarantees to callers after a run, against the requests that targets ran."""

from collections import Counter
from typing import NamedTuple

from guavawalk.tools.fleet import Fleet
from guavawalk.tools.load.driver import MemoryDriver, is_reported_completed, is_reported_not_run

__all__ = ["PromiseCheck", "check_promises"]

# Most violations listed in the detail of a check, and most characters of each, from its end.
SHOWN_VIOLATIONS = 5
SHOWN_VIOLATION_CHARS = 40


class PromiseCheck(NamedTuple):
    """Result of checking one guarantee.

    Attributes
    ----------
    broken : int
        Number of violations; 0 if the guarantee was met.
    detail : str
        The first violations, shortened; empty for none.
    """

    promise: str
    broken: int
    detail: str


def check_promises(fleet: Fleet, driver: MemoryDriver) -> tuple[PromiseCheck, ...]:
    """Compare the outcomes that callers received with what engines and services ran."""
    runs = Counter(run.prompt for engine in fleet.engines.values() for run in engine.runs)
    calls = Counter()
    for service in fleet.services.values():
        calls.update(service.run_counts)
    return (
        _check(
            "a model request is dispatched at most once", _find_repeated_dispatches(runs, driver)
        ),
        _check("what was told not run did not run", _find_runs_reported_not_run(runs, driver)),
        _check(
            "a completed answer is whole and the request's own", _find_incomplete_answers(driver)
        ),
        _check("a call with one ticket runs at most once", [r for r, n in calls.items() if n > 1]),
        _check("a call's caller is told the truth", _find_wrong_call_outcomes(calls, driver)),
    )


def _check(promise: str, violations: list[str]) -> PromiseCheck:
    shown = ", ".join(
        violation[-SHOWN_VIOLATION_CHARS:].strip() for violation in violations[:SHOWN_VIOLATIONS]
    )
    return PromiseCheck(promise, len(violations), shown)


def _find_repeated_dispatches(runs: Counter[str], driver: MemoryDriver) -> list[str]:
    # A crashing request is sent several times with the same prompt.
    sent = Counter(answer.prompt for answer in driver.model_answers)
    return [prompt for prompt, count in runs.items() if count > sent[prompt]]


def _find_runs_reported_not_run(runs: Counter[str], driver: MemoryDriver) -> list[str]:
    may_have_run = Counter(
        a.prompt for a in driver.model_answers if not is_reported_not_run(a.code)
    )
    not_run_prompts = {
        answer.prompt for answer in driver.model_answers if is_reported_not_run(answer.code)
    }
    return [prompt for prompt in not_run_prompts if runs[prompt] > may_have_run[prompt]]


def _find_incomplete_answers(driver: MemoryDriver) -> list[str]:
    return [
        answer.prompt
        for answer in driver.model_answers
        if is_reported_completed(answer.code) and not answer.is_complete
    ]


def _find_wrong_call_outcomes(calls: Counter[str], driver: MemoryDriver) -> list[str]:
    codes: dict[str, list[int]] = {}
    for answer in driver.call_answers:
        codes.setdefault(answer.reference, []).append(answer.code)
    run_but_reported_not_run = [
        ref
        for ref, received in codes.items()
        if calls[ref] and all(map(is_reported_not_run, received))
    ]
    completed_but_not_run = [
        ref
        for ref, received in codes.items()
        if not calls[ref] and any(map(is_reported_completed, received))
    ]
    return run_but_reported_not_run + completed_but_not_run
