"""One offer of a request to one sidecar.

An offer is sent once. If its link breaks, the entry reconnects and asks for the rest of the answer
until the outcome is known.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, NamedTuple

import anyio

from guavawalk.codes import ResultCode, read_code
from guavawalk.connection.caller import Caller
from guavawalk.connection.link import SILENCE_LIMIT_S, Link
from guavawalk.connection.messages import (
    Chunk,
    Failure,
    Finished,
    Message,
    Queued,
    Refused,
    Resume,
    Started,
    Withdraw,
    Withdrawn,
)
from guavawalk.exception import LinkBroken, LinkRefused
from guavawalk.process.entry.observed import record_link_broken
from guavawalk.process.target_ends import EARLY_RUN_S
from guavawalk.request.types import Offer, Outcome, Usage, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["Progress", "abandon_offer", "offer_work"]

# Longest silence of a sidecar before the entry no longer asks it for the rest of an answer, in
# seconds.
RESUME_TIMEOUT_S = 10.0
RECONNECT_PAUSE_S = 0.1
WITHDRAW_TIMEOUT_S = 5.0


class SentOffer(NamedTuple):
    """An offer that was sent to a target and has not ended.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sidecar that it was sent to.
    link : bytes
        Session id of the link on which it was sent.
    attempt_id : str
        The attempt that answers it; an earlier one if the ticket was used before.
    """

    target: Target
    incarnation: int
    link: bytes
    attempt_id: str


class Progress:
    """State of a request over all its offers.

    Attributes
    ----------
    started_s : float
        When processing began, on the process's clock in seconds.
    first_byte_s : float
        When the first byte of the answer was received; 0 before that.
    last_message_s : float
        When the last message of the sidecar was received, or when reconnecting began, if that was
        later.
    offset : int
        Bytes of the answer that were sent to the caller.
    has_started : bool
        Whether the head of the answer was sent to the caller.
    attempts : int
        Number of attempts of the request so far, the present one included.
    sent_offer : SentOffer or None
        The offer that may still be live at a sidecar; None if there is none.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.first_byte_s = 0.0
        self.last_message_s = started_s
        self.offset = 0
        self.has_started = False
        self.attempts = 0
        self.sent_offer: SentOffer | None = None

    def is_early(self, now_s: float) -> bool:
        """Return whether the answer has just begun, or not yet."""
        return not self.first_byte_s or now_s - self.first_byte_s < EARLY_RUN_S


async def offer_work(
    entry: Entry,
    work: Work,
    caller: Caller,
    progress: Progress,
    target: Target,
    incarnation: int = 0,
) -> Outcome:
    """Offer a request to a target and relay the answer.

    Parameters
    ----------
    incarnation : int, optional
        The only incarnation of the sidecar that may accept the offer; 0, the default, stands for
        the one that the link reaches.

    Returns
    -------
    Outcome
        How the offer ended; the code is `LINK_LOST` or `INCARNATION_GONE` if that is unknown.

    Raises
    ------
    LinkRefused
        If no link could be opened; nothing was offered then.
    """
    # Counted before the link is open, so that a target on probation gets only one request.
    entry.view.record_offer(target.name, work)
    try:
        link = await _acquire_link(entry, target)
        offer = _offer(entry, work)._replace(
            incarnation=incarnation or link.peer.incarnation,
            cached_elsewhere_tokens=entry.view.cached_elsewhere_tokens(target.name, work),
        )
        return await _exchange(entry, caller, progress, target, offer, link)
    finally:
        entry.view.record_offer_end(target.name, work)


async def _acquire_link(entry: Entry, target: Target) -> Link:
    try:
        return await entry.links.acquire(target.sidecar)
    except LinkRefused:
        entry.view.record_unreachable(target.name)
        raise


async def _exchange(
    entry: Entry, caller: Caller, progress: Progress, target: Target, offer: Offer, link: Link
) -> Outcome:
    progress.sent_offer = SentOffer(
        target, link.peer.incarnation, link.session_id, offer.attempt_id
    )
    try:
        await link.send(offer)
        outcome = await _relay(entry, caller, progress, link)
        await entry.links.release(target.sidecar, link)
    except LinkBroken as error:
        record_link_broken(entry, offer, target, str(error))
        await link.aclose()
        outcome = await _resume(entry, caller, progress)
    except BaseException:
        with anyio.CancelScope(shield=True):
            await link.aclose()
        raise
    progress.sent_offer = None
    return outcome


async def _relay(entry: Entry, caller: Caller, progress: Progress, link: Link) -> Outcome:
    target = progress.sent_offer.target
    while True:
        message = await _receive(link)
        progress.last_message_s = entry.clock.now_s()
        match message:
            case Queued():
                entry.view.record_load(target.name, message.load)
                progress.sent_offer = progress.sent_offer._replace(attempt_id=message.attempt_id)
            case Started():
                await _start_answer(caller, progress, message)
            case Chunk():
                await _forward_chunk(entry, caller, progress, message)
            case Refused():
                entry.view.record_load(target.name, message.load)
                entry.suspects.merge(message.suspects)
                return _refused_outcome(entry, progress, message)
            case Finished():
                entry.view.record_load(target.name, message.load)
                entry.suspects.merge(message.suspects)
                return _finished_outcome(entry, progress, message)
            case Failure():
                return _outcome(entry, progress, read_code(message.code), message.detail)
            case _:
                raise LinkBroken(f"unexpected {type(message).__name__}")


