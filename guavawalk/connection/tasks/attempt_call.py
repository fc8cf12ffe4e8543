"""One attempt of a call: sends it to one target and forwards the answer to the caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import anyio

from guavawalk import events
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.http_encoding import encode_request
from guavawalk.connection.response_reader import ResponseHead
from guavawalk.connection.streams import STREAM_ERRORS
from guavawalk.connection.tasks.call_progress import FailedAnswer, Progress
from guavawalk.exception import AnswerOverLimit, TargetConnectError, TargetLost
from guavawalk.platform.requests import decode_answer, encode_target_headers, is_misdirected
from guavawalk.process.gateway.connect_failure import record_connect_failure
from guavawalk.process.gateway.connections import TargetConnection
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.request.call import Call
from guavawalk.request.engine_time import nominal_event_gap_s
from guavawalk.request.repeat import AttemptEnd, AttemptResult
from guavawalk.request.silence import answer_silence_limit_s, stream_silence_limit_s
from guavawalk.request.target_answer import AnswerFields
from guavawalk.version.routes import RouteKind

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["attempt_call"]

T = TypeVar("T")

# A pooled connection is used for a call only if it has been idle for less than this, in seconds.
# The target may close an idle connection just as a request is sent on it. A call that can't be
# repeated would then fail, so its limit is 0: it always gets a new connection.
MAX_IDLE_UNSAFE_S = 0.0
MAX_IDLE_IDEMPOTENT_S = 3600.0
# Shortest wait for bytes of a stream, in seconds: after a pause of this process some may have come.
MIN_READ_S = 0.05
# Number of events of a stream over which its pace is averaged for the target's slowness.
EVENTS_PER_PACE_SAMPLE = 8
# Number of answers to other requests on a connection after which the attempt fails; fewer are
# skipped.
MAX_SURPLUS_ANSWERS = 3
# Largest body of an answer to another request that is skipped, in bytes; a larger one isn't worth
# reading to reach the answer behind it.
MAX_SURPLUS_BYTES = 65_536


async def attempt_call(
    gateway: Gateway, call: Call, reservation: Reservation, progress: Progress, answer: CallerAnswer
) -> AttemptEnd:
    """Send a call to the target where a slot is reserved, and forward the answer.

    The reservation is released when the attempt ends.

    Parameters
    ----------
    reservation : Reservation
        The slot reserved for this attempt.
    progress : Progress
        State of the call over all its attempts; it is updated.
    answer : CallerAnswer
        Where the answer is written to.

    Returns
    -------
    AttemptEnd
        How the attempt ended. An error of the target or its connection is returned, not raised.

    Raises
    ------
    CallerGone
        If the caller's connection breaks while the answer is forwarded.
    """
    choice, target = reservation.choice, reservation.target
    progress.tried_ids.append(choice.target_id)
    max_idle_s = MAX_IDLE_IDEMPOTENT_S if call.route.is_idempotent else MAX_IDLE_UNSAFE_S
    address = target.registration.address
    try:
        connection = await gateway.connections.acquire(
            choice.target_id, address, max_idle_s, gateway.clock.now_s()
        )
        attempt = _Attempt(gateway, call, reservation, progress, answer, connection)
        return await attempt.run()
    except TargetConnectError as error:
        record_connect_failure(gateway, target)
        return AttemptEnd(AttemptResult.UNREACHED, str(error))
    finally:
        gateway.dispatcher.release(reservation)


class _Attempt:
    """The state of one attempt; it lasts as long as `attempt_call` runs."""

    def __init__(
        self,
        gateway: Gateway,
        call: Call,
        reservation: Reservation,
        progress: Progress,
        answer: CallerAnswer,
        connection: TargetConnection,
    ) -> None:
        self._gateway = gateway
        self._call = call
        self._choice = reservation.choice
        self._progress = progress
        self._answer = answer
        self._target = reservation.target
        self._running_call = reservation.running
        self._connection = connection
        self._fields: AnswerFields | None = None
        # Whether an answer to another request arrived on the connection.
        self._has_surplus = False
        self._had_run_before = progress.has_run

    async def run(self) -> AttemptEnd:
        """Send the call and forward the answer; then pool or close the connection."""
        try:
            end = await self._exchange()
        finally:
            with anyio.CancelScope(shield=True):
                await self._release()
        self._record_end(end)
        return end

    async def _exchange(self) -> AttemptEnd:
        progress = self._progress
        progress.sent_count += 1
        progress.has_run = True
        self._gateway.targets.record_sent_parts(
            self._choice.target_id, self._call.fields.prompt_parts
        )
        try:
            await self._send()
            silence_limit_s = answer_silence_limit_s(
                self._call.route, self._progress.sent_count, self._choice.first_event_s
            )
            head = await self._receive_unless_silent(self._read_own_head, silence_limit_s)
            if head is None:
                return AttemptEnd(
                    AttemptResult.SILENT, "no answer from the target within the silence limit"
                )
            return await self._forward_answer(head)
        except AnswerOverLimit as error:
            self._gateway.metrics.count("answers_over_limit_total")
            return AttemptEnd(AttemptResult.LOST, str(error))
        except TargetLost as error:
            return AttemptEnd(AttemptResult.LOST, str(error))

    async def _send(self) -> None:
        call = self._call
        now_s = self._gateway.clock.now_s()
        left_s = call.deadline_s - now_s
        last_id = self._progress.stream.last_id or call.fields.last_event_id
        headers = encode_target_headers(
            call.fields, self._choice.target_id, call.workspace.name, left_s, last_id
        )
        if self._progress.sent_count == 1:
            self._gateway.metrics.observe(
                "queue_seconds", now_s - call.arrived_s, service=call.service
            )
        self._gateway.log.emit(
            events.CALL_SENT,
            trace_id=call.fields.request_id,
            target=self._choice.target_id,
            cost=round(self._choice.cost, 3),
            expected_first_ms=int(self._choice.first_event_s * 1000),
            running=self._target.total_running,
            waited_ms=int((now_s - call.arrived_s) * 1000),
            left_ms=int(left_s * 1000),
            rank=call.rank,
            prompt_tokens=call.fields.prompt_tokens,
            output_tokens=call.expected_output_tokens,
            most_output_tokens=call.fields.max_output_tokens,
            routes_version=call.table.version,
            resumed_after=last_id,
        )
        request = encode_request(call.method, call.path, headers, call.body)
        try:
            await self._connection.stream.send(request)
        except STREAM_ERRORS:
            # The target may have answered before it closed the connection, so the answer is read
            # all the same. If there is none, reading it fails.
            self._gateway.metrics.count("sends_broken_total")

    async def _read_own_head(self) -> ResponseHead:
        """Return the head of the answer to this request, skipping answers to other requests."""
        reader = self._connection.reader
        for _ in range(MAX_SURPLUS_ANSWERS):
            head = await reader.read_head()
            fields = decode_answer(head)
            if self._is_own(fields):
                self._fields = fields
                self._target.record_answer_start(self._gateway.clock.now_s())
                return head
            self._gateway.metrics.count("surplus_answers_total")
            self._has_surplus = True
            await reader.read_body(MAX_SURPLUS_BYTES)
        raise TargetLost("received only answers to other requests")

    def _is_own(self, fields: AnswerFields) -> bool:
        # On a connection that an earlier request was sent on, an answer without an id may be a
        # second answer to that one. Only idempotent calls are sent on such a connection, so that a
        # rejection may be taken as their own: it delivers nothing.
        if not fields.request_id:
            return not self._connection.is_reused or fields.is_not_run
        return fields.request_id == self._call.fields.request_id

    async def _forward_answer(self, head: ResponseHead) -> AttemptEnd:
        fields = self._fields
        if fields.is_not_run:
            self._progress.has_run = self._had_run_before
            if is_misdirected(fields.status):
                self._progress.sent_count -= 1
                return AttemptEnd(
                    AttemptResult.MISDIRECTED, "another target answers at the address"
                )
            return AttemptEnd(AttemptResult.NOT_RUN, f"HTTP {fields.status}")
        if fields.status < 300 and self._call.route.kind is RouteKind.STREAM:
            if not fields.is_stamped:
                return AttemptEnd(AttemptResult.LOST, "the answer has no signature of the target")
            return await self._forward_stream(head)
        return await self._forward_buffered(fields)

    async def _forward_buffered(self, fields: AnswerFields) -> AttemptEnd:
        with self._gateway.buffers.answer() as buffered:
            while part := await self._connection.reader.read_part():
                buffered.append(part)
            return await self._finish_buffered(fields, bytes(buffered))

    async def _finish_buffered(self, fields: AnswerFields, body: bytes) -> AttemptEnd:
        if fields.status < 300:
            if not fields.is_stamped or (fields.request_id != self._call.fields.request_id):
                return AttemptEnd(
                    AttemptResult.LOST,
                    "the answer has no signature of the target, or not the id of the request",
                )
            self._record_first_event()
            await self._answer.send_complete(fields.status, fields.forwarded_headers, body)
            return AttemptEnd(AttemptResult.DELIVERED)
        # A target that did not run the call normally states so in a header. Without that header,
        # these statuses and answers without a signature leave open whether the call ran.
        if not fields.is_stamped or fields.status in (408, 421, 429, 503):
            return AttemptEnd(
                AttemptResult.LOST, f"HTTP {fields.status} leaves open whether the call ran"
            )
        self._progress.failure = FailedAnswer(fields.status, fields.forwarded_headers, body)
        return AttemptEnd(AttemptResult.FAILED, f"HTTP {fields.status}")

    async def _forward_stream(self, head: ResponseHead) -> AttemptEnd:
        answer, stream = self._answer, self._progress.stream
        silence_limit_s = stream_silence_limit_s(
            self._call.route,
            self._progress.sent_count,
            self._target.slowness.value * self._event_gap_s(),
        )
        now_s = self._gateway.clock.now_s
        # Bytes that complete no event, such as comments, don't end a silence.
        last_event_s = now_s()
        # An event that broke off in the previous attempt is sent again as a whole in this one.
        stream.discard_partial()
        while True:
            left_s = None
            if silence_limit_s is not None:
                left_s = max(last_event_s + silence_limit_s - now_s(), MIN_READ_S)
            part = await self._receive_unless_silent(
                self._connection.reader.read_part, left_s, silence_limit_s
            )
            if part is None:
                return AttemptEnd(
                    AttemptResult.SILENT, "no event of the stream within the silence limit"
                )
            if not part:
                break
            count = stream.count
            complete_events = stream.feed(part)
            if not complete_events:
                continue
            last_event_s = now_s()
            if not answer.has_begun:
                await answer.begin(head.status, self._fields.forwarded_headers, complete_events)
            else:
                await answer.send_part(complete_events)
            self._record_events(stream.count - count)
        rest = stream.pop_partial()
        if not answer.has_begun:
            await answer.begin(head.status, self._fields.forwarded_headers, rest)
        elif rest:
            await answer.send_part(rest)
        await answer.finish()
        return AttemptEnd(AttemptResult.DELIVERED)

    def _record_events(self, count: int) -> None:
        now_s = self._gateway.clock.now_s()
        self._progress.record_events(now_s)
        running_call = self._running_call
        if not running_call.first_event_at_s:
            self._record_first_event()
            self._target.record_first_event(running_call, now_s)
            return
        running_call.events += count
        if running_call.events >= EVENTS_PER_PACE_SAMPLE:
            pace_s = (now_s - running_call.pace_since_s) / running_call.events
            self._target.slowness.update(pace_s / self._event_gap_s())
            running_call.events = 0
            running_call.pace_since_s = now_s

    def _record_first_event(self) -> None:
        if not self._progress.first_event_s:
            now_s = self._gateway.clock.now_s()
            self._progress.first_event_s = now_s - self._call.arrived_s

    async def _receive_unless_silent(
        self,
        receive: Callable[[], Awaitable[T]],
        silence_limit_s: float | None,
        next_limit_s: float | None = None,
    ) -> T | None:
        """Return the result of `receive`; None if the call should go to another target instead.

        Parameters
        ----------
        silence_limit_s : float or None
            Time without an answer after which a slot at another target is requested, in seconds;
            None to wait without a limit.
        next_limit_s : float, optional
            Time after which it is requested again, in seconds; None for the same.

        Notes
        -----
        None is returned only after a slot at another target was reserved. Without one the wait
        continues, since a slow answer is better than none.
        """
        while silence_limit_s is not None:
            with anyio.move_on_after(silence_limit_s):
                return await receive()
            if self._reserve_next():
                return None
            silence_limit_s = next_limit_s or silence_limit_s
        return await receive()

    def _reserve_next(self) -> bool:
        """Return whether a slot at another target was reserved and paid from the retry budget."""
        gateway, call, progress = self._gateway, self._call, self._progress
        reservation = gateway.dispatcher.try_reserve(call, progress.tried_ids)
        if reservation is None:
            return False
        now_s = gateway.clock.now_s()
        if not gateway.retries.try_spend(call.service, gateway.peers.count(), now_s):
            gateway.dispatcher.release(reservation)
            return False
        progress.next_reservation = reservation
        return True

    def _may_repeat(self) -> bool:
        route = self._call.route
        return route.is_idempotent and self._progress.sent_count < route.max_targets

    def _event_gap_s(self) -> float:
        """Return the nominal time between two events at the target at its load, in seconds."""
        service = self._call.table.services.get(self._call.service)
        per_event = service.engine.tokens_per_event if service and service.engine else 1
        return nominal_event_gap_s(per_event, self._target.total_running)

    def _record_end(self, end: AttemptEnd) -> None:
        now_s = self._gateway.clock.now_s()
        result = end.result
        if result is AttemptResult.DELIVERED:
            self._target.failures.record(False, now_s)
            if self._call.route.kind is not RouteKind.STREAM:
                self._target.answer_s.update(now_s - self._running_call.started_at_s)
        elif result is AttemptResult.MISDIRECTED:
            self._target.usable_until_s = now_s
        else:
            self._target.failures.record(True, now_s)
        if result is AttemptResult.LOST:
            self._target.record_truncated_answer(self._call.fingerprint, now_s)
        elif result is AttemptResult.DELIVERED:
            self._gateway.suspects.record_completed(self._call.fingerprint)

    async def _release(self) -> None:
        connection, fields = self._connection, self._fields
        reader = connection.reader
        if (
            fields is not None
            and reader.is_complete
            and not reader.must_close
            and not self._has_surplus
            and fields.keep_alive
        ):
            now_s = self._gateway.clock.now_s()
            await self._gateway.connections.release(connection, fields.idle_s, now_s)
        else:
            await connection.aclose()
