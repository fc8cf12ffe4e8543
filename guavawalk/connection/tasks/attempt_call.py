"""One attempt of a call: sends it to one target and forwards the answer to the caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import anyio

from guavawalk import events
from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.tasks.call_progress import Progress
from guavawalk.connection.tasks.check_target import check_target
from guavawalk.connection.tasks.target_exchange import TargetExchange
from guavawalk.exception import TargetError, TargetLost
from guavawalk.process.gateway.crash_refusal import ends_targets, record_outlived
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.request.call import Call
from guavawalk.request.engine_time import nominal_event_gap_s
from guavawalk.request.repeat import AttemptEnd, AttemptResult, may_repeat
from guavawalk.request.silence import answer_silence_limit_s, stream_silence_limit_s
from guavawalk.request.target_answer import AnswerFields
from guavawalk.version.routes import RouteKind

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["attempt_call"]

T = TypeVar("T")

# Number of events of a stream over which its pace is averaged for the target's slowness.
EVENTS_PER_PACE_SAMPLE = 8


async def attempt_call(
    gateway: Gateway,
    call: Call,
    exchange: TargetExchange,
    progress: Progress,
    answer: CallerAnswer,
) -> AttemptEnd:
    """Send a call to a target, unless that was done before, and forward the answer.

    The exchange is closed when the attempt ends.

    Parameters
    ----------
    exchange : TargetExchange
        The exchange with the target where a slot is reserved.
    progress : Progress
        State of the call over all its attempts; it is updated. After a `SILENT` attempt, and
        perhaps a failed one, its `successor` is the exchange with which the call goes on.
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
    try:
        end = await _Attempt(gateway, call, exchange, progress, answer).run()
    except BaseException:
        exchange.record_abandoned()
        raise
    else:
        exchange.record_end(end)
    finally:
        await exchange.close()
    if exchange.was_closed:
        await check_target(gateway, exchange.target)
    return end


