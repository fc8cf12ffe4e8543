"""The sidecar's task for one link from an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.handshake import greet
from guavawalk.connection.link import Link
from guavawalk.connection.messages import (
    Chunk,
    Failure,
    Finished,
    LoadRequest,
    Message,
    Queued,
    Refused,
    Resume,
    Started,
    Ticket,
    TicketRequest,
    Withdraw,
    Withdrawn,
)
from guavawalk.connection.tasks.dispatch import run_attempt
from guavawalk.exception import LinkBroken, RequestError
from guavawalk.process.sidecar.admission import admit_offer, withdraw_attempt
from guavawalk.process.sidecar.records import TICKET_TTL_S
from guavawalk.process.sidecar.state import load_report
from guavawalk.request.attempt import Attempt
from guavawalk.request.types import Offer

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["serve_entry_link"]


async def serve_entry_link(sidecar: Sidecar, link: Link) -> None:
    """Serve a link until it breaks, one exchange after the other."""
    try:
        await greet(link, sidecar.identity)
        while True:
            await _serve_exchange(sidecar, link, await link.receive())
    except LinkBroken as error:
        sidecar.log.emit(events.LINK_BROKEN, peer=link.peer.instance, reason=str(error))
    except RequestError as error:
        sidecar.log.emit(events.LINK_REJECTED, code=int(error.code), reason=str(error))


async def _serve_exchange(sidecar: Sidecar, link: Link, message: Message) -> None:
    match message:
        case Offer():
            await _serve_offer(sidecar, link, message)
        case Resume():
            await _serve_resume(sidecar, link, message)
        case Withdraw():
            await _serve_withdraw(sidecar, link, message)
        case TicketRequest():
            await _serve_ticket(sidecar, link, message)
        case LoadRequest():
            await link.send(load_report(sidecar))
        case _:
            await link.send(Failure(ResultCode.BAD_FRAME, f"unexpected {type(message).__name__}"))


async def _serve_offer(sidecar: Sidecar, link: Link, offer: Offer) -> None:
    try:
        attempt, is_new = admit_offer(sidecar, offer)
    except RequestError as error:
        await link.send(_refused(sidecar, offer, error))
        return
    if is_new:
        sidecar.tasks.start_soon(run_attempt, sidecar, attempt)
    queued = Queued(offer.attempt_id, sidecar.identity.incarnation, load_report(sidecar), 0)
    await link.send(queued)
    await _relay_answer(sidecar, link, attempt, 0)


def _refused(sidecar: Sidecar, offer: Offer, error: RequestError) -> Refused:
    sidecar.log.emit(
        events.ATTEMPT_REFUSED,
        trace_id=offer.trace_id,
        attempt_id=offer.attempt_id,
        workspace=offer.workspace,
        code=int(error.code),
    )
    return Refused(
        attempt_id=offer.attempt_id,
        code=error.code,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms or 0,
        load=load_report(sidecar),
    )


async def _serve_resume(sidecar: Sidecar, link: Link, resume: Resume) -> None:
    attempt = sidecar.attempts.find(resume.attempt_id)
    if resume.incarnation != sidecar.identity.incarnation:
        await link.send(Failure(ResultCode.INCARNATION_GONE))
    elif attempt is None:
        await link.send(Failure(ResultCode.ANSWER_DROPPED))
    else:
        await _relay_answer(sidecar, link, attempt, resume.offset)


async def _serve_withdraw(sidecar: Sidecar, link: Link, withdraw: Withdraw) -> None:
    if withdraw.incarnation and withdraw.incarnation != sidecar.identity.incarnation:
        await link.send(Failure(ResultCode.INCARNATION_GONE))
        return
    state, code = withdraw_attempt(sidecar, withdraw.attempt_id, withdraw.cancel)
    await link.send(Withdrawn(withdraw.attempt_id, state, code))


async def _serve_ticket(sidecar: Sidecar, link: Link, request: TicketRequest) -> None:
    if sidecar.attempts.leaving:
        await link.send(Failure(ResultCode.TARGET_LEAVING))
        return
    scope = f"{request.workspace}\0{request.service_path}\0{request.model}"
    ticket = sidecar.records.issue(scope, sidecar.clock.now_s())
    await link.send(Ticket(ticket, int(TICKET_TTL_S * 1000)))


async def _relay_answer(sidecar: Sidecar, link: Link, attempt: Attempt, offset: int) -> None:
    answer = attempt.answer
    attempt_id = attempt.offer.attempt_id
    await answer.wait_past(offset, started=False)
    if answer.started:
        queue_ms = int((attempt.dispatched_s - attempt.offered_s) * 1000)
        await link.send(Started(attempt_id, answer.status, answer.headers, queue_ms))
    while True:
        data = answer.take_from(offset)
        if data:
            await link.send(Chunk(attempt_id, offset, data))
            offset += len(data)
        elif answer.ended:
            break
        else:
            await answer.wait_past(offset)
    await link.send(_finished(sidecar, attempt))


def _finished(sidecar: Sidecar, attempt: Attempt) -> Finished:
    usage = attempt.usage
    first_token_ms = (attempt.first_token_s - attempt.offered_s) * 1000
    return Finished(
        attempt_id=attempt.offer.attempt_id,
        code=attempt.code,
        detail=attempt.detail,
        length=attempt.answer.length,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        output_tokens=usage.output_tokens,
        load=load_report(sidecar),
        first_token_ms=int(max(first_token_ms, 0)),
    )
