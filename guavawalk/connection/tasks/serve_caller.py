"""The task of a caller's connection to a gateway: reads, admits and forwards its requests."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import closing
from functools import partial
from typing import TYPE_CHECKING

import anyio.lowlevel
from anyio.abc import ByteStream

from guavawalk import events
from guavawalk.codes import ResultCode, describe_code
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.http_encoding import Header
from guavawalk.connection.request_parser import ReceivedRequest
from guavawalk.connection.request_reader import NO_ROOM_STATUS, RequestReader
from guavawalk.connection.streams import STREAM_ERRORS, close_stream, enable_dead_peer_detection
from guavawalk.connection.tasks.call_progress import Progress
from guavawalk.connection.tasks.forward_call import count_end, forward_call, refuse_call
from guavawalk.exception import CallerGone, HttpInvalid, RequestError
from guavawalk.platform.requests import decode_call, decode_caller, encode_retry_after
from guavawalk.process.gateway.crash_refusal import refuse_or_try
from guavawalk.request.admission import admit_call, refusal_of_caller
from guavawalk.request.call import Call

if TYPE_CHECKING:
    from guavawalk.process.gateway.callers import CallerTracker
    from guavawalk.process.gateway.state import Gateway

__all__ = ["serve_caller"]

# Time for which the rest of an invalid request is read and discarded after the error answer, in
# seconds; then the connection is closed. Closing it with unread bytes would reset it, and the
# caller could lose the answer.
LINGER_S = 0.5
LINGER_CHUNK_BYTES = 262_144
# Most bytes that are read in that time: a few bodies of the usual limit.
LINGER_BYTES = 16 * 1024 * 1024
# Time after which a caller may retry a request for which there was no room, in seconds.
NO_ROOM_RETRY_S = 1.0

# Risk, from 0 to 1, of being cut off by the end of the process above which a call is refused. The
# caller of a refused call loses the time of a new connection, that of a cut one the whole answer.
MAX_CUT_OFF_RISK = 0.2


async def serve_caller(gateway: Gateway, stream: ByteStream) -> None:
    """Serve the requests of one connection one after another until it closes.

    A broken connection is counted as `callers_lost_total`; no error is raised.
    """
    try:
        enable_dead_peer_detection(stream)
        with gateway.callers.connection(stream), gateway.input.connection() as room:
            check = partial(_check_head, gateway)
            limits = gateway.routes.table.limits
            with closing(RequestReader(stream, limits, room, check, gateway.read_turns)) as reader:
                while await _serve_next(gateway, stream, reader):
                    pass
    except (CallerGone, OSError):
        gateway.metrics.count("callers_lost_total")
    finally:
        await close_stream(stream)


async def _serve_next(gateway: Gateway, stream: ByteStream, reader: RequestReader) -> bool:
    try:
        request = await _next_request(gateway, stream, reader)
    except HttpInvalid as error:
        await _reject(gateway, stream, error)
        return False
    if request is None:
        return False
    with gateway.callers.call():
        answer = CallerAnswer(stream, partial(_may_keep_alive, gateway.callers, request, reader))
        await _answer_request(gateway, request, reader, answer)
    if not answer.is_complete:
        return False
    if not answer.keep_alive:
        if reader.has_arrived():
            await _discard_input(stream)
        return False
    return not gateway.callers.is_refusing or await reader.look_again()


async def _next_request(
    gateway: Gateway, stream: ByteStream, reader: RequestReader
) -> ReceivedRequest | None:
    """Return the next request; None if there is none or the wait for it was ended."""
    while True:
        with gateway.callers.idle(stream, reader.has_arrived):
            return await reader.next(gateway.routes.table.limits)
        # One that has arrived when the wait ends is still read, and answered.
        if not await reader.look_again():
            return None


def _check_head(gateway: Gateway, target: bytes, headers: Sequence[Header]) -> RequestError | None:
    """Return why a request is refused whatever its body is; None if it may be admitted."""
    host, key = decode_caller(headers)
    return refusal_of_caller(gateway.routes.table, host, target, key)


def _may_keep_alive(
    callers: CallerTracker, request: ReceivedRequest, reader: RequestReader
) -> bool:
    # A request behind this one may have been read already, and gets no answer after a close.
    return request.keep_alive and (not callers.is_draining or reader.is_receiving())


async def _answer_request(
    gateway: Gateway, request: ReceivedRequest, reader: RequestReader, answer: CallerAnswer
) -> None:
    now_s = gateway.clock.now_s()
    try:
        fields = decode_call(request.headers)
        if gateway.callers.is_refusing:
            raise RequestError(ResultCode.DRAINING, retry_after_ms=0)
        if request.refusal is not None:
            raise request.refusal
        table = gateway.routes.table
        call = admit_call(table, fields, request.method, request.target, request.body, now_s)
        if gateway.dispatcher.cut_off_risk(call, gateway.callers.ends_s) > MAX_CUT_OFF_RISK:
            raise RequestError(
                ResultCode.DRAINING, "it would not end before the process", retry_after_ms=0
            )
        call = refuse_or_try(gateway, call)
        _admit_to_quota(gateway, call)
    except HttpInvalid as error:
        gateway.log.emit(events.CALL_REJECTED, status=error.status, reason=error.problem)
        await answer.send_complete(error.status, ())
        return
    except RequestError as error:
        await refuse_call(gateway, fields.request_id, error, answer)
        return
    await _forward_until_caller_leaves(gateway, call, reader, answer)


def _admit_to_quota(gateway: Gateway, call: Call) -> None:
    workspace = call.workspace
    quota = workspace.quota
    amount = _quota_amount(call)
    share = gateway.peers.live_share()
    wait_s = gateway.quotas.try_admit(workspace.name, quota, amount, share, call.arrived_s)
    if wait_s:
        code = ResultCode.LIMIT_TOKENS if quota.counts_tokens else ResultCode.LIMIT_REQUESTS
        raise RequestError(
            code, f"workspace {workspace.name}, {amount} asked", max(int(wait_s * 1000), 1)
        )


def _quota_amount(call: Call) -> int:
    return call.quota_tokens if call.workspace.quota.counts_tokens else 1


async def _forward_until_caller_leaves(
    gateway: Gateway, call: Call, reader: RequestReader, answer: CallerAnswer
) -> None:
    caller_left = has_ended = False
    progress = Progress()

    async def watch_caller(scope: anyio.CancelScope) -> None:
        nonlocal caller_left
        await reader.wait_closed()
        caller_left = True
        answer.abandon()
        scope.cancel()

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_caller, tasks.cancel_scope)
            try:
                await forward_call(gateway, call, progress, answer)
                has_ended = True
            except CallerGone as error:
                progress.end_reason = str(error)
                caller_left = True
            tasks.cancel_scope.cancel()
        # A process that ends closes the connections of callers that don't read.
        await anyio.lowlevel.checkpoint_if_cancelled()
    except anyio.get_cancelled_exc_class():
        if not has_ended:
            progress.end_reason = "the process ends"
            count_end(gateway, call, progress, answer, ResultCode.CUT_OFF)
        raise
    finally:
        if not progress.has_run:
            gateway.quotas.refund(call.workspace.name, _quota_amount(call), call.arrived_s)
    if caller_left and not answer.is_complete:
        if not has_ended:
            count_end(gateway, call, progress, answer, ResultCode.CALLER_LEFT)
        raise CallerGone(describe_code(ResultCode.CALLER_LEFT).message)


async def _reject(gateway: Gateway, stream: ByteStream, error: HttpInvalid) -> None:
    gateway.metrics.count("requests_rejected_total", status=str(error.status))
    gateway.log.emit(events.CALL_REJECTED, status=error.status, reason=error.problem)
    # The budget refuses in favour of others, for as long as a few bodies take.
    headers = (encode_retry_after(NO_ROOM_RETRY_S),) if error.status == NO_ROOM_STATUS else ()
    await CallerAnswer(stream, lambda: False).send_complete(error.status, headers)
    await _discard_input(stream)


async def _discard_input(stream: ByteStream) -> None:
    """Read what the caller still sends after its last answer, for a bounded time and size."""
    left_bytes = LINGER_BYTES
    with anyio.move_on_after(LINGER_S):
        try:
            await stream.send_eof()
            while left_bytes > 0:
                left_bytes -= len(await stream.receive(LINGER_CHUNK_BYTES))
        except (anyio.EndOfStream, *STREAM_ERRORS):
            return
