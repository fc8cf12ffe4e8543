"""The targets that a gateway knows, and what it believes of each."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator

from guavawalk.process.gateway.decay import DecayingShare, MovingAverage
from guavawalk.request.call import Call, PromptPart
from guavawalk.request.target_choice import TargetSnapshot
from guavawalk.version.registrations import Registration

__all__ = ["RunningCall", "TargetTable", "TrackedTarget", "create_target_table"]

# A target that has failed is tried again soon: half of its failures are forgotten after this.
FAILURE_HALF_LIFE_S = 3.0
# Successes taken as seen, so that one failure of an unknown target weighs a third.
FAILURE_PRIOR = 2.0
SLOWNESS_WEIGHT = 0.2
ANSWER_WEIGHT = 0.1
# Time to an answer of a plain service that has given none yet.
USUAL_ANSWER_S = 0.05
# Part of the time that a leaving target still serves, for which a target is used whose entry
# lapsed while the registry was unavailable: it may be leaving.
LAPSED_TRUST_PART = 0.75
# Time that a leaving target still serves where nothing is set, in seconds.
USUAL_DRAIN_S = 2.0
# A refused connection so soon after an answer was cut off shows that the target died, in seconds.
CRASH_EVIDENCE_S = 1.5
# Pause before a target that took no connection is tried again, in seconds: doubles with each trial
# in vain, and stays well below the time that a crashed target usually needs to come back.
FIRST_PAUSE_S = 0.15
LAST_PAUSE_S = 0.8
# Cut-off calls of one target that are remembered: more than its slots.
MAX_LOST_CALLS = 64
# Prompt parts that one target is believed to hold; older ones are taken as evicted.
MAX_CACHED_PARTS = 512
# Parts shorter than this, in tokens, are read again sooner than telling of them is worth its bytes.
TOLD_PART_TOKENS = 512
# Parts that have not been used for this long no longer count as held.
CACHED_FOR_S = 30.0


class RunningCall:
    """One call of this gateway at a target.

    Attributes
    ----------
    prefill_tokens : int
        Tokens of its prompt that the target has to read.
    first_event_at_s : float
        When its first event came; 0 before.
    pace_since_s, events
        Since when, and how many, events have been counted for the target's pace.
    """

    def __init__(self, prefill_tokens: int, started_at_s: float, overdue_at_s: float) -> None:
        self.prefill_tokens = prefill_tokens
        self.started_at_s = started_at_s
        self.overdue_at_s = overdue_at_s
        self.first_event_at_s = 0.0
        self.pace_since_s = 0.0
        self.events = 0


class TrackedTarget:
    """What is believed of one target.

    Attributes
    ----------
    calls : set of RunningCall
        Calls of this gateway there.
    prefill_tokens : int
        Prompt tokens of those that have given no event yet.
    peer_running, peer_prefill_tokens : int
        The same of the other gateways, as they last told.
    usable_until_s : float
        When a target without an entry is given up.
    last_answer_s : float
        When it last answered a call of this gateway.
    paused_until_s : float
        Until when no call goes there, since it took no connection.
    """

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.calls: set[RunningCall] = set()
        self.prefill_tokens = 0
        self.peer_running = 0
        self.peer_prefill_tokens = 0
        self.slowness = MovingAverage(1.0, SLOWNESS_WEIGHT)
        self.answer_s = MovingAverage(USUAL_ANSWER_S, ANSWER_WEIGHT)
        self.failures = DecayingShare(FAILURE_HALF_LIFE_S, FAILURE_PRIOR)
        self.usable_until_s = float("inf")
        self.last_answer_s = 0.0
        self.paused_until_s = 0.0
        self._pause_s = 0.0
        self._peer_failed = 0
        self._peer_ended = 0
        self._lost_calls: deque[tuple[float, int]] = deque(maxlen=MAX_LOST_CALLS)
        self._parts: OrderedDict[str, float] = OrderedDict()

    @property
    def running(self) -> int:
        """Calls of this gateway at the target."""
        return len(self.calls)

    @property
    def total_running(self) -> int:
        """Calls of all gateways at the target."""
        return len(self.calls) + self.peer_running

    def begin(self, call: Call, now_s: float, overdue_after_s: float) -> RunningCall:
        """Count a call that is sent now."""
        parts = call.fields.prompt_parts
        fresh = max(call.fields.prompt_tokens - self.cached_tokens(parts, now_s), 0)
        running = RunningCall(fresh, now_s, now_s + overdue_after_s)
        self.calls.add(running)
        self.prefill_tokens += fresh
        self.record_cached_parts(parts, now_s)
        return running

    def record_first_event(self, running: RunningCall, now_s: float) -> None:
        """Note a call's first event: its prompt has been read."""
        running.first_event_at_s = running.pace_since_s = now_s
        self.prefill_tokens -= running.prefill_tokens

    def end(self, running: RunningCall) -> None:
        """Count a call no more; one that has ended already changes nothing."""
        if running not in self.calls:
            return
        self.calls.discard(running)
        if not running.first_event_at_s:
            self.prefill_tokens -= running.prefill_tokens

    def add_peer_attempts(self, failed: int, ended: int) -> None:
        """Add what a gateway told of ended attempts, in tenths; below 0 to take it away."""
        self._peer_failed = max(self._peer_failed + failed, 0)
        self._peer_ended = max(self._peer_ended + ended, 0)

    def failure_share(self, now_s: float) -> float:
        """Return the share of attempts that failed lately, at all gateways."""
        return self.failures.share(now_s, (self._peer_failed / 10, self._peer_ended / 10))

    def record_connect_failure(self, now_s: float) -> float:
        """Note that it took no connection; return the pause that begins now, 0 if one has begun.

        Notes
        -----
        Its cache is taken as lost.
        """
        self.failures.record(True, now_s)
        self._parts.clear()
        if now_s < self.paused_until_s:
            return 0.0
        self._pause_s = min(max(2 * self._pause_s, FIRST_PAUSE_S), LAST_PAUSE_S)
        self.paused_until_s = now_s + self._pause_s
        return self._pause_s

    def accepts_calls(self, now_s: float) -> bool:
        """Say whether a call may go there: after a pause one at a time, until one is answered."""
        return now_s >= self.paused_until_s and not (self._pause_s and self.calls)

    def record_answer_start(self, now_s: float) -> None:
        """Note that an answer to a call has begun."""
        self.last_answer_s = now_s
        self._pause_s = 0.0

    def record_truncated_answer(self, fingerprint: int, now_s: float) -> None:
        """Note a call whose answer was cut off here: the target may have died of it."""
        self._lost_calls.append((now_s, fingerprint))

    def pop_crash_suspects(self, now_s: float) -> tuple[int, ...]:
        """Return the calls that were cut off here just before the target proved to be down."""
        found = {mark for at_s, mark in self._lost_calls if now_s - at_s < CRASH_EVIDENCE_S}
        self._lost_calls.clear()
        return tuple(found)

    def overdue_calls(self, now_s: float) -> int:
        """Return how many calls have given nothing for far longer than expected."""
        return sum(not run.first_event_at_s and run.overdue_at_s < now_s for run in self.calls)

    def record_cached_parts(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Note the parts of a prompt that the target reads now."""
        for part in parts:
            self._parts[part.part_id] = now_s
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > MAX_CACHED_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(self, parts: Iterable[PromptPart], now_s: float) -> int:
        """Return the tokens of the longest run of leading parts that the target holds."""
        tokens = 0
        for part in parts:
            if self._parts.get(part.part_id, -math.inf) + CACHED_FOR_S < now_s:
                break
            tokens += part.tokens
        return tokens


class TargetTable:
    """Targets by id.

    Attributes
    ----------
    is_loaded : bool
        Whether the registry has been read at all.
    revision : int
        Of the last change taken.
    """

    def __init__(self, lapsed_trust_s: float) -> None:
        self._lapsed_trust_s = lapsed_trust_s
        self.is_loaded = False
        self.revision = 0
        self._targets: dict[str, TrackedTarget] = {}
        self._sent_parts: deque[tuple[str, str]] = deque(maxlen=MAX_CACHED_PARTS)

    def __iter__(self) -> Iterator[TrackedTarget]:
        """Iterate over what is believed of each."""
        return iter(self._targets.values())

    def __len__(self) -> int:
        """Count the targets."""
        return len(self._targets)

    def get(self, target_id: str) -> TrackedTarget | None:
        """Return what is believed of a target; None if it is not known."""
        return self._targets.get(target_id)

    def put(self, registration: Registration) -> bool:
        """Take an entry; say whether it changes which targets are used."""
        target_id = registration.target_id
        known = self._targets.get(target_id)
        if known is None or _is_new_start(known.registration, registration):
            self._targets[target_id] = TrackedTarget(registration)
            return True
        changed = known.registration != registration
        known.registration = registration
        known.usable_until_s = float("inf")
        return changed

    def remove(self, target_id: str, now_s: float, has_lapsed: bool) -> bool:
        """Drop a target whose entry is gone; say whether it was known.

        Parameters
        ----------
        has_lapsed : bool
            Whether the entry may have lapsed because the registry was unavailable.
        """
        known = self._targets.get(target_id)
        if known is None:
            return False
        if has_lapsed and not known.registration.draining:
            known.usable_until_s = min(known.usable_until_s, now_s + self._lapsed_trust_s)
        else:
            del self._targets[target_id]
        return True

    def expire(self, now_s: float) -> list[str]:
        """Drop the targets whose time without an entry is over; return their ids."""
        gone = [key for key, known in self._targets.items() if known.usable_until_s <= now_s]
        for key in gone:
            del self._targets[key]
        return gone

    def ids(self) -> frozenset[str]:
        """Return the ids of all targets."""
        return frozenset(self._targets)

    def record_sent_parts(self, target_id: str, parts: Iterable[PromptPart]) -> None:
        """Note the long parts of a prompt that was sent, for the other gateways."""
        self._sent_parts.extend(
            (target_id, part.part_id) for part in parts if part.tokens >= TOLD_PART_TOKENS
        )

    def pop_sent_parts(self, most: int) -> tuple[tuple[str, str], ...]:
        """Return parts sent since the last call, the oldest first."""
        sent = self._sent_parts
        return tuple(sent.popleft() for _ in range(min(most, len(sent))))

    def snapshots(
        self, call: Call, is_engine: bool, tried_ids: Iterable[str], now_s: float
    ) -> Iterator[TargetSnapshot]:
        """Yield the condition of each target that may be sent a call."""
        for target in self._targets.values():
            registration = target.registration
            if (
                registration.service != call.service
                or registration.draining
                or registration.target_id in tried_ids
                or target.usable_until_s <= now_s
            ):
                continue
            yield TargetSnapshot(
                registration.target_id,
                registration.data_centre,
                registration.slots,
                target.total_running,
                target.prefill_tokens + target.peer_prefill_tokens,
                target.slowness.value,
                target.answer_s.value,
                target.failure_share(now_s),
                target.overdue_calls(now_s),
                target.cached_tokens(call.fields.prompt_parts, now_s),
                is_engine,
            )


def _is_new_start(before: Registration, after: Registration) -> bool:
    return before.address != after.address or (
        bool(before.started_at_ms and after.started_at_ms)
        and before.started_at_ms != after.started_at_ms
    )


def create_target_table(drain_s: float = USUAL_DRAIN_S) -> TargetTable:
    """Create a table without targets, of which a leaving one serves for a time."""
    return TargetTable(LAPSED_TRUST_PART * drain_s)
