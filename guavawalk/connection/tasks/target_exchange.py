"""One request at one target: its connection, from the sending until the answer can be forwarded."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.http_encoding import encode_request
from guavawalk.connection.response_reader import ResponseReader
from guavawalk.connection.streams import STREAM_ERRORS
from guavawalk.connection.tasks.call_progress import FailedAnswer, Progress
from guavawalk.exception import (
    AnswerInvalid,
    AnswerOverLimit,
    TargetConnectError,
    TargetError,
    TargetFailed,
    TargetLost,
    TargetRejected,
)
from guavawalk.platform.requests import decode_answer, encode_target_headers, is_misdirected
from guavawalk.process.gateway.connections import TargetConnection
from guavawalk.process.gateway.crash_refusal import clear_request, record_outlived
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.process.gateway.target_end import record_connect_failure, record_cut_call
from guavawalk.process.gateway.target_statements import record_statements
from guavawalk.process.gateway.tracked_target import CutCall
from guavawalk.request.call import Call
from guavawalk.request.crossing import CrossingReason
from guavawalk.request.event_stream import EVENT_END, MAX_EVENT_BYTES
from guavawalk.request.repeat import AttemptEnd, AttemptResult
from guavawalk.request.target_answer import AnswerFields
from guavawalk.version.routes import RouteKind

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["TargetExchange"]

# A pooled connection is used for a call only if it has been idle for less than this, in seconds.
# The target may close an idle connection just as a request is sent on it. A call that can't be
# repeated would then fail, so its limit is 0: it always gets a new connection.
MAX_IDLE_UNSAFE_S = 0.0
MAX_IDLE_IDEMPOTENT_S = 3600.0
# Number of answers to other requests on a connection after which the exchange fails; fewer are
# skipped.
MAX_SURPLUS_ANSWERS = 3
# Largest body of an answer to another request that is skipped, in bytes; a larger one isn't worth
# reading to reach the answer behind it.
MAX_SURPLUS_BYTES = 65_536
# Longest time for which two targets may have one stream, in seconds. A full target rejects a
# request within a round trip; the platform allows two to work on a stream for 0.4 s.
MAX_OVERLAP_S = 0.25


class TargetExchange:
    """One request at the target where a slot is reserved for it.

    Parameters
    ----------
    progress : Progress
        State of the call over all its attempts; it is updated.

    Attributes
    ----------
    fields : AnswerFields, optional
        Decoded head of the answer; None before it has arrived.
    was_closed : bool
        Whether the answer ended before it was complete, other than by the target's silence.
    """

    def __init__(
        self, gateway: Gateway, call: Call, reservation: Reservation, progress: Progress
    ) -> None:
        self.choice = reservation.choice
        self.target = reservation.target
        self.running_call = reservation.running
        self.fields: AnswerFields | None = None
        self.was_closed = False
        self._gateway = gateway
        self._call = call
        self._reservation = reservation
        self._progress = progress
        self._connection: TargetConnection | None = None
        self._resources = ExitStack()
        self._buffered = self._resources.enter_context(gateway.buffers.answer())
        # Bytes of a stream that were received before it is forwarded.
        self._early = b""
        # Whether an answer to another request arrived on the connection.
        self._has_surplus = False
        # Whether the target refused the connection.
        self._is_refused = False

    @property
    def is_sent(self) -> bool:
        """Whether the request has been sent, at least in part."""
        return self._connection is not None

    @property
    def reader(self) -> ResponseReader:
        """Reader of the answer; the request must have been sent."""
        return self._connection.reader

    @property
    def body(self) -> bytes:
        """Body of an answer that has arrived completely; empty for a stream."""
        return bytes(self._buffered)

    async def send(self) -> None:
        """Connect to the target and send the request.

        Raises
        ------
        TargetConnectError
            If the target accepts no connection; nothing has been sent then.
        """
        gateway, call, progress = self._gateway, self._call, self._progress
        target_id = self.choice.target_id
        progress.tried_ids.append(target_id)
        max_idle_s = MAX_IDLE_IDEMPOTENT_S if call.route.is_idempotent else MAX_IDLE_UNSAFE_S
        self._connection = await gateway.connections.acquire(
            target_id,
            self.target.registration.address,
            max_idle_s,
            gateway.clock.now_s(),
            call.fields.request_id,
        )
        progress.record_sent()
        gateway.targets.record_sent_parts(target_id, call.fields.prompt_parts)
        self.running_call.sent_s = now_s = gateway.clock.now_s()
        left_s = call.deadline_s - now_s
        last_id = progress.stream.last_id or call.fields.last_event_id
        headers = encode_target_headers(
            call.fields, target_id, call.workspace.name, left_s, last_id
        )
        if progress.sent_count == 1:
            gateway.metrics.observe("queue_seconds", now_s - call.arrived_s, service=call.service)
        if self.choice.reason is not CrossingReason.NONE:
            gateway.metrics.count("crossings_total", reason=self.choice.reason.value)
        gateway.log.emit(
            events.CALL_SENT,
            trace_id=call.fields.request_id,
            target=target_id,
            cost=round(self.choice.cost, 3),
            expected_first_ms=int(self.choice.first_event_s * 1000),
            running=self.target.total_running,
            waited_ms=int((now_s - call.arrived_s) * 1000),
            left_ms=int(left_s * 1000),
            rank=call.rank,
            prompt_tokens=call.fields.prompt_tokens,
            output_tokens=call.expected_output_tokens,
            most_output_tokens=call.fields.max_output_tokens,
            routes_version=call.table.version,
            resumed_after=last_id,
            crossing=self.choice.reason.value,
        )
        request = encode_request(call.method, call.path, headers, call.body)
        try:
            await self._connection.stream.send(request)
        except STREAM_ERRORS:
            # The target may have answered before it closed the connection, so the answer is read
            # all the same. If there is none, or only the close would end it, reading it fails.
            self._connection.reader.is_request_cut = True
            gateway.metrics.count("sends_broken_total")

    async def receive_answer(self) -> AnswerFields:
        """Receive the answer until it can be forwarded; return its head.

        A stream can be from its head on, another answer once it has arrived completely and is a
        success. A cancelled call loses nothing that has arrived; the next one goes on.

        Raises
        ------
        TargetLost
            If the connection ends first, or the answer doesn't prove that it is the target's own.
        TargetRejected, TargetFailed
            If the answer is no success.
        """
        if self.fields is None:
            self.fields = await self._read_own_head()
        fields = self.fields
        if fields.is_not_run:
            is_other_target = is_misdirected(fields.status)
            problem = "another target answers at the address"
            raise TargetRejected(
                problem if is_other_target else f"HTTP {fields.status}", is_other_target
            )
        is_success = fields.status < 300
        if is_success and self._call.route.kind is RouteKind.STREAM:
            if not fields.is_stamped:
                raise TargetLost("the answer has no signature of the target")
            return fields
        while part := await self.reader.read_part():
            self._buffered.append(part)
        if is_success:
            if not fields.is_stamped or fields.request_id != self._call.fields.request_id:
                raise TargetLost(
                    "the answer has no signature of the target, or not the id of the request"
                )
            return fields
        # A target that did not run the call normally states so in a header. Without that header,
        # these statuses and answers without a signature leave open whether the call ran.
        if not fields.is_stamped or fields.status in (408, 421, 429, 503):
            raise TargetLost(f"HTTP {fields.status} leaves open whether the call ran")
        self._progress.failure = FailedAnswer(fields.status, fields.forwarded_headers, self.body)
        raise TargetFailed(f"HTTP {fields.status}")

    async def _read_own_head(self) -> AnswerFields:
        """Return the head of the answer to this request, skipping answers to other requests."""
        for _ in range(MAX_SURPLUS_ANSWERS):
            fields = decode_answer(await self.reader.read_head())
            await self._record_statements(fields)
            if self._is_own(fields):
                now_s = self._gateway.clock.now_s()
                self.target.record_answer_start(now_s)
                self.target.record_life(self.running_call, now_s)
                return fields
            self._gateway.metrics.count("surplus_answers_total")
            if fields.is_not_run and not fields.request_id:
                raise TargetLost("a refusal without an id may be of an earlier request")
            self._has_surplus = True
            await self.reader.read_body(MAX_SURPLUS_BYTES)
        raise TargetLost("received only answers to other requests")

    async def _record_statements(self, fields: AnswerFields) -> None:
        gateway, target = self._gateway, self.target
        was_leaving = target.is_leaving
        record_statements(gateway, target, fields, self._call.fields.request_id)
        if target.is_leaving and not was_leaving:
            await gateway.connections.discard_target(self.choice.target_id)

    def _is_own(self, fields: AnswerFields) -> bool:
        # On a connection that an earlier request was sent on, an answer without an id may be a
        # second answer to that one. A refusal would be taken as a proof that this one has not run.
        if not fields.request_id:
            return not self._connection.is_reused
        return fields.request_id == self._call.fields.request_id

    async def take_over(self) -> None:
        """Send the request while another target is silent, until this one has taken the call.

        It has once its answer can be forwarded: a stream once an event is complete. It is also
        taken to have a stream that it has not rejected within `MAX_OVERLAP_S`.

        Raises
        ------
        TargetError
            If the target accepts no connection, or as `receive_answer` does.
        """
        await self.send()
        if self._call.route.kind is not RouteKind.STREAM:
            await self.receive_answer()
            return
        with anyio.move_on_after(MAX_OVERLAP_S):
            await self.receive_answer()
            while EVENT_END not in self._early and len(self._early) <= MAX_EVENT_BYTES:
                part = await self.reader.read_part()
                if not part:
                    break
                self._early += part

    async def read_part(self) -> bytes:
        """Return the next bytes of a stream, waiting for some; empty at its end."""
        if self._early:
            early, self._early = self._early, b""
            return early
        return await self.reader.read_part()

    def end_by(self, error: TargetError) -> AttemptEnd:
        """Return the end of an attempt that an error ended; called once for the exchange."""
        match error:
            case TargetConnectError():
                self._is_refused = error.is_refused
                result = AttemptResult.UNREACHED
            case TargetRejected():
                self._progress.record_not_run(is_counted=not error.is_misdirected)
                result = AttemptResult.NOT_RUN
                if error.is_misdirected:
                    result = AttemptResult.MISDIRECTED
            case TargetFailed():
                result = AttemptResult.FAILED
            case _:
                result = AttemptResult.LOST
                self.was_closed = not (isinstance(error, TargetLost) and error.is_silent)
        if isinstance(error, AnswerOverLimit):
            self._gateway.metrics.count("answers_over_limit_total")
        if isinstance(error, AnswerInvalid):
            self._gateway.metrics.count("answers_invalid_total")
        return AttemptEnd(result, str(error))

    def record_end(self, end: AttemptEnd) -> None:
        """Record what the end of an attempt shows about the target."""
        gateway, target, result = self._gateway, self.target, end.result
        now_s = gateway.clock.now_s()
        if result in (AttemptResult.UNNEEDED, AttemptResult.SILENT, AttemptResult.LOST):
            self._record_cut(self.was_closed)
        if result is AttemptResult.UNNEEDED:
            return
        if result is AttemptResult.UNREACHED:
            record_connect_failure(gateway, target, self._is_refused)
            return
        if result is AttemptResult.DELIVERED:
            target.failures.record(False, now_s)
            if self._call.route.kind is not RouteKind.STREAM:
                target.answer_s.update(now_s - self.running_call.started_at_s)
        elif result is AttemptResult.MISDIRECTED:
            target.usable_until_s = now_s
        else:
            target.failures.record(True, now_s)
        if result is AttemptResult.DELIVERED:
            record_outlived(gateway, self._call, self.running_call.started_at_s)
            clear_request(gateway, self._call.fingerprint)

    def record_abandoned(self) -> None:
        """Record that the call was cancelled, so that its end at the target is not known."""
        if self.is_sent:
            self._record_cut(was_closed=False)

    def _record_cut(self, was_closed: bool) -> None:
        now_s = self._gateway.clock.now_s()
        is_early = self.running_call.is_early(now_s)
        call = self._call
        cut = CutCall(call.fingerprint, now_s, is_early, was_closed, call.shared_parts)
        record_cut_call(self._gateway, self.target, cut)

    def log_end(self, end: AttemptEnd, next_step: str, may_retry: bool) -> None:
        """Log how the attempt ended, and what the gateway does next with the call."""
        has_doubt = end.result in (AttemptResult.LOST, AttemptResult.SILENT)
        self._gateway.log.emit(
            events.CALL_ATTEMPT_ENDED,
            trace_id=self._call.fields.request_id,
            target=self.choice.target_id,
            result=end.result.value,
            detail=end.detail,
            sent=self._progress.sent_count,
            may_retry=may_retry,
            next=next_step,
            fingerprint=self._call.fingerprint if has_doubt else None,
        )

    async def close(self) -> None:
        """Pool or close the connection and release the slot, even if the task is cancelled."""
        try:
            self._resources.close()
            with anyio.CancelScope(shield=True):
                await self._release_connection()
        finally:
            self._gateway.dispatcher.release(self._reservation)

    async def _release_connection(self) -> None:
        connection, fields = self._connection, self.fields
        if connection is None:
            return
        reader = connection.reader
        if (
            fields is not None
            and reader.is_complete
            and not reader.must_close
            and not self._has_surplus
            and fields.keep_alive
            and not self.target.is_leaving
        ):
            now_s = self._gateway.clock.now_s()
            await self._gateway.connections.release(connection, fields.idle_s, now_s)
        else:
            await connection.aclose()
