"""Whether a sidecar takes an offer, and when a waiting attempt goes out."""

from typing import NoReturn

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.accounting import expected_cached_tokens
from guavawalk.process.sidecar.leaving import LeaveReason
from guavawalk.process.sidecar.refusal import can_meet_deadline
from guavawalk.process.sidecar.state import Sidecar, end_attempt
from guavawalk.request.attempt import Attempt, AttemptState, create_attempt
from guavawalk.request.cost import offer_cost_tokens
from guavawalk.request.types import Offer

__all__ = ["admit_offer", "dispatch_ready", "start_leaving", "stop_leaving", "withdraw_attempt"]

SUSPECT_RETRY_MS = 1_000


def admit_offer(sidecar: Sidecar, offer: Offer) -> tuple[Attempt, bool]:
    """Take an offer into the queue.

    Returns
    -------
    attempt : Attempt
        The attempt of this offer, or the earlier one of the same ticket or id.
    is_new : bool
        Whether it has to be run.

    Raises
    ------
    RequestError
        If it is refused; nothing of it is held then.
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
            existing.joined = True
            return existing, False
    if table.leaving:
        raise RequestError(ResultCode.TARGET_LEAVING)
    sidecar.orders.check_loaded(offer)
    if offer.deadline_ms <= 0:
        raise RequestError(ResultCode.DEADLINE_PASSED)
    _check_suspicion(sidecar, offer)
    attempt = create_attempt(offer, now_s, table.limits.answer_bytes)
    attempt.cached_tokens = expected_cached_tokens(sidecar, offer)
    # Where most work is tiny, ordinary work of the top tier looks long; no cap may hold that up.
    attempt.is_long = sidecar.lengths.record_offer(offer_cost_tokens(offer)) and offer.tier_rank > 0
    if offer.idempotency_key:
        sidecar.records.add(attempt, now_s)
    table.add(attempt)
    attempt.queue()
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
    """Dispatch what the window lets out, in the queue's order."""
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
        attempt.dispatch(now_s)
        sidecar.window.record_dispatch(attempt)
        cost_tokens = offer_cost_tokens(attempt.offer)
        waiting = sidecar.queue.lane_length(attempt.is_long)
        sidecar.drain_rates.for_attempt(attempt).record_dispatch(cost_tokens, now_s, waiting)


def _next_ready(sidecar: Sidecar) -> Attempt | None:
    # A long attempt that waits for one of the few long slots must not hold up short ones.
    with_long = sidecar.window.has_long_slot()
    attempt = sidecar.queue.peek(with_long)
    if attempt is None or not sidecar.window.admits(attempt, sidecar.attempts.running):
        return None
    return sidecar.queue.pop(with_long)


def withdraw_attempt(
    sidecar: Sidecar, attempt: Attempt, cancel: bool
) -> tuple[AttemptState, ResultCode]:
    """Take an attempt back if it was not dispatched.

    Parameters
    ----------
    cancel : bool
        Whether to stop it at the target when it runs.

    Returns
    -------
    state : AttemptState
        `DONE`, or where the attempt stands when it goes on.
    code : ResultCode
        Its code if it has ended, `WITHDRAWN` by this or another, else `OUTCOME_UNKNOWN`.

    Notes
    -----
    An attempt that another request joined by the same ticket goes on.
    """
    if attempt.joined:
        return attempt.state, attempt.code
    if sidecar.queue.remove(attempt):
        end_attempt(sidecar, attempt, ResultCode.WITHDRAWN)
    elif cancel and attempt.state is not AttemptState.DONE:
        attempt.cancel_requested = True
        if attempt.cancel_scope is not None:
            attempt.cancel_scope.cancel()
    return attempt.state, attempt.code


def start_leaving(sidecar: Sidecar, reason: LeaveReason = LeaveReason.OPERATOR) -> None:
    """Refuse new work and hand back what waits; what runs goes on."""
    sidecar.attempts.leave_tracker.reasons.add(reason)
    for attempt in sidecar.queue.drain():
        end_attempt(sidecar, attempt, ResultCode.TARGET_LEAVING)


def stop_leaving(sidecar: Sidecar, reason: LeaveReason) -> None:
    """Drop a reason to leave; without any, new work is taken again."""
    sidecar.attempts.leave_tracker.reasons.discard(reason)