class _Attempt:
    """The state of one attempt; it lasts as long as `attempt_call` runs."""

    def __init__(
        self,
        gateway: Gateway,
        call: Call,
        exchange: TargetExchange,
        progress: Progress,
        answer: CallerAnswer,
    ) -> None:
        self._gateway = gateway
        self._call = call
        self._exchange = exchange
        self._progress = progress
        self._answer = answer
        # Since when the target has been awaited without a result, on the process's clock.
        self._awaited_since_s = 0.0

    async def run(self) -> AttemptEnd:
        """Send the call, unless that was done before, and forward the answer."""
        exchange = self._exchange
        try:
            if not exchange.is_sent:
                await exchange.send()
            silence_limit_s = answer_silence_limit_s(
                self._call.route, self._progress.sent_count, exchange.choice.first_event_s
            )
            fields = await self._receive_unless_silent(exchange.receive_answer, silence_limit_s)
            if fields is None:
                return AttemptEnd(
                    AttemptResult.SILENT, "no answer from the target within the silence limit"
                )
            if self._call.route.kind is RouteKind.STREAM:
                return await self._forward_stream(fields)
            self._record_first_event()
            await self._answer.send_complete(fields.status, fields.forwarded_headers, exchange.body)
            return AttemptEnd(AttemptResult.DELIVERED)
        except TargetError as error:
            return exchange.end_by(error)

    async def _forward_stream(self, fields: AnswerFields) -> AttemptEnd:
        answer, stream = self._answer, self._progress.stream
        # An event that broke off in the previous attempt is sent again as a whole in this one.
        stream.discard_partial()
        first_count = stream.count
        while True:
            silence_limit_s = stream_silence_limit_s(
                self._call.route,
                self._progress.sent_count,
                self._exchange.target.slowness.value * self._event_gap_s(),
            )
            count = stream.count
            complete_events = await self._receive_unless_silent(self._read_events, silence_limit_s)
            if complete_events is None:
                return AttemptEnd(
                    AttemptResult.SILENT, "no event of the stream within the silence limit"
                )
            if not complete_events:
                break
            if not answer.has_begun:
                await answer.begin(fields.status, fields.forwarded_headers, complete_events)
            else:
                await answer.send_part(complete_events)
            self._record_events(stream.count - count)
        if self._exchange.reader.ended_by_close and (
            missing := stream.missing_at_close(first_count)
        ):
            raise TargetLost(missing)
        rest = stream.pop_partial()
        if not answer.has_begun:
            await answer.begin(fields.status, fields.forwarded_headers, rest)
        elif rest:
            await answer.send_part(rest)
        await answer.finish()
        return AttemptEnd(AttemptResult.DELIVERED)

    async def _read_events(self) -> bytes:
        """Return the next complete events, waiting for one; empty at the end of the stream.

        Notes
        -----
        Bytes that complete no event, such as comments, are kept and don't end the wait.
        """
        while part := await self._exchange.read_part():
            if complete_events := self._progress.stream.feed(part):
                return complete_events
        return b""

    def _record_events(self, count: int) -> None:
        now_s = self._gateway.clock.now_s()
        self._progress.record_events(now_s)
        target, running_call = self._exchange.target, self._exchange.running_call
        target.record_life(running_call, now_s)
        if not running_call.first_event_at_s:
            self._record_first_event()
            target.record_first_event(running_call, now_s)
            return
        if running_call.record_events(now_s):
            record_outlived(self._gateway, self._call, running_call.started_at_s)
        running_call.events += count
        if running_call.events >= EVENTS_PER_PACE_SAMPLE:
            pace_s = (now_s - running_call.pace_since_s) / running_call.events
            target.slowness.update(pace_s / self._event_gap_s())
            running_call.events = 0
            running_call.pace_since_s = now_s

    def _record_first_event(self) -> None:
        if not self._progress.first_event_s:
            now_s = self._gateway.clock.now_s()
            self._progress.first_event_s = now_s - self._call.arrived_s

    async def _receive_unless_silent(
        self, receive: Callable[[], Awaitable[T]], silence_limit_s: float | None
    ) -> T | None:
        """Return the result of `receive`; None once the call goes on at another target instead.

        Parameters
        ----------
        receive : callable
            Receives from the target. A cancelled call of it loses nothing that has arrived.
        silence_limit_s : float or None
            Time without a result after which the call is also sent to another target, in seconds;
            None to wait without a limit.

        Notes
        -----
        A silent target may be sound, and another one may reject the call, so the connection to the
        silent one stays open until the other has taken the call.
        """
        progress = self._progress
        self._awaited_since_s = self._gateway.clock.now_s()
        while silence_limit_s is not None:
            with anyio.move_on_after(silence_limit_s):
                return await receive()
            reservation = self._reserve_next()
            if reservation is None:
                continue
            received = await self._receive_from_first(receive, reservation)
            if received is not None or progress.successor is not None:
                return received
            if not may_repeat(self._call.route, progress.sent_count):
                break
        return await receive()

    async def _receive_from_first(
        self, receive: Callable[[], Awaitable[T]], reservation: Reservation
    ) -> T | None:
        """Send the call to another target as well, and wait for the first of both that answers.

        Returns
        -------
        object or None
            The result of `receive`; the request to the other target is cancelled then. None if the
            other target has taken the call, and is the `successor`, or if it has not.

        Raises
        ------
        TargetError
            If the silent target fails. The call may have a successor all the same.
        """
        progress = self._progress
        other = TargetExchange(self._gateway, self._call, reservation, progress)
        other_end: AttemptEnd | None = None
        received: T | None = None
        error: TargetError | None = None

        async def receive_own(scope: anyio.CancelScope) -> None:
            nonlocal received, error
            try:
                received = await receive()
            except TargetError as found:
                # The other target is still awaited.
                error = found
            else:
                scope.cancel()

        async def send_to_other(scope: anyio.CancelScope) -> None:
            nonlocal other_end
            silence_limit_s = answer_silence_limit_s(
                self._call.route, progress.sent_count + 1, other.choice.first_event_s
            )
            other_end = AttemptEnd(AttemptResult.SILENT, "the other target is silent too")
            try:
                with anyio.move_on_after(silence_limit_s):
                    await other.take_over()
                    other_end = None
            except TargetError as found:
                other_end = other.end_by(found)
            scope.cancel()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive_own, tasks.cancel_scope)
                tasks.start_soon(send_to_other, tasks.cancel_scope)
            if received is not None:
                other_end = AttemptEnd(AttemptResult.UNNEEDED)
            elif other_end is None:
                progress.successor = other
        except BaseException:
            other.record_abandoned()
            raise
        finally:
            if progress.successor is not other:
                await other.close()
        if other_end is not None:
            other.record_end(other_end)
            other.log_end(other_end, "end" if error else "stay", may_retry=False)
        if error is not None:
            raise error
        return received

    def _reserve_next(self) -> Reservation | None:
        """Reserve a slot at another target, paid from the retry budget; None if there is none."""
        gateway, call, progress = self._gateway, self._call, self._progress
        reservation = None
        settles_in_s = gateway.suspects.settles_in_s(call.fingerprint)
        if not call.is_trial and not settles_in_s and not ends_targets(gateway, call):
            reservation = gateway.dispatcher.try_reserve(call, progress.tried_ids)
        now_s = gateway.clock.now_s()
        if reservation is not None and not gateway.retries.try_spend(
            call.service, gateway.peers.count(), now_s
        ):
            gateway.dispatcher.release(reservation)
            reservation = None
        gateway.log.emit(
            events.CALL_SILENT,
            trace_id=call.fields.request_id,
            target=self._exchange.choice.target_id,
            silent_ms=int((now_s - self._awaited_since_s) * 1000),
            other=None if reservation is None else reservation.choice.target_id,
        )
        return reservation

    def _event_gap_s(self) -> float:
        """Return the nominal time between two events at the target at its load, in seconds."""
        service = self._call.table.services.get(self._call.service)
        per_event = service.engine.tokens_per_event if service and service.engine else 1
        return nominal_event_gap_s(per_event, self._exchange.target.total_running)
