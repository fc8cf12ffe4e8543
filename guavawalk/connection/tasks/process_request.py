"""The task of one caller's request, from admission to the end of the answer."""

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
from guavawalk.request.ticket import read_ticket, refusal_code
from guavawalk.request.types import Outcome, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["process_request"]

# Largest number of attempts of a request that leaving targets return. These retries are not charged
# to the retry budget, so they need a limit of their own.
MAX_ATTEMPTS_AFTER_LEAVING = 8
TICKET_ATTEMPTS = 3
TICKET_RETRY_PAUSE_S = 0.2
# Time after which a caller may send a ticket again if its target was not reached, in ms.
UNREACHABLE_RETRY_MS = 1_000
FULL_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED)
CRASH_CODES = (ResultCode.TARGET_CRASHED, ResultCode.TARGET_LOST)


async def process_request(entry: Entry, work: Work, caller: Caller) -> Outcome:
    """Process a request: offer it to targets and relay the answer to the caller.

    Parameters
    ----------
    entry : Entry
        State of the process.
    work : Work
        The validated request.
    caller : Caller
        Where the answer is sent.

    Returns
    -------
    Outcome
        How the request ended. The caller has been sent the same outcome, unless it has left.
    """
    progress = Progress(entry.clock.now_s())
    entry.request_tracker.running += 1
    try:
        outcome = await _process_until_caller_leaves(entry, work, caller, progress)
    finally:
        entry.request_tracker.running -= 1
    record_outcome(entry, work, outcome)
    await caller.finish(outcome)
    return outcome


