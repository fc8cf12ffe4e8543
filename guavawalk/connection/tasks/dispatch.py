"""The task of one attempt at a sidecar: waits for dispatch and runs the work at the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk.codes import ResultCode
from guavawalk.connection.target import TargetAnswer
from guavawalk.exception import RequestError, TargetConnectError, TargetLost
from guavawalk.process.sidecar.accounting import end_attempt, record_first_token
from guavawalk.process.sidecar.admission import dispatch_ready
from guavawalk.process.sidecar.observed import record_attempt_end, record_tokens
from guavawalk.request.attempt import Attempt, AttemptState

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["run_attempt"]

CANCEL_TIMEOUT_S = 5.0
SERVER_ERROR_STATUS = 500


async def run_attempt(sidecar: Sidecar, attempt: Attempt) -> None:
    """Wait until an attempt is dispatched, run it at the target and buffer its answer.

    Parameters
    ----------
    sidecar : Sidecar
        State of the process.
    attempt : Attempt
        A queued attempt. It has ended, with its result code set, when this returns.
    """
    await _wait_turn(sidecar, attempt)
    if attempt.state is not AttemptState.DISPATCHED:
        record_attempt_end(sidecar, attempt)
        return
    try:
        if attempt.cancel_requested:
            attempt.undo_dispatch()
            end_attempt(sidecar, attempt, ResultCode.WITHDRAWN)
            return
        with anyio.CancelScope() as scope:
            attempt.cancel_scope = scope
            await _run(sidecar, attempt)
        if attempt.cancel_requested:
            await _cancel(sidecar, attempt, ResultCode.CANCELLED)
        elif scope.cancelled_caught:
            # Cancelled by the check for stalled attempts: the target has stopped sending.
            await _cancel(sidecar, attempt, _target_lost_code(attempt))
    finally:
        sidecar.attempts.running -= 1
        sidecar.window.record_end(attempt)
        # An attempt that has already ended keeps its code.
        end_attempt(sidecar, attempt, ResultCode.CUT_OFF)
        record_attempt_end(sidecar, attempt)
        dispatch_ready(sidecar)


async def _wait_turn(sidecar: Sidecar, attempt: Attempt) -> None:
    remaining_s = attempt.deadline_s - sidecar.clock.now_s()
    with anyio.move_on_after(remaining_s):
        await attempt.left_queue.wait()
    if attempt.state is AttemptState.QUEUED and sidecar.queue.remove(attempt):
        end_attempt(sidecar, attempt, ResultCode.DEADLINE_PASSED)


async def _run(sidecar: Sidecar, attempt: Attempt) -> None:
    try:
        async with sidecar.target.run(attempt.offer) as answer:
            await _buffer_answer(sidecar, attempt, answer)
    except TargetConnectError as error:
        attempt.undo_dispatch()
        end_attempt(sidecar, attempt, ResultCode.TARGET_UNREACHABLE, str(error))
    except TargetLost as error:
        sidecar.suspects.record_target_death(attempt.offer.fingerprint, sidecar.target_name)
        end_attempt(sidecar, attempt, _target_lost_code(attempt), str(error))
    except RequestError as error:
        await sidecar.target.cancel(attempt.offer.attempt_id)
        end_attempt(sidecar, attempt, error.code, error.detail)


def _target_lost_code(attempt: Attempt) -> ResultCode:
    if attempt.offer.model or attempt.answer.started:
        return ResultCode.TARGET_CRASHED
    return ResultCode.TARGET_LOST


async def _buffer_answer(sidecar: Sidecar, attempt: Attempt, answer: TargetAnswer) -> None:
    attempt.answer.start(answer.status, answer.headers)
    previous_part_s = attempt.dispatched_s
    async for part in answer.parts:
        now_s = sidecar.clock.now_s()
        elapsed_ms = (now_s - previous_part_s) * 1000
        if not attempt.first_token_s:
            attempt.mark_streaming(now_s)
            record_first_token(sidecar, attempt, elapsed_ms)
            dispatch_ready(sidecar)
        elif part.output_tokens:
            window_grew = sidecar.window.observe_tokens(attempt, part.output_tokens, elapsed_ms)
            record_tokens(sidecar, attempt, part.output_tokens, elapsed_ms)
            if window_grew:
                dispatch_ready(sidecar)
        previous_part_s = now_s
        if part.usage is not None:
            attempt.usage = part.usage
        attempt.answer.append(part.data)
    failed = answer.status >= SERVER_ERROR_STATUS
    code = ResultCode.TARGET_ERROR if failed else ResultCode.COMPLETED
    if not failed:
        sidecar.suspects.record_completed(attempt.offer.fingerprint)
    end_attempt(sidecar, attempt, code)


async def _cancel(sidecar: Sidecar, attempt: Attempt, code: ResultCode) -> None:
    end_attempt(sidecar, attempt, code)
    with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        await sidecar.target.cancel(attempt.offer.attempt_id)
