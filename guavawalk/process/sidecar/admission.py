"""Admits offers into a sidecar's queue, and dispatches queued attempts to the target."""

from typing import NoReturn

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.accounting import end_attempt, expected_cached_tokens
from guavawalk.process.sidecar.leaving import LeaveReason
from guavawalk.process.sidecar.refusal import can_meet_deadline
from guavawalk.process.sidecar.state import Sidecar
from guavawalk.request.attempt import Attempt, AttemptState, create_attempt
from guavawalk.request.cost import offer_cost_tokens
from guavawalk.request.types import Offer

__all__ = ["admit_offer", "dispatch_ready", "start_leaving", "stop_leaving", "withdraw_attempt"]

# Retry hint for a crash suspect that is refused because another suspect is live here.
SUSPECT_RETRY_MS = 1_000


def admit_offer(sidecar: Sidecar, offer: Offer) -> tuple[Attempt, bool]:
    """Admit an offer: create its attempt, queue it, and dispatch what the window admits.

    Returns
    -------
    attempt : Attempt
        The new attempt, or the existing one with the same attempt id or ticket.
    is_new : bool
        Whether the attempt is new, and so its task has still to be started.

    Raises
    ------
    RequestError
        If the offer is refused; nothing of it is kept then.
    """
    now_s = sidecar.clock.now_s()
    table = sidecar.attempts
    if offer.incarnation and offer.incarnation != sidecar.identity.incarnation:
        raise RequestError(ResultCode.WRONG_INCARNATION)
    existing = table.find(offer.attempt_id)
    if existing is not None:
        return existing, False
    if offer.idempotency_key:
        existing = sidecar.records.find(offer, now_s)
        if existing is not None:
            existing.is_shared = True
            return existing, False
    if table.leaving:
        raise RequestError(ResultCode.TARGET_LEAVING)
    sidecar.orders.check_loaded(offer)
    if offer.deadline_ms <= 0:
        raise RequestError(ResultCode.DEADLINE_PASSED)
    _check_suspicion(sidecar, offer)
    attempt = create_attempt(offer, now_s, table.limits.answer_bytes)
    attempt.cached_tokens = expected_cached_tokens(sidecar, offer)
    # Where most requests are tiny, ordinary ones of the top tier would count as long. Attempts of
    # that tier are never long, so that the limit on long attempts cannot delay them.
    attempt.is_long = sidecar.lengths.record_offer(offer_cost_tokens(offer)) and offer.tier_rank > 0
    if offer.idempotency_key:
        sidecar.records.add(attempt, now_s)
    table.add(attempt)
    attempt.mark_queued()
    _push(sidecar, attempt, now_s)
    return attempt, True


def _check_suspicion(sidecar: Sidecar, offer: Offer) -> None:
    suspects = sidecar.suspects
    if suspects.is_blocked(offer.fingerprint):
        raise RequestError(ResultCode.CRASH_SUSPECT)
    if not suspects.is_suspect(offer.fingerprint):
        return
    live = sidecar.attempts.live.values()
    if any(suspects.is_suspect(attempt.offer.fingerprint) for attempt in live):
        raise RequestError(ResultCode.SUSPECT_WAITS, retry_after_ms=SUSPECT_RETRY_MS)


def _push(sidecar: Sidecar, attempt: Attempt, now_s: float) -> None:
    for expired in sidecar.queue.expire(now_s):
        end_attempt(sidecar, expired, ResultCode.DEADLINE_PASSED)
    if not can_meet_deadline(sidecar, attempt, now_s, include_wait=True):
        _refuse_new_attempt(sidecar, attempt, ResultCode.DEADLINE_UNREACHABLE)
    for shed in sidecar.queue.push(attempt):
        if shed is attempt:
            _refuse_new_attempt(sidecar, attempt, ResultCode.QUEUE_FULL)
        shed.retry_after_ms = _retry_after_ms(sidecar, shed)
        end_attempt(sidecar, shed, ResultCode.SHED)
    dispatch_ready(sidecar)


