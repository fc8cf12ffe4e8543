"""Tracks what gateways have observed of one target: load, speed, failures and cached parts."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from guavawalk.process.gateway.decay import DecayingShare, MovingAverage
from guavawalk.process.target_ends import EARLY_RUN_S
from guavawalk.request.call import Call, PromptPart, SharedPart
from guavawalk.version.registrations import Registration

__all__ = ["MAX_CACHED_PARTS", "CutCall", "RunningCall", "TrackedTarget"]

# Age at which a failure has half its weight, in seconds; short, so that a target that has failed
# gets calls again soon.
FAILURE_HALF_LIFE_S = 3.0
# Successes added to the observations of each target, so that the first failure gives a share of a
# third.
FAILURE_PRIOR = 2.0
# Weight of one observation in the moving average of a target's slowness.
SLOWNESS_WEIGHT = 0.2
# Weight of one observation in the moving average of a target's time to an answer.
ANSWER_WEIGHT = 0.1
# Initial average time to an answer of a plain service, in seconds.
INITIAL_ANSWER_S = 0.05
# Age up to which a call that was cut off is kept as one that the target may have died of, in
# seconds: longer than a target takes to start again and register.
CUT_CALL_RETENTION_S = 30.0
# Time after a call was cut off within which bytes may arrive that were sent before, in seconds.
LATE_BYTES_S = 0.1
# Shortest time in which a target starts again, in seconds.
MIN_RESTART_S = 1.0
# Time after its first event for which a run must have gone on to show that its target does not end
# of it, in seconds.
OUTLIVED_S = 0.5
# Time after a refused connection within which another one would be refused too, in seconds.
REFUSED_FOR_S = 0.1
# Pause before a target that accepted no connection is tried again, in seconds. It doubles with each
# failed trial, up to a maximum well below the time in which a crashed target usually restarts.
MIN_PAUSE_S = 0.15
MAX_PAUSE_S = 0.8
# Most calls that were cut off that are kept for each target; more than a target has slots.
MAX_CUT_CALLS = 64
# Most prompt parts that are assumed to be in a target's cache, and most sent parts that wait for
# the next reports; the oldest are dropped first.
MAX_CACHED_PARTS = 512
# Time after its last use, in seconds, for which a prompt part is assumed to be in a target's cache.
CACHED_FOR_S = 30.0


class CutCall(NamedTuple):
    """A call whose attempt ended without a complete answer.

    Attributes
    ----------
    cut_s : float
        When it ended, on the process's monotonic clock.
    is_early : bool
        Whether its run had just begun, or may not have.
    was_closed : bool
        Whether the connection ended; False if this gateway gave it up.
    parts : tuple of SharedPart
        Parts of its prompt that other requests may hold too.
    """

    fingerprint: int
    cut_s: float
    is_early: bool
    was_closed: bool
    parts: tuple[SharedPart, ...] = ()


class RunningCall:
    """One call of this gateway at a target. Times are on the process's monotonic clock.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens that the target has to process, without those in its cache.
    started_at_s : float
        When the call was sent.
    overdue_at_s : float
        When it becomes overdue without a first event.
    sent_s : float
        When its request began to be sent on a connection; infinity before.
    first_event_at_s : float
        When its first event arrived; 0 before.
    pace_since_s : float
        Since when events have been counted to measure the time between two; 0 before the first.
    events : int
        Number of events counted since then.
    has_outlived : bool
        Whether the run has gone on for some time after its first event.
    """

    def __init__(self, prefill_tokens: int, started_at_s: float, overdue_at_s: float) -> None:
        self.prefill_tokens = prefill_tokens
        self.started_at_s = started_at_s
        self.overdue_at_s = overdue_at_s
        self.sent_s = math.inf
        self.first_event_at_s = 0.0
        self.pace_since_s = 0.0
        self.events = 0
        self.has_outlived = False
        self._last_event_at_s = 0.0

    def record_events(self, now_s: float) -> bool:
        """Record that events have arrived; return whether the run has just outlived its beginning.

        Notes
        -----
        A gateway that was suspended may receive at once what the target sent before it ended, so
        two receipts some time after the first event are needed.
        """
        was_early = self.is_early(self._last_event_at_s)
        self._last_event_at_s = now_s
        if self.has_outlived or was_early or now_s - self.first_event_at_s < OUTLIVED_S:
            return False
        self.has_outlived = True
        return True

    def is_early(self, now_s: float) -> bool:
        """Return whether the run has just begun, as far as its events show."""
        return not self.first_event_at_s or now_s - self.first_event_at_s < EARLY_RUN_S


class TrackedTarget:
    """A registered target with what gateways have observed of it.

    Attributes
    ----------
    calls : set of RunningCall
        Calls of this gateway at the target.
    prefill_tokens : int
        Prompt tokens to be processed for those calls that have had no event yet.
    peer_running, peer_prefill_tokens : int
        Number of calls of the other gateways at the target, and prompt tokens to be processed for
        those of them that have had no event yet, by the gateways' last reports.
    slowness : MovingAverage
        Ratio of the time between two events at the target to the nominal one.
    answer_s : MovingAverage
        Time to a complete answer of a plain service, in seconds.
    failures : DecayingShare
        Share of failures among attempts of this gateway.
    usable_until_s : float
        Moment from which it gets no calls and may be removed; infinity while it is registered.
    last_answer_s : float
        When an answer to a call of this gateway last began; 0 before any.
    is_leaving : bool
        Whether it has said in an answer that it leaves; it gets no more calls then.
    quiet_until_s : float
        End of the time in which it wants no calls from this gateway; 0 if it has stated none.
    paused_until_s : float
        End of the pause in which it is sent no call, after it accepted no connection; 0 before any.
    era, item_revision : int
        Era of the registry in which its entry was seen last, and the entry's revision in it; 0 if
        not known.
    evacuation_ended_s : float
        When this gateway learned that the evacuation of its data centre has ended; 0 before any.
    unreachable_until_s : float
        When it last accepted no connection, or first answered after that; 0 before any.
    """

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.calls: set[RunningCall] = set()
        self.prefill_tokens = 0
        self.peer_running = 0
        self.peer_prefill_tokens = 0
        self.slowness = MovingAverage(1.0, SLOWNESS_WEIGHT)
        self.answer_s = MovingAverage(INITIAL_ANSWER_S, ANSWER_WEIGHT)
        self.failures = DecayingShare(FAILURE_HALF_LIFE_S, FAILURE_PRIOR)
        self.usable_until_s = float("inf")
        self.last_answer_s = 0.0
        self.is_leaving = False
        self.quiet_until_s = 0.0
        self.paused_until_s = 0.0
        self.era = 0
        self.item_revision = 0
        self.unreachable_until_s = 0.0
        self.evacuation_ended_s = 0.0
        # Length of the last pause, in seconds; 0 once an answer has begun since.
        self._pause_s = 0.0
        # Failed and all ended attempts of the other gateways, weighted by age, in tenths.
        self._peer_failed = 0
        self._peer_ended = 0
        # Calls that were cut off since the target last showed that it lives.
        self._cut_calls: deque[CutCall] = deque(maxlen=MAX_CUT_CALLS)
        self._refused_s = -math.inf
        # Set when a check whether the target has ended is over; None if none is under way.
        self.end_check: anyio.Event | None = None
        # When each prompt part was last sent, the oldest first.
        self._cached_parts: OrderedDict[str, float] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of calls of this gateway at the target."""
        return len(self.calls)

    @property
    def total_running(self) -> int:
        """Number of calls of all gateways at the target."""
        return len(self.calls) + self.peer_running

    def begin(self, call: Call, now_s: float, overdue_after_s: float) -> RunningCall:
        """Add a call that is sent now; it is overdue after `overdue_after_s` without an event."""
        parts = call.fields.prompt_parts
        prefill_tokens = max(call.fields.prompt_tokens - self.cached_tokens(parts, now_s), 0)
        running_call = RunningCall(prefill_tokens, now_s, now_s + overdue_after_s)
        self.calls.add(running_call)
        self.prefill_tokens += prefill_tokens
        self.record_cached_parts(parts, now_s)
        return running_call

    def record_first_event(self, running_call: RunningCall, now_s: float) -> None:
        """Record a call's first event, which shows that its prompt has been processed."""
        running_call.first_event_at_s = running_call.pace_since_s = now_s
        self.prefill_tokens -= running_call.prefill_tokens

    def end(self, running_call: RunningCall) -> None:
        """Remove a call; does nothing if it has been removed before."""
        if running_call not in self.calls:
            return
        self.calls.discard(running_call)
        if not running_call.first_event_at_s:
            self.prefill_tokens -= running_call.prefill_tokens

    def add_peer_attempts(self, failed: int, ended: int) -> None:
        """Add another gateway's failed and ended attempts, in tenths; negative to subtract them."""
        self._peer_failed += failed
        self._peer_ended += ended

    def failure_share(self, now_s: float) -> float:
        """Return the share of failed attempts at all gateways, from 0 to 1, weighted by age."""
        return self.failures.share(now_s, (self._peer_failed / 10, self._peer_ended / 10))

    def record_connect_failure(self, now_s: float) -> float:
        """Record that it accepted no connection; return the length of the pause that starts now.

        Returns
        -------
        float
            In seconds; 0 during an earlier pause, which is not extended.

        Notes
        -----
        Its cache is assumed to be lost.
        """
        self.failures.record(True, now_s)
        self._cached_parts.clear()
        self.unreachable_until_s = now_s
        if now_s < self.paused_until_s:
            return 0.0
        self._pause_s = min(max(2 * self._pause_s, MIN_PAUSE_S), MAX_PAUSE_S)
        self.paused_until_s = now_s + self._pause_s
        return self._pause_s

    def accepts_calls(self, now_s: float) -> bool:
        """Return whether a call may be sent now.

        False during a pause, and while the target wants to be quiet. After a pause calls are sent
        one at a time, until an answer has begun.
        """
        if now_s < max(self.paused_until_s, self.quiet_until_s):
            return False
        return not (self._pause_s and self.calls)

    def record_refusal(self, now_s: float) -> None:
        """Record that it refused a connection."""
        self._refused_s = now_s

    def has_just_refused(self, now_s: float) -> bool:
        """Return whether it refused a connection a moment ago."""
        return now_s - self._refused_s < REFUSED_FOR_S

    def record_answer_start(self, now_s: float) -> None:
        """Record that an answer to a call has begun."""
        self.last_answer_s = now_s
        if self._pause_s:
            self.unreachable_until_s = now_s
        self._pause_s = 0.0

    def record_life(self, running_call: RunningCall, now_s: float) -> None:
        """Record that bytes for a call have arrived: calls cut off before did not end the target.

        Notes
        -----
        A call that was sent after another was cut off may be answered by a later start of the
        target.
        """
        if not self._cut_calls:
            return
        sent_s = running_call.started_at_s

        def is_refuted(cut: CutCall) -> bool:
            age_s = now_s - cut.cut_s
            return age_s > LATE_BYTES_S and (sent_s < cut.cut_s or age_s < MIN_RESTART_S)

        kept = [cut for cut in self._cut_calls if not is_refuted(cut)]
        self._cut_calls = deque(kept, MAX_CUT_CALLS)

    def record_cut_call(self, cut: CutCall) -> None:
        """Record a call that was cut off: the target may have died of it."""
        self._cut_calls.append(cut)

    def pop_cut_calls(self, now_s: float, must_be_closed: bool) -> tuple[CutCall, ...]:
        """Remove and return the calls that were in flight when the target died.

        Parameters
        ----------
        must_be_closed : bool
            Whether to return only those whose connections ended.
        """
        popped = tuple(
            cut
            for cut in self._cut_calls
            if now_s - cut.cut_s < CUT_CALL_RETENTION_S and (cut.was_closed or not must_be_closed)
        )
        self._cut_calls.clear()
        return popped

    def overdue_calls(self, now_s: float) -> int:
        """Return the number of calls whose first event is overdue."""
        return sum(not call.first_event_at_s and call.overdue_at_s < now_s for call in self.calls)

    def record_cached_parts(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Record the parts of a prompt that the target processes now, and caches."""
        for part in parts:
            self._cached_parts[part.part_id] = now_s
            self._cached_parts.move_to_end(part.part_id)
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)

    def cached_tokens(self, parts: Iterable[PromptPart], now_s: float) -> int:
        """Return the tokens of the leading parts up to the first that the target has not cached."""
        tokens = 0
        for part in parts:
            if self._cached_parts.get(part.part_id, -math.inf) + CACHED_FOR_S < now_s:
                break
            tokens += part.tokens
        return tokens