async def _process_until_caller_leaves(
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
    if progress.sent_offer is not None:
        outcome = await abandon_offer(entry, work, progress)
    return outcome._replace(code=refusal_code(outcome.code, work.idempotency_key))


async def _process_admitted(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    work = entry.view.lengths.with_expected_length(work)
    try:
        if entry.request_tracker.draining:
            raise RequestError(ResultCode.DRAINING)
        _refuse_suspect(entry, work)
        entry.limiter.admit(work)
    except RequestError as error:
        return _refused_outcome(work, error)
    try:
        entry.retries.record_request(work.workspace.name)
        if work.idempotency_key:
            return await _offer_to_ticket_target(entry, work, caller, progress)
        return await _try_targets(entry, work, caller, progress)
    except RequestError as error:
        return _refused_outcome(work, error)
    finally:
        entry.limiter.release(work)


def _refuse_suspect(entry: Entry, work: Work) -> None:
    """Raise `RequestError` if a request, or a message of its chat, is known to crash targets."""
    if entry.suspects.is_blocked(work.fingerprint):
        raise RequestError(ResultCode.CRASH_SUSPECT)
    blocking = entry.part_suspects.blocking_parts(work.shared_parts)
    # Each entry counts the crashes that it saw itself, so each one tries for itself.
    if blocking and not entry.part_suspects.begin_trial(work.shared_parts, processes=1):
        reason = ", ".join(f"message {part.part_id}" for part in blocking)
        raise RequestError(ResultCode.CRASH_SUSPECT, reason)


def _refused_outcome(work: Work, error: RequestError) -> Outcome:
    code = refusal_code(error.code, work.idempotency_key)
    detail = error.detail or error.code.name
    return Outcome(code, detail, error.retry_after_ms or 0)


async def _offer_to_ticket_target(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    """Offer a request with an idempotency ticket to the incarnation that keeps its record.

    Notes
    -----
    An earlier request with the same ticket may have run, so an unreachable target gives `LINK_LOST`
    and never a code of class `NOT_RUN`. Offering again is safe, since the incarnation runs only one
    call for a ticket.
    """
    ticket = read_ticket(work.idempotency_key)
    target = work.configuration.targets.get(ticket.target)
    if target is None:
        return Outcome(ResultCode.INCARNATION_GONE, f"target {ticket.target!r} is not configured")
    outcome = Outcome(ResultCode.LINK_LOST, target=target.name)
    for _ in range(TICKET_ATTEMPTS):
        progress.attempts += 1
        try:
            outcome = await offer_work(entry, work, caller, progress, target, ticket.incarnation)
        except LinkRefused as error:
            outcome = outcome._replace(code=ResultCode.LINK_LOST, detail=str(error))
        else:
            if outcome.code is not ResultCode.WITHDRAWN:
                return _ticket_outcome(outcome)
        await anyio.sleep(TICKET_RETRY_PAUSE_S)
    return outcome._replace(code=ResultCode.LINK_LOST, retry_after_ms=UNREACHABLE_RETRY_MS)


def _ticket_outcome(outcome: Outcome) -> Outcome:
    if outcome.code is ResultCode.WRONG_INCARNATION:
        return outcome._replace(code=ResultCode.INCARNATION_GONE)
    return outcome


async def _try_targets(entry: Entry, work: Work, caller: Caller, progress: Progress) -> Outcome:
    tried_names = _targets_crashed_with(entry, work)
    last_outcome = Outcome(ResultCode.NO_TARGET)
    refusals = 0
    while True:
        choice = _choose(entry, work, tried_names, refusals, progress)
        if choice is None:
            return last_outcome
        target = choice.target
        if progress.attempts and not _may_retry(entry, work, last_outcome, progress.attempts):
            return last_outcome._replace(
                code=ResultCode.RETRY_BUDGET, detail=f"last: {last_outcome.code.name}"
            )
        tried_names.add(target.name)
        await anyio.sleep(entry.retries.backoff_s(progress.attempts))
        if work.deadline_s <= entry.clock.now_s():
            return Outcome(ResultCode.DEADLINE_PASSED, attempts=progress.attempts)
        progress.attempts += 1
        sent_s = entry.clock.now_s()
        try:
            last_outcome = await offer_work(entry, work, caller, progress, target)
        except LinkRefused as error:
            last_outcome = _unreachable(target, str(error), progress.attempts)
        _record_attempt(entry, work, choice, last_outcome)
        _record_shared_parts(entry, work, last_outcome, progress, sent_s)
        record_not_run(entry, work, last_outcome)
        refusals += last_outcome.code in OVERLOAD_CODES
        if (
            code_class(last_outcome.code) is not CodeClass.NOT_RUN
            or last_outcome.code is ResultCode.CRASH_SUSPECT
        ):
            return last_outcome


def _targets_crashed_with(entry: Entry, work: Work) -> set[str]:
    # An attempt at another target shows whether the request causes the crashes; the same target
    # would only crash again. So the targets that crashed with it are skipped, unless all capable
    # ones did.
    if not entry.suspects.is_suspect(work.fingerprint):
        return set()
    names = [target.name for target in capable_targets(work, work.configuration)]
    died = {name for name in names if entry.suspects.was_in_flight_at_death(work.fingerprint, name)}
    return died if len(died) < len(names) else set()


def _may_retry(entry: Entry, work: Work, last_outcome: Outcome, attempts: int) -> bool:
    # A leaving target returns the requests that it had queued. That is no sign of overload, so the
    # retry is not charged to the budget. Each other retry is charged here.
    if last_outcome.code is ResultCode.TARGET_LEAVING:
        return attempts < MAX_ATTEMPTS_AFTER_LEAVING
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


def _record_shared_parts(
    entry: Entry, work: Work, outcome: Outcome, progress: Progress, sent_s: float
) -> None:
    """Suspect the messages of a chat that had just begun to run as its target crashed."""
    now_s = entry.clock.now_s()
    if outcome.code is ResultCode.COMPLETED:
        entry.part_suspects.record_survival(work.shared_parts, sent_s)
    elif outcome.code is ResultCode.TARGET_CRASHED and progress.is_early(now_s):
        crash = entry.crashes.name_crash(outcome.target)
        entry.part_suspects.record_target_death(work.shared_parts, crash, now_s)


def _record_attempt(entry: Entry, work: Work, choice: Choice, outcome: Outcome) -> None:
    name = choice.target.name
    if outcome.code is ResultCode.COMPLETED:
        entry.view.record_completed(name, work, outcome, choice.cached_tokens)
        entry.suspects.record_completed(work.fingerprint)
    elif outcome.code in CRASH_CODES:
        entry.view.record_crash(name)
    elif outcome.code in FULL_CODES:
        entry.view.record_overload(name, work, outcome.retry_after_ms)
