"""The part of a caller's task that sends a call to one target and passes its answer on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import anyio

from guavawalk import events
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.http_encoding import encode_request
from guavawalk.connection.response_reader import ResponseHead
from guavawalk.connection.streams import STREAM_BROKEN
from guavawalk.connection.tasks.call_progress import FailedAnswer, Progress
from guavawalk.exception import TargetConnectError, TargetLost
from guavawalk.platform.requests import decode_answer, encode_target_headers, is_misdirected
from guavawalk.process.gateway.connections import TargetConnection
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.request.call import Call
from guavawalk.request.engine_time import nominal_event_gap_s
from guavawalk.request.repeat import AttemptEnd, AttemptResult
from guavawalk.request.target_answer import AnswerFields
from guavawalk.version.routes import RouteKind

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.targets import TrackedTarget

__all__ = ["attempt_call"]

T = TypeVar("T")

# Idle time after which a kept connection is not trusted with a request that can't be repeated.
TRUSTED_IDLE_S = 0.0
ANY_IDLE_S = 3600.0
# An idempotent call is sent elsewhere when nothing has come for this multiple of the expected
# time, and not before the least of these, in seconds.
SILENT_FACTOR = 4.0
LEAST_SILENT_S = 0.35
LEAST_STREAM_SILENT_S = 0.9
# Events after which a stream's pace is taken into the target's slowness.
PACE_EVERY_EVENTS = 8
# Largest answer that is kept whole before it is passed on, in bytes.
MAX_WHOLE_BYTES = 4 * 1024 * 1024
# Surplus answers that are skipped while the one asked for is awaited.
MAX_SURPLUS = 3


async def attempt_call(
    gateway: Gateway, call: Call, reservation: Reservation, progress: Progress, answer: CallerAnswer
) -> AttemptEnd:
    """Send a call to the target where it has a place, and pass on what that answers."""
    choice, target = reservation.choice, reservation.target
    progress.tried_ids.append(choice.target_id)
    idle_s = ANY_IDLE_S if call.route.is_idempotent else TRUSTED_IDLE_S
    address = target.registration.address
    try:
        connection = await gateway.connections.acquire(
            choice.target_id, address, idle_s, gateway.clock.now_s()
        )
        attempt = _Attempt(gateway, call, reservation, progress, answer, connection)
        return await attempt.run()
    except TargetConnectError as error:
        _record_connect_failure(gateway, target)
        return AttemptEnd(AttemptResult.UNREACHED, str(error))
    finally:
        gateway.dispatcher.release(reservation)


def _record_connect_failure(gateway: Gateway, target: TrackedTarget) -> None:
    now_s = gateway.clock.now_s()
    pause_s = target.record_connect_failure(now_s)
    target_id = target.registration.target_id
    if pause_s:
        gateway.log.emit(
            events.TARGET_PAUSED,
            target=target_id,
            pause_ms=int(pause_s * 1000),
            failure_share=round(target.failure_share(now_s), 2),
            silent_ms=int((now_s - target.last_answer_s) * 1000) if target.last_answer_s else None,
        )
    for fingerprint in target.pop_crash_suspects(now_s):
        gateway.suspects.record_target_death(fingerprint, target_id)
        gateway.log.emit(
            events.CALL_SUSPECTED,
            target=target_id,
            fingerprint=fingerprint,
            blocked=gateway.suspects.is_blocked(fingerprint),
        )


class _Attempt:
    """One attempt; it lives inside its caller's task."""

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
        self._had_run = progress.has_run

    async def run(self) -> AttemptEnd:
        """Send, and pass the answer on."""
        try:
            end = await self._exchange()
        finally:
            with anyio.CancelScope(shield=True):
                await self._release()
        self._record_end(end)
        return end

    async def _exchange(self) -> AttemptEnd:
        progress = self._progress
        progress.sent += 1
        progress.has_run = True
        self._gateway.targets.record_sent_parts(
            self._choice.target_id, self._call.fields.prompt_parts
        )
        try:
            await self._send()
            head = await self._unless_silent(self._own_head, self._silent_s())
            if head is None:
                return AttemptEnd(AttemptResult.SILENT, "no answer")
            return await self._pass_on(head)
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
        if self._progress.sent == 1:
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
        except STREAM_BROKEN:
            # The target may have answered before it closed; if not, reading says so.
            self._gateway.metrics.count("sends_broken_total")

    async def _own_head(self) -> ResponseHead:
        """Return the head of the answer to this request, skipping surplus ones."""
        reader = self._connection.reader
        for _ in range(MAX_SURPLUS):
            head = await reader.head()
            fields = decode_answer(head)
            if fields.request_id in ("", self._call.fields.request_id):
                self._fields = fields
                self._target.record_answer_start(self._gateway.clock.now_s())
                return head
            self._gateway.metrics.count("surplus_answers_total")
            reader.must_close = True
            while await reader.part():
                pass
        raise TargetLost("only answers to other requests came")

    async def _pass_on(self, head: ResponseHead) -> AttemptEnd:
        fields = self._fields
        if fields.is_not_run:
            self._progress.has_run = self._had_run
            if is_misdirected(fields.status):
                self._progress.sent -= 1
                return AttemptEnd(AttemptResult.MISDIRECTED, "another target has the address")
            return AttemptEnd(AttemptResult.NOT_RUN, f"HTTP {fields.status}")
        if fields.status < 300 and self._call.route.kind is RouteKind.STREAM:
            if not fields.is_stamped:
                return AttemptEnd(AttemptResult.LOST, "an answer without signature")
            return await self._pass_stream(head)
        return await self._pass_whole(fields)

    async def _pass_whole(self, fields: AnswerFields) -> AttemptEnd:
        body = await self._connection.reader.whole(MAX_WHOLE_BYTES)
        if fields.status < 300:
            if not fields.is_stamped or (fields.request_id != self._call.fields.request_id):
                return AttemptEnd(AttemptResult.LOST, "an answer without signature")
            self._record_first_event()
            await self._answer.send_complete(fields.status, fields.forwarded_headers, body)
            return AttemptEnd(AttemptResult.DELIVERED)
        if not fields.is_stamped or fields.status in (408, 421, 429, 503):
            return AttemptEnd(AttemptResult.LOST, f"HTTP {fields.status} that promises nothing")
        self._progress.failure = FailedAnswer(fields.status, fields.forwarded_headers, body)
        return AttemptEnd(AttemptResult.FAILED, f"HTTP {fields.status}")

    async def _pass_stream(self, head: ResponseHead) -> AttemptEnd:
        answer, stream = self._answer, self._progress.stream
        silent_s = LEAST_STREAM_SILENT_S if self._may_repeat() else None
        stream.drop_rest()
        while True:
            part = await self._unless_silent(self._connection.reader.part, silent_s)
            if part is None:
                return AttemptEnd(AttemptResult.SILENT, "the stream has paused")
            if not part:
                break
            count = stream.count
            whole = stream.feed(part)
            if not whole:
                continue
            if not answer.has_begun:
                await answer.begin(head.status, self._fields.forwarded_headers, whole)
            else:
                await answer.send_part(whole)
            self._record_events(stream.count - count)
        rest = stream.take_rest()
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
        if running_call.events >= PACE_EVERY_EVENTS:
            service = self._call.table.services.get(self._call.service)
            per_event = service.engine.tokens_per_event if service and service.engine else 1
            nominal_s = nominal_event_gap_s(per_event, self._target.total_running)
            pace_s = (now_s - running_call.pace_since_s) / running_call.events
            self._target.slowness.update(pace_s / nominal_s)
            running_call.events = 0
            running_call.pace_since_s = now_s

    def _record_first_event(self) -> None:
        if not self._progress.first_event_s:
            now_s = self._gateway.clock.now_s()
            self._progress.first_event_s = now_s - self._call.arrived_s

    async def _unless_silent(
        self, receive: Callable[[], Awaitable[T]], silent_s: float | None
    ) -> T | None:
        """Return what comes; None once the target is silent and another one has a place.

        Notes
        -----
        Silence alone is no reason to end an answer: without a place elsewhere the wait goes on.
        """
        while silent_s is not None:
            with anyio.move_on_after(silent_s):
                return await receive()
            if self._reserve_next():
                return None
        return await receive()

    def _reserve_next(self) -> bool:
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
        return route.is_idempotent and self._progress.sent < route.max_targets

    def _silent_s(self) -> float | None:
        route = self._call.route
        if not self._may_repeat():
            return None
        least_s = LEAST_STREAM_SILENT_S if route.kind is RouteKind.STREAM else LEAST_SILENT_S
        return max(SILENT_FACTOR * self._choice.first_event_s, least_s)

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
            and fields.keep_alive
        ):
            now_s = self._gateway.clock.now_s()
            await self._gateway.connections.release(connection, fields.idle_s, now_s)
        else:
            await connection.aclose()
