"""The task of one caller's request: from its first byte to its last, straight down."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, NamedTuple

import anyio

from guavawalk import events
from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.connection.caller import Caller
from guavawalk.connection.link import Link
from guavawalk.connection.messages import (
    Chunk,
    Failure,
    Finished,
    Queued,
    Refused,
    Resume,
    Started,
    Withdraw,
    Withdrawn,
)
from guavawalk.exception import LinkBroken, LinkRefused, RequestError
from guavawalk.request.placement import capable_targets
from guavawalk.request.ticket import read_ticket
from guavawalk.request.types import Offer, Outcome, Usage, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["carry_request"]

RESUME_FOR_S = 10.0
RESUME_PAUSE_S = 0.1
WITHDRAW_TIMEOUT_S = 5.0
UNREACHABLE_RETRY_MS = 1_000


class Sent(NamedTuple):
    """An offer under way at one target."""

    target: Target
    offer: Offer
    incarnation: int
    offered_s: float


class Progress:
    """How far a request has come.

    Attributes
    ----------
    offset : int
        Bytes of the answer that the caller has been given.
    sent : Sent or None
        The attempt that may still be live at a sidecar.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.first_byte_s = 0.0
        self.offset = 0
        self.began = False
        self.attempts = 0
        self.reached = False
        self.sent: Sent | None = None


