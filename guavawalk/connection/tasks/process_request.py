"""The task of one caller's request: from its first byte to its last, straight down."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.connection.caller import Caller
from guavawalk.connection.tasks.offer import Progress, abandon_offer, offer_work
from guavawalk.exception import LinkRefused, RequestError
from guavawalk.process.entry.choice import OVERLOAD_CODES, Choice, choose_target
from guavawalk.process.entry.observed import record_not_run, record_outcome
from guavawalk.request.placement import capable_targets
from guavawalk.request.ticket import code_for_key, read_ticket
from guavawalk.request.types import Outcome, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["process_request"]

LEAVING_ATTEMPTS = 8
ASK_TRIES = 3
ASK_PAUSE_S = 0.2
UNREACHABLE_RETRY_MS = 1_000
FULL_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED)
CRASH_CODES = (ResultCode.TARGET_CRASHED, ResultCode.TARGET_LOST)


async def process_request(entry: Entry, work: Work, caller: Caller) -> Outcome:
    """Take a request to a target and its answer to the caller.

    Parameters
    ----------
    entry : Entry
        The process.
    work : Work
        The checked request.
    caller : Caller
        Where the answer goes.

    Returns
    -------
    Outcome
        How it ended; the caller has been told the same.
    """
    progress = Progress(entry.clock.now_s())
    entry.gauge.running += 1
    try:
        outcome = await _process_while_wanted(entry, work, caller, progress)
    finally:
        entry.gauge.running -= 1
    record_outcome(entry, work, outcome)
    await caller.finish(outcome)
    return outcome


async def _process_while_wanted(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    outcome = None
    async with anyio.create_task_group() as tasks:

        async def watch_caller() -> None:
            await caller.wait_disconnected()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch_caller)
        outcome = await _process_admitted(entry, work, caller, progress)
        tasks.cancel_scope.cancel()
    if outcome is not None:
        return outcome
    outcome = Outcome(ResultCode.CALLER_GONE)
    if progress.sent is not None:
        outcome = await abandon_offer(entry, work, progress)
    return outcome._replace(code=code_for_key(outcome.code, work.idempotency_key))


async def _process_admitted(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    work = entry.view.lengths.sized(work)
    try:
        if entry.gauge.draining:
            raise RequestError(ResultCode.DRAINING)
        if entry.suspects.is_blocked(work.fingerprint):
            raise RequestError(ResultCode.CRASH_SUSPECT)
        entry.limiter.admit(work)
    except RequestError as error:
        return _entry_refusal(work, error)
    try:
        entry.retries.record_request(work.workspace.name)
        if work.idempotency_key:
            return await _ask_ticket_target(entry, work, caller, progress)
        return await _try_targets(entry, work, caller, progress)
    except RequestError as error:
        return _entry_refusal(work, error)
    finally:
        entry.limiter.release(work)


def _entry_refusal(work: Work, error: RequestError) -> Outcome:
    code = code_for_key(error.code, work.idempotency_key)
    detail = error.detail or error.code.name
    return Outcome(code, detail, error.retry_after_ms or 0)


async def _ask_ticket_target(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    """Offer a keyed request to the one incarnation that keeps its record.

    Notes
    -----
    An earlier request with the same ticket may have run, so failing to ask is not `NOT_RUN`.
    Asking again is safe, since the incarnation runs one call for a ticket.
    """
    ticket = read_ticket(work.idempotency_key)
    target = work.configuration.targets.get(ticket.target)
    if target is None:
        return Outcome(ResultCode.INCARNATION_GONE, f"target {ticket.target!r} is not configured")
    outcome = Outcome(ResultCode.LINK_LOST, target=target.name)
    for _ in range(ASK_TRIES):
        progress.attempts += 1
        try:
            outcome = await offer_work(entry, work, caller, progress, target, ticket.incarnation)
        except LinkRefused as error:
            outcome = outcome._replace(code=ResultCode.LINK_LOST, detail=str(error))
        else:
            if outcome.code is not ResultCode.WITHDRAWN:
                return _ticket_outcome(outcome)
        await anyio.sleep(ASK_PAUSE_S)
    return outcome._replace(code=ResultCode.LINK_LOST, retry_after_ms=UNREACHABLE_RETRY_MS)


def _ticket_outcome(outcome: Outcome) -> Outcome:
    if outcome.code is ResultCode.WRONG_INCARNATION:
        return outcome._replace(code=ResultCode.INCARNATION_GONE)
    return outcome


async def _try_targets(entry: Entry, work: Work, caller: Caller, progress: Progress) -> Outcome:
    tried_names = _targets_it_may_have_crashed(entry, work)
    last = Outcome(ResultCode.NO_TARGET)
    refusals = 0
    while True:
        choice = _choose(entry, work, tried_names, refusals, progress)
        if choice is None:
            return last
        target = choice.target
        if progress.attempts and not _may_retry(entry, work, last, progress.attempts):
            return last._replace(code=ResultCode.RETRY_BUDGET, detail=f"last: {last.code.name}")
        tried_names.add(target.name)
        await anyio.sleep(entry.retries.backoff_s(progress.attempts))
        if work.deadline_s <= entry.clock.now_s():
            return Outcome(ResultCode.DEADLINE_PASSED, attempts=progress.attempts)
        progress.attempts += 1
        try:
            last = await offer_work(entry, work, caller, progress, target)
        except LinkRefused as error:
            last = _unreachable(target, str(error), progress.attempts)
        _record_attempt(entry, work, choice, last)
        record_not_run(entry, work, last)
        refusals += last.code in OVERLOAD_CODES
        if code_class(last.code) is not CodeClass.NOT_RUN or last.code is ResultCode.CRASH_SUSPECT:
            return last


def _targets_it_may_have_crashed(entry: Entry, work: Work) -> set[str]:
    # Another target settles whether the request is to blame; the same one would only die again.
    if not entry.suspects.is_suspect(work.fingerprint):
        return set()
    names = [target.name for target in capable_targets(work, work.configuration)]
    died = {name for name in names if entry.suspects.was_in_flight_at_death(work.fingerprint, name)}
    return died if len(died) < len(names) else set()


def _may_retry(entry: Entry, work: Work, last: Outcome, attempts: int) -> bool:
    # A leaving target hands back what it had taken; that is no sign of overload.
    if last.code is ResultCode.TARGET_LEAVING:
        return attempts < LEAVING_ATTEMPTS
    return entry.retries.try_spend(work.workspace.name, attempts)


def _unreachable(target: Target, detail: str, attempts: int) -> Outcome:
    code = ResultCode.TARGET_UNREACHABLE
    return Outcome(code, detail, target=target.name, attempts=attempts)


def _choose(
    entry: Entry, work: Work, tried_names: set[str], refusals: int, progress: Progress
) -> Choice | None:
    try:
        return choose_target(entry, work, tried_names, refusals)
    except RequestError:
        if progress.attempts:
            return None
        raise


def _record_attempt(entry: Entry, work: Work, choice: Choice, outcome: Outcome) -> None:
    name = choice.target.name
    if outcome.code is ResultCode.COMPLETED:
        entry.view.record_completed(name, work, outcome, choice.cached_tokens)
        entry.suspects.record_completed(work.fingerprint)
    elif outcome.code in CRASH_CODES:
        entry.view.record_crash(name)
    elif outcome.code in FULL_CODES:
        entry.view.record_full(name, work, outcome.retry_after_ms)
