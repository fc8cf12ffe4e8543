"""The sidecar's task for one link from an entry: serves offers, resumptions and withdrawals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.handshake import perform_handshake
from guavawalk.connection.link import HEARTBEAT_S, Link
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
from guavawalk.connection.tasks.peer_link import answer_peer
from guavawalk.exception import LinkBroken, RequestError
from guavawalk.process.sidecar.admission import admit_offer, withdraw_attempt
from guavawalk.process.sidecar.link_table import LastOffer
from guavawalk.process.sidecar.observed import record_refused
from guavawalk.process.sidecar.records import TICKET_TTL_S
from guavawalk.process.sidecar.state import load_report
from guavawalk.request.attempt import Attempt, AttemptState
from guavawalk.request.types import Offer

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["serve_entry_link"]

# Pause between two chunks of an answer, in seconds; bytes that the target sends meanwhile go into
# the same chunk.
CHUNK_INTERVAL_S = 0.025


async def serve_entry_link(sidecar: Sidecar, link: Link) -> None:
    """Serve the messages of a link one after another until the link breaks."""
    try:
        await perform_handshake(link, sidecar.identity)
        with anyio.CancelScope() as scope:
            sidecar.links.open(link.session_id, scope)
            while True:
                await _serve_exchange(sidecar, link, await link.receive())
    except LinkBroken as error:
        sidecar.log.emit(events.LINK_BROKEN, peer=link.peer.instance, reason=str(error))
    except RequestError as error:
        sidecar.log.emit(events.LINK_REJECTED, code=int(error.code), reason=str(error))
    finally:
        sidecar.links.close(link.session_id)


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
            await answer_peer(sidecar.active, sidecar.suspects, link, message)


async def _serve_offer(sidecar: Sidecar, link: Link, offer: Offer) -> None:
    # If the link was retired while this offer was being read, the entry has already been told that
    # the link carried no offer. So this one must not run.
    if not sidecar.links.is_open(link.session_id):
        raise LinkBroken("the link was retired while an offer was being read")
    sidecar.suspects.merge(offer.suspects)
    try:
        attempt, is_new = admit_offer(sidecar, offer)
    except RequestError as error:
        refusal = LastOffer(offer.attempt_id, offer.attempt_id, error.code)
        sidecar.links.record(link.session_id, refusal)
        await link.send(_refused(sidecar, offer, error))
        return
    sidecar.links.record(link.session_id, LastOffer(offer.attempt_id, attempt.offer.attempt_id))
    if is_new:
        sidecar.tasks.start_soon(run_attempt, sidecar, attempt)
    await link.send(_queued(sidecar, attempt))
    await _relay_answer(sidecar, link, attempt, 0)


def _queued(sidecar: Sidecar, attempt: Attempt) -> Queued:
    incarnation = sidecar.identity.incarnation
    attempt_id = attempt.offer.attempt_id
    return Queued(attempt_id, incarnation, load_report(sidecar), attempt.cached_tokens)


def _refused(sidecar: Sidecar, offer: Offer, error: RequestError) -> Refused:
    record_refused(sidecar, offer, error)
    return Refused(
        attempt_id=offer.attempt_id,
        code=error.code,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms or 0,
        load=load_report(sidecar),
        suspects=sidecar.suspects.newest_pairs(),
    )


async def _serve_resume(sidecar: Sidecar, link: Link, resume: Resume) -> None:
    if resume.incarnation != sidecar.identity.incarnation:
        await link.send(Failure(ResultCode.INCARNATION_GONE))
        return
    attempt, code = _close_link_and_find(sidecar, resume)
    if attempt is not None:
        await _relay_answer(sidecar, link, attempt, resume.offset)
    else:
        await link.send(Refused(resume.attempt_id, code, load=load_report(sidecar)))


def _close_link_and_find(
    sidecar: Sidecar, request: Resume | Withdraw
) -> tuple[Attempt | None, ResultCode]:
    """Close the link on which an offer was sent, and find the attempt that answers the offer.

    Returns
    -------
    Attempt or None
        None if the offer has no attempt here.
    ResultCode
        Why there is none; without meaning if there is one.
    """
    exchange = sidecar.links.close_lost(request.link)
    if exchange is None:
        return sidecar.attempts.find(request.attempt_id), ResultCode.OUTCOME_UNKNOWN
    if request.attempt_id not in (exchange.offered_id, exchange.attempt_id):
        return None, ResultCode.WITHDRAWN
    found = sidecar.attempts.find(exchange.attempt_id)
    return found, exchange.refused or ResultCode.ANSWER_DROPPED


async def _serve_withdraw(sidecar: Sidecar, link: Link, withdraw: Withdraw) -> None:
    if withdraw.incarnation and withdraw.incarnation != sidecar.identity.incarnation:
        await link.send(Failure(ResultCode.INCARNATION_GONE))
        return
    attempt, code = _close_link_and_find(sidecar, withdraw)
    state = AttemptState.DONE
    if attempt is not None:
        state, code = withdraw_attempt(sidecar, attempt, withdraw.cancel)
        if not attempt.is_shared:
            sidecar.attempts.leave_tracker.record_abandoned(attempt.offer.attempt_id)
    await link.send(Withdrawn(withdraw.attempt_id, state, code))


async def _serve_ticket(sidecar: Sidecar, link: Link, request: TicketRequest) -> None:
    if sidecar.attempts.leaving:
        await link.send(Failure(ResultCode.TARGET_LEAVING))
        return
    scope = f"{request.workspace}\0{request.service_path}\0{request.model}"
    try:
        ticket = sidecar.records.issue(scope, sidecar.clock.now_s())
    except RequestError as error:
        await link.send(Failure(error.code, error.detail))
        return
    await link.send(Ticket(ticket, int(TICKET_TTL_S * 1000)))


async def _relay_answer(sidecar: Sidecar, link: Link, attempt: Attempt, offset: int) -> None:
    attempt.readers += 1
    try:
        await _relay_from(sidecar, link, attempt, offset)
    finally:
        attempt.readers -= 1


async def _relay_from(sidecar: Sidecar, link: Link, attempt: Attempt, offset: int) -> None:
    answer = attempt.answer
    attempt_id = attempt.offer.attempt_id
    if answer.dropped:
        await link.send(Refused(attempt_id, ResultCode.ANSWER_DROPPED))
        return
    while not (answer.started or answer.ended):
        await _wait_or_send_heartbeat(sidecar, link, attempt, offset, started=False)
    if answer.started:
        queue_ms = int((attempt.dispatched_s - attempt.offered_s) * 1000)
        await link.send(Started(attempt_id, answer.status, answer.headers, queue_ms))
    while True:
        data = answer.read_from(offset)
        if data:
            await link.send(Chunk(attempt_id, offset, data))
            offset += len(data)
            if not answer.ended:
                await anyio.sleep(CHUNK_INTERVAL_S)
        elif answer.ended:
            break
        else:
            await _wait_or_send_heartbeat(sidecar, link, attempt, offset)
    await link.send(_finished(sidecar, attempt))
    sidecar.attempts.leave_tracker.record_reported(attempt_id)


async def _wait_or_send_heartbeat(
    sidecar: Sidecar, link: Link, attempt: Attempt, offset: int, started: bool = True
) -> None:
    """Wait for more of the answer; send a heartbeat if there is none within `HEARTBEAT_S`."""
    with anyio.move_on_after(HEARTBEAT_S):
        await attempt.answer.wait_past(offset, started)
        return
    await link.send(_queued(sidecar, attempt))


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
        wasted_tokens=attempt.wasted_tokens,
        waste_cause=attempt.waste[0].cause.value if attempt.waste else "",
        retry_after_ms=attempt.retry_after_ms,
        load=load_report(sidecar),
        suspects=sidecar.suspects.newest_pairs(),
        first_token_ms=int(max(first_token_ms, 0)),
    )