async def carry_request(entry: Entry, work: Work, caller: Caller) -> Outcome:
    """Carry a request to a target and its answer to the caller.

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
        outcome = await _carry_while_wanted(entry, work, caller, progress)
    finally:
        entry.gauge.running -= 1
    _note_outcome(entry, work, outcome)
    await caller.finish(outcome)
    return outcome


async def _carry_while_wanted(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    outcome = Outcome(ResultCode.CALLER_GONE)
    async with anyio.create_task_group() as tasks:

        async def watch_caller() -> None:
            await caller.wait_gone()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch_caller)
        outcome = await _carry_admitted(entry, work, caller, progress)
        tasks.cancel_scope.cancel()
    if outcome.code is ResultCode.CALLER_GONE and progress.sent is not None:
        outcome = await _abandon(entry, work, progress)
    return outcome


async def _carry_admitted(entry: Entry, work: Work, caller: Caller, progress: Progress) -> Outcome:
    try:
        if entry.gauge.draining:
            raise RequestError(ResultCode.DRAINING)
        entry.limiter.admit(work)
    except RequestError as error:
        return Outcome(error.code, error.detail, error.retry_after_ms or 0)
    try:
        entry.retries.note_request(work.workspace.name)
        if work.idempotency_key:
            return await _ask_ticket_target(entry, work, caller, progress)
        return await _try_targets(entry, work, caller, progress)
    except RequestError as error:
        return Outcome(error.code, error.detail, error.retry_after_ms or 0)
    finally:
        entry.limiter.release(work)


async def _ask_ticket_target(
    entry: Entry, work: Work, caller: Caller, progress: Progress
) -> Outcome:
    """Offer a keyed request to the one incarnation that keeps its record.

    Notes
    -----
    An earlier request with the same ticket may have run, so failing to ask is not `NOT_RUN`.
    """
    ticket = read_ticket(work.idempotency_key)
    target = work.configuration.targets.get(ticket.target)
    if target is None:
        return Outcome(ResultCode.INCARNATION_GONE, f"target {ticket.target!r} is not configured")
    progress.attempts = 1
    outcome = await _attempt(entry, work, caller, progress, target, ticket.incarnation)
    if outcome.code is ResultCode.TARGET_UNREACHABLE and not progress.reached:
        return outcome._replace(code=ResultCode.LINK_LOST, retry_after_ms=UNREACHABLE_RETRY_MS)
    if outcome.code is ResultCode.WRONG_INCARNATION:
        return outcome._replace(code=ResultCode.INCARNATION_GONE)
    return outcome


async def _try_targets(entry: Entry, work: Work, caller: Caller, progress: Progress) -> Outcome:
    tried: set[str] = set()
    last = Outcome(ResultCode.NO_TARGET)
    while True:
        target = _choose(entry, work, tried)
        if target is None:
            return last
        if progress.attempts and not entry.retries.take(work.workspace.name, progress.attempts):
            return last._replace(code=ResultCode.RETRY_BUDGET, detail=f"last: {last.code.name}")
        tried.add(target.name)
        await anyio.sleep(entry.retries.backoff_s(progress.attempts))
        if work.deadline_s <= entry.clock.now_s():
            return Outcome(ResultCode.DEADLINE_PASSED, attempts=progress.attempts)
        progress.attempts += 1
        last = await _attempt(entry, work, caller, progress, target)
        if code_class(last.code) is not CodeClass.NOT_RUN:
            return last


def _choose(entry: Entry, work: Work, tried: set[str]) -> Target | None:
    targets = capable_targets(work, work.configuration)
    targets = [target for target in targets if target.name not in tried]
    views = {target.name: entry.view.of(target.name, work) for target in targets}
    ranked = entry.placement.rank(work, entry.data_centre, targets, views)
    return ranked[0].target if ranked else None


async def _attempt(
    entry: Entry,
    work: Work,
    caller: Caller,
    progress: Progress,
    target: Target,
    incarnation: int = 0,
) -> Outcome:
    try:
        link = await entry.links.take(target.sidecar)
    except LinkRefused as error:
        entry.view.note_unreachable(target.name)
        return _outcome(entry, progress, ResultCode.TARGET_UNREACHABLE, str(error), target)
    progress.reached = True
    offer = _offer(entry, work)._replace(incarnation=incarnation or link.peer.incarnation)
    entry.view.note_offer(target.name, work)
    try:
        return await _exchange(entry, caller, progress, target, offer, link)
    finally:
        entry.view.note_end(target.name)


async def _exchange(
    entry: Entry, caller: Caller, progress: Progress, target: Target, offer: Offer, link: Link
) -> Outcome:
    incarnation = link.peer.incarnation
    progress.sent = Sent(target, offer, incarnation, entry.clock.now_s())
    try:
        await link.send(offer)
        outcome = await _relay(entry, caller, progress, target, link)
        await entry.links.give_back(target.sidecar, link)
    except LinkBroken:
        await link.aclose()
        outcome = await _resume(entry, caller, progress)
    except BaseException:
        with anyio.CancelScope(shield=True):
            await link.aclose()
        raise
    progress.sent = None
    return outcome


async def _relay(
    entry: Entry, caller: Caller, progress: Progress, target: Target, link: Link
) -> Outcome:
    while True:
        message = await link.receive()
        match message:
            case Queued():
                entry.view.note_load(target.name, message.load)
            case Started():
                await _start(caller, progress, message)
            case Chunk():
                await _pass_on(entry, caller, progress, message)
            case Refused():
                entry.view.note_load(target.name, message.load)
                return _refusal(entry, progress, message, target)
            case Finished():
                entry.view.note_load(target.name, message.load)
                return _finished(entry, progress, message, target)
            case Failure():
                code = ResultCode(message.code)
                return _outcome(entry, progress, code, message.detail, target)
            case _:
                raise LinkBroken(f"unexpected {type(message).__name__}")


async def _start(caller: Caller, progress: Progress, started: Started) -> None:
    if not progress.began:
        progress.began = True
        await caller.start(started.status, started.headers)


async def _pass_on(entry: Entry, caller: Caller, progress: Progress, chunk: Chunk) -> None:
    fresh = chunk.data[max(0, progress.offset - chunk.offset) :]
    if chunk.offset > progress.offset:
        raise LinkBroken("a chunk is missing")
    if not fresh:
        return
    if not progress.first_byte_s:
        progress.first_byte_s = entry.clock.now_s()
    progress.offset += len(fresh)
    await caller.send(fresh)


async def _resume(entry: Entry, caller: Caller, progress: Progress) -> Outcome:
    """Ask the same incarnation for the rest; where it can't be asked, nobody knows."""
    sent = progress.sent
    give_up_s = entry.clock.now_s() + RESUME_FOR_S
    while entry.clock.now_s() < give_up_s:
        try:
            link = await entry.links.open(sent.target.sidecar)
        except LinkRefused:
            await anyio.sleep(RESUME_PAUSE_S)
            continue
        try:
            if link.peer.incarnation != sent.incarnation:
                return _outcome(entry, progress, ResultCode.INCARNATION_GONE, "", sent.target)
            await link.send(_resumption(entry, progress))
            return await _relay(entry, caller, progress, sent.target, link)
        except LinkBroken:
            await anyio.sleep(RESUME_PAUSE_S)
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()
    return _outcome(entry, progress, ResultCode.LINK_LOST, "", sent.target)