def _retry_after_ms(sidecar: Sidecar, attempt: Attempt) -> int:
    ahead_tokens = sidecar.queue.cost_ahead_tokens(attempt)
    return sidecar.drain_rates.for_attempt(attempt).retry_after_ms(ahead_tokens)


def _refuse_new_attempt(sidecar: Sidecar, attempt: Attempt, code: ResultCode) -> NoReturn:
    offer = attempt.offer
    sidecar.attempts.remove_refused(attempt)
    if offer.idempotency_key:
        sidecar.records.remove(attempt)
    raise RequestError(code, retry_after_ms=_retry_after_ms(sidecar, attempt))


def dispatch_ready(sidecar: Sidecar) -> None:
    """Dispatch queued attempts in queue order while the window admits them.

    Notes
    -----
    Attempts that have passed their deadline, or can no longer meet it, are ended instead.
    """
    table = sidecar.attempts
    while True:
        attempt = _next_ready(sidecar)
        if attempt is None:
            return
        now_s = sidecar.clock.now_s()
        if attempt.deadline_s <= now_s:
            end_attempt(sidecar, attempt, ResultCode.DEADLINE_PASSED)
            continue
        if not can_meet_deadline(sidecar, attempt, now_s, include_wait=False):
            attempt.retry_after_ms = _retry_after_ms(sidecar, attempt)
            end_attempt(sidecar, attempt, ResultCode.DEADLINE_UNREACHABLE)
            continue
        table.running += 1
        attempt.mark_dispatched(now_s)
        sidecar.window.record_dispatch(attempt)
        cost_tokens = offer_cost_tokens(attempt.offer)
        waiting = sidecar.queue.lane_length(attempt.is_long)
        sidecar.drain_rates.for_attempt(attempt).record_dispatch(cost_tokens, now_s, waiting)


def _next_ready(sidecar: Sidecar) -> Attempt | None:
    # A long attempt that waits for one of the few long slots must not block short ones.
    with_long = sidecar.window.has_long_slot()
    attempt = sidecar.queue.peek(with_long)
    if attempt is None or not sidecar.window.admits(attempt, sidecar.attempts.running):
        return None
    return sidecar.queue.pop(with_long)


def withdraw_attempt(
    sidecar: Sidecar, attempt: Attempt, cancel: bool
) -> tuple[AttemptState, ResultCode]:
    """Withdraw an attempt that has not been dispatched.

    Parameters
    ----------
    cancel : bool
        Whether to cancel the attempt at the target if it has been dispatched.

    Returns
    -------
    state : AttemptState
        `DONE` if the attempt has ended, else the state in which it continues.
    code : ResultCode
        Result code of an attempt that has ended; `WITHDRAWN` if this call or an earlier one has
        withdrawn it. `OUTCOME_UNKNOWN` while it continues.

    Notes
    -----
    An attempt that another request has joined by the same ticket is neither withdrawn nor
    cancelled.
    """
    if attempt.is_shared:
        return attempt.state, attempt.code
    if sidecar.queue.remove(attempt):
        end_attempt(sidecar, attempt, ResultCode.WITHDRAWN)
    elif cancel and attempt.state is not AttemptState.DONE:
        attempt.cancel_requested = True
        if attempt.cancel_scope is not None:
            attempt.cancel_scope.cancel()
    return attempt.state, attempt.code


def start_leaving(sidecar: Sidecar, reason: LeaveReason = LeaveReason.OPERATOR) -> None:
    """Refuse new offers and end all queued attempts; running attempts continue.

    Parameters
    ----------
    reason : LeaveReason
        Stays in force until `stop_leaving` removes it.
    """
    sidecar.attempts.leave_tracker.reasons.add(reason)
    for attempt in sidecar.queue.drain():
        end_attempt(sidecar, attempt, ResultCode.TARGET_LEAVING)


def stop_leaving(sidecar: Sidecar, reason: LeaveReason) -> None:
    """Remove a reason to leave; new offers are admitted again once no reason is left."""
    sidecar.attempts.leave_tracker.reasons.discard(reason)
