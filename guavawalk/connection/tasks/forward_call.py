"""Forwarding of one call: makes attempts at targets until the caller has an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.tasks.attempt_call import attempt_call
from guavawalk.connection.tasks.call_progress import Progress
from guavawalk.connection.tasks.target_exchange import TargetExchange
from guavawalk.exception import CallerGone, RequestError
from guavawalk.platform.requests import encode_retry_after, encode_status
from guavawalk.process.gateway.crash_refusal import ends_targets, refuse_or_try, settles_in_s
from guavawalk.process.gateway.refusal import MAX_RETRY_AFTER_SHARE
from guavawalk.process.supervise import log_failure
from guavawalk.request.call import Call
from guavawalk.request.repeat import AttemptResult, StepKind, decide_next

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["count_end", "forward_call", "refuse_call"]

# Time after which the caller may retry a call that no target has run, in seconds, if the error
# states none.
DEFAULT_RETRY_AFTER_S = 0.2
# Statuses that leave open whether the call has run.
OUTCOME_UNKNOWN_STATUSES = (502, 504)
# Time to the deadline, in seconds, below which no further attempt is made, as none could end in
# time.
MIN_ATTEMPT_S = 0.02


async def refuse_call(
    gateway: Gateway, request_id: str, error: RequestError, answer: CallerAnswer
) -> None:
    """Answer a call that has not run and won't run, and log and count the refusal.

    Parameters
    ----------
    error : RequestError
        Why it is refused. Without its `retry_after_ms` the answer states no retry time.
    """
    status = encode_status(error.code)
    wait_ms = error.retry_after_ms
    gateway.log.emit(
        events.CALL_REFUSED,
        trace_id=request_id,
        code=int(error.code),
        code_name=error.code.name,
        status=status,
        reason=str(error),
        retry_after_ms=wait_ms,
        routes_version=gateway.routes.table.version,
    )
    gateway.metrics.count("calls_total", code=error.code.name)
    headers = () if wait_ms is None else (encode_retry_after(wait_ms / 1000),)
    await answer.send_complete(status, headers)


async def forward_call(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer
) -> None:
    """Attempt a call at targets until one has answered it, it fails, or its deadline passes.

    The outcome is written to `answer`, logged and counted. So is an unexpected error, after which
    the caller is answered all the same.

    Raises
    ------
    CallerGone
        If the caller's connection breaks.
    """
    gateway.retries.record_request(call.service, call.arrived_s)
    answer.deadline_s = call.deadline_s
    with (
        anyio.CancelScope(deadline=call.deadline_s) as scope,
        gateway.callers.forwarding(scope),
    ):
        try:
            code = await _run_attempts(gateway, call, progress, answer)
        except CallerGone:
            raise
        except Exception as error:
            log_failure(gateway.log, "call", error, trace_id=call.fields.request_id)
            failure = RequestError(ResultCode.INTERNAL_ERROR)
            code = await _answer_failure(gateway, call, progress, answer, failure)
        finally:
            if (unused := progress.pop_successor()) is not None:
                await unused.close()
    if scope.cancelled_caught:
        has_stopped = gateway.callers.is_ending
        end = _end_at_stop if has_stopped else _end_at_deadline
        code = await end(gateway, call, progress, answer)
    _record_end(gateway, call, progress, answer, code)


async def _run_attempts(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer
) -> ResultCode:
    exchange: TargetExchange | None = None
    while True:
        if exchange is None:
            has_been_sent = progress.sent_count > 0
            if wait_s := settles_in_s(gateway, call, has_been_sent):
                await anyio.sleep(wait_s)
            try:
                reservation = await gateway.dispatcher.reserve(
                    call, progress.tried_ids, answer.has_begun
                )
            except RequestError as error:
                return await _answer_failure(gateway, call, progress, answer, error)
            # The request may have ended a target while this call waited.
            try:
                call = refuse_or_try(gateway, call, has_been_sent)
            except RequestError as error:
                gateway.dispatcher.release(reservation)
                return await _answer_failure(gateway, call, progress, answer, error)
            exchange = TargetExchange(gateway, call, reservation, progress)
        end = await attempt_call(gateway, call, exchange, progress, answer)
        if (successor := progress.pop_successor()) is not None:
            exchange.log_end(end, "switch", may_retry=True)
            gateway.metrics.count("repeats_total", result=end.result.name)
            exchange = successor
            continue
        may_retry = _may_retry(gateway, call, progress, end.result)
        step = decide_next(
            call, end, progress.sent_count, progress.has_run, answer.has_begun, may_retry
        )
        exchange.log_end(end, step.kind.value, may_retry)
        exchange = None
        if step.kind is StepKind.REPEAT:
            gateway.metrics.count("repeats_total", result=end.result.name)
            continue
        if step.kind is StepKind.FINISHED:
            return ResultCode.COMPLETED
        if step.kind is StepKind.BREAK:
            answer.keep_alive = False
            return step.code
        return await _answer_failure(gateway, call, progress, answer, RequestError(step.code))


def _may_retry(gateway: Gateway, call: Call, progress: Progress, result: AttemptResult) -> bool:
    """Return whether time and the retry budget allow another attempt; spend from the budget.

    Nothing is spent if no target has got the call yet. A call that ends its targets gets none, nor
    does one that ran to show whether it does.
    """
    now_s = gateway.clock.now_s()
    if ends_targets(gateway, call) or (call.is_trial and progress.has_run):
        return False
    if result is AttemptResult.DELIVERED or call.deadline_s - now_s < MIN_ATTEMPT_S:
        return False
    if not progress.sent_count:
        return True
    return gateway.retries.try_spend(call.service, gateway.peers.count(), now_s)


async def _answer_failure(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer, error: RequestError
) -> ResultCode:
    """Answer a call that gets no successful answer, and return the code of its outcome.

    An answer that has already begun is broken off by closing the connection. Otherwise the caller
    gets the last error answer of a target, or else an error status of the gateway.
    """
    progress.end_reason = f"{error.code.name}: {error}"
    if answer.has_begun:
        answer.keep_alive = False
        return ResultCode.TARGET_LOST
    if progress.failure is not None:
        failed = progress.failure
        await answer.send_complete(failed.status, failed.headers, failed.body)
        return ResultCode.TARGET_ERROR
    if progress.has_run:
        code = error.code
        if encode_status(code) not in OUTCOME_UNKNOWN_STATUSES:
            code = ResultCode.OUTCOME_UNKNOWN
        await answer.send_complete(encode_status(code), ())
        return code
    left_s = call.deadline_s - gateway.clock.now_s()
    wait_s = DEFAULT_RETRY_AFTER_S if error.retry_after_ms is None else error.retry_after_ms / 1000
    headers = (encode_retry_after(max(min(wait_s, MAX_RETRY_AFTER_SHARE * left_s), 0.0)),)
    await answer.send_complete(encode_status(error.code), headers)
    return error.code


async def _end_at_deadline(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer
) -> ResultCode:
    progress.end_reason = "the deadline passed"
    if answer.has_begun:
        answer.keep_alive = False
        return ResultCode.TARGET_LOST
    if progress.has_run and progress.failure is None:
        await answer.send_complete(encode_status(ResultCode.LINK_LOST), ())
        return ResultCode.LINK_LOST
    error = RequestError(ResultCode.DEADLINE_UNREACHABLE)
    return await _answer_failure(gateway, call, progress, answer, error)


async def _end_at_stop(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer
) -> ResultCode:
    if answer.has_begun:
        progress.end_reason = "the process ends"
        answer.keep_alive = False
        return ResultCode.CUT_OFF
    error = RequestError(ResultCode.DRAINING, retry_after_ms=0)
    return await _answer_failure(gateway, call, progress, answer, error)


def _record_end(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer, code: ResultCode
) -> None:
    total_s = gateway.clock.now_s() - call.arrived_s
    gateway.metrics.observe("call_seconds", total_s, kind=call.route.kind.value)
    if progress.first_event_s:
        gateway.metrics.observe("first_event_seconds", progress.first_event_s, rank=str(call.rank))
    if progress.longest_pause_s:
        gateway.metrics.observe("pause_seconds", progress.longest_pause_s, rank=str(call.rank))
    count_end(gateway, call, progress, answer, code)


def count_end(
    gateway: Gateway, call: Call, progress: Progress, answer: CallerAnswer, code: ResultCode
) -> None:
    """Log and count the end of a call, once for each call that is forwarded."""
    total_s = gateway.clock.now_s() - call.arrived_s
    gateway.metrics.count("calls_total", code=code.name)
    gateway.log.emit(
        events.CALL_ENDED,
        trace_id=call.fields.request_id,
        code=int(code),
        code_name=code.name,
        status=answer.status,
        is_whole=answer.is_complete,
        reason=progress.end_reason,
        first_ms=int(progress.first_event_s * 1000),
        longest_pause_ms=int(progress.longest_pause_s * 1000),
        after_ms=int(total_s * 1000),
        events=progress.stream.count,
    )