async def _receive(link: Link) -> Message:
    try:
        with anyio.fail_after(SILENCE_LIMIT_S):
            return await link.receive()
    except TimeoutError as error:
        raise LinkBroken("no message or heartbeat within the silence limit") from error


async def _start_answer(caller: Caller, progress: Progress, started: Started) -> None:
    if not progress.has_started:
        progress.has_started = True
        target = ("x-guavawalk-target", progress.sent_offer.target.name)
        await caller.start(started.status, (*started.headers, *target))


async def _forward_chunk(entry: Entry, caller: Caller, progress: Progress, chunk: Chunk) -> None:
    new_data = chunk.data[max(0, progress.offset - chunk.offset) :]
    if chunk.offset > progress.offset:
        raise LinkBroken("a chunk of the answer is missing: the one received starts after a gap")
    if not new_data:
        return
    if not progress.first_byte_s:
        progress.first_byte_s = entry.clock.now_s()
    progress.offset += len(new_data)
    await caller.send(new_data)


async def _resume(entry: Entry, caller: Caller, progress: Progress) -> Outcome:
    """Request the rest of the answer from the same incarnation of the sidecar.

    The outcome is unknown if that incarnation is gone (`INCARNATION_GONE`), or if it sends nothing
    for `RESUME_TIMEOUT_S` (`LINK_LOST`).
    """
    sent = progress.sent_offer
    progress.last_message_s = entry.clock.now_s()
    while entry.clock.now_s() - progress.last_message_s < RESUME_TIMEOUT_S:
        try:
            link = await entry.links.open(sent.target.sidecar)
        except LinkRefused:
            await anyio.sleep(RECONNECT_PAUSE_S)
            continue
        try:
            if link.peer.incarnation != sent.incarnation:
                return _outcome(entry, progress, ResultCode.INCARNATION_GONE)
            await link.send(_resume_request(progress))
            return await _relay(entry, caller, progress, link)
        except LinkBroken:
            await anyio.sleep(RECONNECT_PAUSE_S)
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()
    return _outcome(entry, progress, ResultCode.LINK_LOST)


def _resume_request(progress: Progress) -> Resume:
    sent = progress.sent_offer
    return Resume(sent.attempt_id, sent.incarnation, progress.offset, sent.link)


async def abandon_offer(entry: Entry, work: Work, progress: Progress) -> Outcome:
    """Withdraw the offer of a caller that has left.

    Work that has been dispatched goes on, except for a model's work without an idempotency key,
    which is cancelled.

    Returns
    -------
    Outcome
        What became of the offer; `LINK_LOST` if the sidecar was not reached within
        `WITHDRAW_TIMEOUT_S`.
    """
    cancel = bool(work.model) and not work.idempotency_key
    with anyio.move_on_after(WITHDRAW_TIMEOUT_S):
        while True:
            try:
                return await _withdraw(entry, progress, cancel)
            except (LinkRefused, LinkBroken):
                await anyio.sleep(RECONNECT_PAUSE_S)
    return _outcome(entry, progress, ResultCode.LINK_LOST)


async def _withdraw(entry: Entry, progress: Progress, cancel: bool) -> Outcome:
    sent = progress.sent_offer
    link = await entry.links.open(sent.target.sidecar)
    try:
        if link.peer.incarnation != sent.incarnation:
            return _outcome(entry, progress, ResultCode.INCARNATION_GONE)
        await link.send(Withdraw(sent.attempt_id, sent.incarnation, cancel, sent.link))
        reply = await link.receive()
    finally:
        with anyio.CancelScope(shield=True):
            await link.aclose()
    if not isinstance(reply, Withdrawn):
        raise LinkBroken(f"unexpected {type(reply).__name__}")
    return _outcome(entry, progress, _withdrawn_code(read_code(reply.code), cancel))


def _withdrawn_code(reported: ResultCode, cancel: bool) -> ResultCode:
    """Return the code for a request whose caller has left, from the code in `Withdrawn`."""
    if reported is ResultCode.WITHDRAWN:
        return ResultCode.CALLER_GONE
    if reported is ResultCode.OUTCOME_UNKNOWN and cancel:
        return ResultCode.CANCELLED
    if reported is ResultCode.COMPLETED:
        return ResultCode.CALLER_LEFT
    return reported


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
        suspects=entry.suspects.newest_pairs(),
    )


def _refused_outcome(entry: Entry, progress: Progress, refused: Refused) -> Outcome:
    outcome = _outcome(entry, progress, read_code(refused.code), refused.detail)
    return outcome._replace(retry_after_ms=refused.retry_after_ms)


def _finished_outcome(entry: Entry, progress: Progress, done: Finished) -> Outcome:
    code = read_code(done.code)
    if code is ResultCode.COMPLETED and done.length != progress.offset:
        raise LinkBroken("the number of bytes received differs from the answer's length")
    outcome = _outcome(entry, progress, code, done.detail)
    usage = Usage(done.prompt_tokens, done.cached_tokens, done.output_tokens)
    return outcome._replace(usage=usage, retry_after_ms=done.retry_after_ms)


def _outcome(entry: Entry, progress: Progress, code: ResultCode, detail: str = "") -> Outcome:
    first_s = progress.first_byte_s or progress.started_s
    return Outcome(
        code=code,
        detail=detail,
        target=progress.sent_offer.target.name,
        attempts=progress.attempts,
        first_token_ms=(first_s - progress.started_s) * 1000,
        total_ms=(entry.clock.now_s() - progress.started_s) * 1000,
    )
