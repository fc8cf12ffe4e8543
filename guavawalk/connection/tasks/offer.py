"""One offer of a request to one sidecar: sent once, asked about until its outcome is known."""

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
from guavawalk.request.types import Offer, Outcome, Usage, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["Progress", "abandon_offer", "offer_work"]

RESUME_FOR_S = 10.0
RESUME_PAUSE_S = 0.1
WITHDRAW_FOR_S = 5.0


class Sent(NamedTuple):
    """An offer under way at one target.

    Attributes
    ----------
    link : bytes
        Handle of the link on which it was sent.
    attempt_id : str
        The attempt that answers it.
    """

    target: Target
    incarnation: int
    link: bytes
    attempt_id: str


class Progress:
    """How far a request has come.

    Attributes
    ----------
    offset : int
        Bytes of the answer that the caller has been given.
    heard_s : float
        When the sidecar was last heard.
    sent : Sent or None
        The offer that may still be live at a sidecar.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.first_byte_s = 0.0
        self.heard_s = started_s
        self.offset = 0
        self.began = False
        self.attempts = 0
        self.sent: Sent | None = None


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
        The only incarnation that may take it; by default the one that the link reaches.

    Raises
    ------
    LinkRefused
        If there is no link to be had, so nothing was offered.
    """
    # Noted before the link is there, so that a target on probation is tried by one request only.
    entry.view.record_offer(target.name, work)
    try:
        link = await _take_link(entry, target)
        offer = _offer(entry, work)._replace(
            incarnation=incarnation or link.peer.incarnation,
            cached_elsewhere_tokens=entry.view.cached_elsewhere_tokens(target.name, work),
        )
        return await _exchange(entry, caller, progress, target, offer, link)
    finally:
        entry.view.record_offer_end(target.name, work)


async def _take_link(entry: Entry, target: Target) -> Link:
    try:
        return await entry.links.acquire(target.sidecar)
    except LinkRefused:
        entry.view.record_unreachable(target.name)
        raise


async def _exchange(
    entry: Entry, caller: Caller, progress: Progress, target: Target, offer: Offer, link: Link
) -> Outcome:
    progress.sent = Sent(target, link.peer.incarnation, link.session_id, offer.attempt_id)
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
    progress.sent = None
    return outcome


async def _relay(entry: Entry, caller: Caller, progress: Progress, link: Link) -> Outcome:
    target = progress.sent.target
    while True:
        message = await _next(link)
        progress.heard_s = entry.clock.now_s()
        match message:
            case Queued():
                entry.view.record_load(target.name, message.load)
                progress.sent = progress.sent._replace(attempt_id=message.attempt_id)
            case Started():
                await _start(caller, progress, message)
            case Chunk():
                await _pass_on(entry, caller, progress, message)
            case Refused():
                entry.view.record_load(target.name, message.load)
                entry.suspects.merge(message.suspects)
                return _refusal(entry, progress, message)
            case Finished():
                entry.view.record_load(target.name, message.load)
                entry.suspects.merge(message.suspects)
                return _finished(entry, progress, message)
            case Failure():
                return _outcome(entry, progress, read_code(message.code), message.detail)
            case _:
                raise LinkBroken(f"unexpected {type(message).__name__}")


async def _next(link: Link) -> Message:
    try:
        with anyio.fail_after(SILENCE_LIMIT_S):
            return await link.receive()
    except TimeoutError as error:
        raise LinkBroken("no heartbeat") from error


async def _start(caller: Caller, progress: Progress, started: Started) -> None:
    if not progress.began:
        progress.began = True
        target = ("x-guavawalk-target", progress.sent.target.name)
        await caller.start(started.status, (*started.headers, *target))


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
    progress.heard_s = entry.clock.now_s()
    while entry.clock.now_s() - progress.heard_s < RESUME_FOR_S:
        try:
            link = await entry.links.open(sent.target.sidecar)
        except LinkRefused:
            await anyio.sleep(RESUME_PAUSE_S)
            continue
        try:
            if link.peer.incarnation != sent.incarnation:
                return _outcome(entry, progress, ResultCode.INCARNATION_GONE)
            await link.send(_resumption(progress))
            return await _relay(entry, caller, progress, link)
        except LinkBroken:
            await anyio.sleep(RESUME_PAUSE_S)
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()
    return _outcome(entry, progress, ResultCode.LINK_LOST)


def _resumption(progress: Progress) -> Resume:
    sent = progress.sent
    return Resume(sent.attempt_id, sent.incarnation, progress.offset, sent.link)


async def abandon_offer(entry: Entry, work: Work, progress: Progress) -> Outcome:
    """Take back the offer of a caller that has left; work without a key is also cancelled."""
    cancel = bool(work.model) and not work.idempotency_key
    with anyio.move_on_after(WITHDRAW_FOR_S):
        while True:
            try:
                return await _withdraw(entry, progress, cancel)
            except (LinkRefused, LinkBroken):
                await anyio.sleep(RESUME_PAUSE_S)
    return _outcome(entry, progress, ResultCode.LINK_LOST)


async def _withdraw(entry: Entry, progress: Progress, cancel: bool) -> Outcome:
    sent = progress.sent
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
    return _outcome(entry, progress, _abandoned_code(read_code(reply.code), cancel))


def _abandoned_code(found: ResultCode, cancel: bool) -> ResultCode:
    if found is ResultCode.WITHDRAWN:
        return ResultCode.CALLER_GONE
    if found is ResultCode.OUTCOME_UNKNOWN and cancel:
        return ResultCode.CANCELLED
    if found is ResultCode.COMPLETED:
        return ResultCode.CALLER_LEFT
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
        suspects=entry.suspects.newest_pairs(),
    )


def _refusal(entry: Entry, progress: Progress, refused: Refused) -> Outcome:
    outcome = _outcome(entry, progress, read_code(refused.code), refused.detail)
    return outcome._replace(retry_after_ms=refused.retry_after_ms)


def _finished(entry: Entry, progress: Progress, done: Finished) -> Outcome:
    code = read_code(done.code)
    if code is ResultCode.COMPLETED and done.length != progress.offset:
        raise LinkBroken("the answer is not whole")
    outcome = _outcome(entry, progress, code, done.detail)
    usage = Usage(done.prompt_tokens, done.cached_tokens, done.output_tokens)
    return outcome._replace(usage=usage, retry_after_ms=done.retry_after_ms)


def _outcome(entry: Entry, progress: Progress, code: ResultCode, detail: str = "") -> Outcome:
    first_s = progress.first_byte_s or progress.started_s
    return Outcome(
        code=code,
        detail=detail,
        target=progress.sent.target.name,
        attempts=progress.attempts,
        first_token_ms=(first_s - progress.started_s) * 1000,
        total_ms=(entry.clock.now_s() - progress.started_s) * 1000,
    )