def _resumption(entry: Entry, progress: Progress) -> Offer | Resume:
    # The same attempt id at the same incarnation runs once, however often it is offered.
    sent = progress.sent
    if progress.began:
        return Resume(sent.offer.attempt_id, sent.incarnation, progress.offset)
    elapsed_ms = int((entry.clock.now_s() - sent.offered_s) * 1000)
    return sent.offer._replace(deadline_ms=sent.offer.deadline_ms - elapsed_ms)


async def _abandon(entry: Entry, work: Work, progress: Progress) -> Outcome:
    """Take back the attempt of a caller that has left."""
    sent = progress.sent
    cancel = bool(work.model) and not work.idempotency_key
    with anyio.move_on_after(WITHDRAW_TIMEOUT_S):
        try:
            link = await entry.links.take(sent.target.sidecar)
            await link.send(Withdraw(sent.offer.attempt_id, sent.incarnation, cancel))
            reply = await link.receive()
        except (LinkRefused, LinkBroken) as error:
            return _outcome(entry, progress, ResultCode.LINK_LOST, str(error), sent.target)
        await entry.links.give_back(sent.target.sidecar, link)
        if isinstance(reply, Withdrawn):
            code = _abandoned_code(ResultCode(reply.code), cancel)
            return _outcome(entry, progress, code, "", sent.target)
    return _outcome(entry, progress, ResultCode.OUTCOME_UNKNOWN, "", sent.target)


def _abandoned_code(found: ResultCode, cancel: bool) -> ResultCode:
    if found is ResultCode.WITHDRAWN:
        return ResultCode.CALLER_GONE
    if found is ResultCode.OUTCOME_UNKNOWN and cancel:
        return ResultCode.CANCELLED
    return found


def _offer(entry: Entry, work: Work) -> Offer:
    remaining_ms = int((work.deadline_s - entry.clock.now_s()) * 1000)
    return Offer(
        attempt_id=secrets.token_hex(12),
        trace_id=work.trace_id,
        workspace=work.workspace.name,
        workspace_weight=work.workspace.weight,
        tier_rank=work.tier.rank,
        model=work.model,
        adapter=work.adapter,
        service_path=work.service_path,
        method=work.method,
        path=work.path,
        headers=work.headers,
        body=work.body,
        prompt_tokens=work.prompt_tokens,
        expected_output_tokens=work.expected_output_tokens,
        deadline_ms=remaining_ms,
        idempotency_key=work.idempotency_key,
        idempotent=work.idempotent,
        fingerprint=work.fingerprint,
        prefix_hashes=work.prefix_hashes,
        version=work.configuration.stamp.version,
    )


def _refusal(entry: Entry, progress: Progress, refused: Refused, target: Target) -> Outcome:
    outcome = _outcome(entry, progress, ResultCode(refused.code), refused.detail, target)
    return outcome._replace(retry_after_ms=refused.retry_after_ms)


def _finished(entry: Entry, progress: Progress, done: Finished, target: Target) -> Outcome:
    code = ResultCode(done.code)
    if code is ResultCode.COMPLETED and done.length != progress.offset:
        raise LinkBroken("the answer is not whole")
    outcome = _outcome(entry, progress, code, done.detail, target)
    usage = Usage(done.prompt_tokens, done.cached_tokens, done.output_tokens)
    return outcome._replace(usage=usage)


def _outcome(
    entry: Entry, progress: Progress, code: ResultCode, detail: str, target: Target
) -> Outcome:
    first_s = progress.first_byte_s or progress.started_s
    return Outcome(
        code=code,
        detail=detail,
        target=target.name,
        attempts=progress.attempts,
        first_token_ms=(first_s - progress.started_s) * 1000,
        total_ms=(entry.clock.now_s() - progress.started_s) * 1000,
    )


def _note_outcome(entry: Entry, work: Work, outcome: Outcome) -> None:
    entry.log.emit(
        events.REQUEST_ENDED,
        trace_id=work.trace_id,
        workspace=work.workspace.name,
        tier=work.tier.name,
        code=int(outcome.code),
        target=outcome.target,
        attempts=outcome.attempts,
        first_token_ms=round(outcome.first_token_ms, 1),
        total_ms=round(outcome.total_ms, 1),
    )
    entry.metrics.count(f"request.{work.tier.name}.{outcome.code.name.lower()}")
    entry.metrics.time(f"request.{work.tier.name}.first_token_ms", outcome.first_token_ms)
