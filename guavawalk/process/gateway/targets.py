"""Tracks the registered targets."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator

from guavawalk.process.gateway.gone_targets import create_gone_targets, is_later_start
from guavawalk.process.gateway.tracked_target import MAX_CACHED_PARTS, TrackedTarget
from guavawalk.request.call import Call, PromptPart
from guavawalk.request.target_choice import TargetSnapshot
from guavawalk.version.list_state import NO_LIST, ListState
from guavawalk.version.position import NO_POSITION, RegistryPosition
from guavawalk.version.registrations import ListedTargets, Registration

__all__ = ["TargetTable", "create_target_table"]

# A target whose entry lapsed while the registry was unavailable may be leaving. It is used for this
# share of the time for which a leaving target goes on serving.
LAPSED_USE_SHARE = 0.75
# Time for which a leaving target goes on serving if the settings give none, in seconds.
DEFAULT_DRAIN_S = 2.0
# Shortest prompt part that is reported to the other gateways, in tokens. To process a shorter one
# again costs a target less than the report would cost.
MIN_REPORTED_PART_TOKENS = 512
# Most removed targets whose statements are kept; the oldest are dropped first.
MAX_REMOVED = 1_024


class TargetTable:
    """Registered targets by id.

    Parameters
    ----------
    lapsed_use_s : float
        Time for which a target is still used after its entry may have lapsed, in seconds.

    Attributes
    ----------
    is_loaded : bool
        Whether the registry has been read once.
    list_state : ListState
        How far the registrations are complete; `NO_LIST` before any are known.
    last_change : int
        Revision of the last known change of a registration in the present era; 0 if none is known.
        Earlier builds, which don't send a `ListState`, compare it.
    era_read : RegistryPosition
        Earliest known position at which all registrations were read in the present era; entries up
        to it may come from an older copy of the registry.
    evacuated : frozenset of str
        Names of the data centres to which no calls are sent.
    """

    def __init__(self, lapsed_use_s: float) -> None:
        self._lapsed_use_s = lapsed_use_s
        self.is_loaded = False
        self.list_state = NO_LIST
        self.last_change = 0
        self.era_read = NO_POSITION
        self.evacuated: frozenset[str] = frozenset()
        # When evacuations ended, by data centre.
        self._evacuation_ended_s: dict[str, float] = {}
        self._gone = create_gone_targets()
        self._targets: dict[str, TrackedTarget] = {}
        # What removed targets have stated of themselves, by their starts: whether they leave, and
        # until when they want quiet. An old registration may come once more.
        self._removed: OrderedDict[str, tuple[bool, float]] = OrderedDict()
        # Id of the target that was registered last at each address.
        self._ids_by_address: dict[str, str] = {}
        self._sent_parts: deque[tuple[str, str]] = deque(maxlen=MAX_CACHED_PARTS)

    def __iter__(self) -> Iterator[TrackedTarget]:
        """Iterate over the targets."""
        return iter(self._targets.values())

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def get(self, target_id: str) -> TrackedTarget | None:
        """Return a target; None if it is not known."""
        return self._targets.get(target_id)

    def replaced_by(self, registration: Registration) -> list[TrackedTarget]:
        """Return the targets that a registration shows to have ended.

        These are an earlier start under its id, and an earlier one at its address.
        """
        known = self._targets.get(registration.target_id)
        if known is not None:
            return [known] if _is_new_start(known.registration, registration) else []
        before = self._targets.get(self._ids_by_address.get(registration.address, ""))
        if before is None or before.registration.address != registration.address:
            return []
        is_later = 0 < before.registration.started_at_ms < registration.started_at_ms
        return [before] if is_later else []

    @property
    def position(self) -> RegistryPosition:
        """Position of the registry up to which the registrations are complete."""
        return self.list_state.position

    def record_list(self, state: ListState, last_change: int) -> bool:
        """Record the state of a list whose registrations were applied.

        Returns
        -------
        bool
            Whether the list is later than the one known before, and not known to be equal.
        """
        if state.position < self.position:
            return False
        is_newer = state.is_newer_than(self.list_state)
        if state.era > self.list_state.era:
            self.last_change = last_change
        self.last_change = max(self.last_change, last_change)
        self.list_state = state
        return is_newer

    def confirm(self, state: ListState) -> None:
        """Record that another gateway has the same registrations, complete at a later position."""
        if state.confirms(self.list_state):
            self.list_state = state

    def begin_read(self, position: RegistryPosition) -> None:
        """Note that registrations follow that were read in an era.

        Parameters
        ----------
        position : RegistryPosition
            Where the registry was at that read, or at an earlier one in the same era.
        """
        if position.era > self.era_read.era:
            self.era_read = position
            for target in self._targets.values():
                # Revisions are assigned again in the new era.
                target.item_revision = 0
        elif position.era == self.era_read.era:
            self.era_read = min(self.era_read, position)

    def is_outdated(self, registration: Registration, item_revision: int) -> bool:
        """Return whether an entry is an older copy that contradicts what is known of its target.

        Parameters
        ----------
        item_revision : int
            Revision of the entry in the present era; 0 if not known.

        Notes
        -----
        After the registry's return it may list as ready a target that is known to drain or to be
        gone. Only an entry that the target has written since then is believed: one of a later start
        or of a revision after the first read of the era.
        """
        if item_revision > self.era_read.revision:
            return False
        known = self._targets.get(registration.target_id)
        if known is None:
            return self._gone.holds(registration, self.era_read.era)
        if known.era >= self.era_read.era or is_later_start(registration, known.registration):
            return False
        is_ready_again = known.registration.draining and not registration.draining
        return is_ready_again or _is_new_start(known.registration, registration)

    def put(self, registration: Registration, item_revision: int = 0) -> bool:
        """Add or update a target; return whether its registration is new or has changed.

        Parameters
        ----------
        item_revision : int, optional
            Revision of the entry in the present era; 0, the default, if not known.

        Notes
        -----
        A new start of the target under the same id discards what was observed of it.
        """
        target_id = registration.target_id
        known = self._targets.get(target_id)
        if known is None or _is_new_start(known.registration, registration):
            target = self._targets[target_id] = TrackedTarget(registration)
            self._ids_by_address[registration.address] = target_id
            self._gone.discard(target_id)
            self._record_entry(target, item_revision)
            target.evacuation_ended_s = self._evacuation_ended_s.get(registration.data_centre, 0.0)
            if known is None:
                statements = self._removed.pop(registration.start_name, (False, 0.0))
                target.is_leaving, target.quiet_until_s = statements
            return True
        changed = known.registration != registration
        known.registration = registration
        known.usable_until_s = float("inf")
        self._record_entry(known, item_revision)
        return changed

    def _record_entry(self, target: TrackedTarget, item_revision: int) -> None:
        """Record in which era an entry was seen; one that another gateway kept was not seen."""
        target.item_revision = item_revision
        if item_revision:
            target.era = self.era_read.era

    def remove(
        self, target_id: str, now_s: float, has_lapsed: bool, era_settled_s: float = -math.inf
    ) -> bool:
        """Remove a target whose entry is gone; return whether it was known.

        Parameters
        ----------
        has_lapsed : bool
            Whether the entry may have lapsed because the registry was unavailable. The target
            then stays usable for `lapsed_use_s` seconds, unless it was draining.
        era_settled_s : float, optional
            Until when a target that is missing in a new era is used; a time in the past, the
            default, if none has just begun.
        """
        known = self._targets.get(target_id)
        if known is None:
            return False
        if has_lapsed and not known.registration.draining:
            until_s = era_settled_s if now_s < era_settled_s else now_s + self._lapsed_use_s
            # A target that was about to leave before a new era is not used for longer.
            known.usable_until_s = min(known.usable_until_s, until_s)
        else:
            self._delete(target_id)
        return True

    def listed(self, now_s: float) -> ListedTargets:
        """Return all registrations, for other gateways."""
        lapsing = tuple(
            (target_id, target.usable_until_s - now_s)
            for target_id, target in self._targets.items()
            if target.usable_until_s != math.inf
        )
        registrations = tuple(target.registration for target in self._targets.values())
        return ListedTargets(
            self.list_state.revision,
            registrations,
            lapsing,
            self.list_state.era,
            tuple(target.item_revision for target in self._targets.values()),
            self.era_read.revision if self.era_read.era == self.list_state.era else 0,
            self.list_state.digest,
            self.last_change,
        )

    def expire(self, now_s: float) -> list[str]:
        """Remove the targets that are no longer usable; return their ids."""
        expired = [key for key, known in self._targets.items() if known.usable_until_s <= now_s]
        for key in expired:
            self._delete(key)
        return expired

    def _delete(self, target_id: str) -> None:
        target = self._targets.pop(target_id)
        self._gone.add(target.registration, target.era)
        if target.is_leaving or target.quiet_until_s:
            statements = target.is_leaving, target.quiet_until_s
            self._removed[target.registration.start_name] = statements
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)
        address = target.registration.address
        if self._ids_by_address.get(address) == target_id:
            del self._ids_by_address[address]

    def ids(self) -> frozenset[str]:
        """Return the ids of all targets."""
        return frozenset(self._targets)

    def ids_written_after(self, revision: int) -> frozenset[str]:
        """Return the ids of the targets whose entries are later than a revision of this era."""
        return frozenset(
            target_id
            for target_id, target in self._targets.items()
            if target.item_revision > revision
        )

    def set_evacuated(self, data_centres: frozenset[str], now_s: float) -> None:
        """Replace the evacuated data centres; record the end where one is no longer evacuated."""
        ended = self.evacuated - data_centres
        self.evacuated = data_centres
        self._evacuation_ended_s.update(dict.fromkeys(ended, now_s))
        for target in self._targets.values():
            if target.registration.data_centre in ended:
                target.evacuation_ended_s = now_s

    def is_evacuated(self, service: str) -> bool:
        """Return whether a target of a service is in an evacuated data centre."""
        return bool(self.evacuated) and any(
            target.registration.service == service
            and target.registration.data_centre in self.evacuated
            for target in self._targets.values()
        )

    def record_sent_parts(self, target_id: str, parts: Iterable[PromptPart]) -> None:
        """Record the long parts of a prompt that was sent, to be reported to other gateways."""
        self._sent_parts.extend(
            (target_id, part.part_id) for part in parts if part.tokens >= MIN_REPORTED_PART_TOKENS
        )

    def pop_sent_parts(self, max_parts: int) -> tuple[tuple[str, str], ...]:
        """Remove and return the oldest sent parts, as pairs of target id and part id."""
        sent = self._sent_parts
        return tuple(sent.popleft() for _ in range(min(max_parts, len(sent))))

    def snapshots(
        self, call: Call, is_engine: bool, tried_ids: Iterable[str], now_s: float
    ) -> Iterator[TargetSnapshot]:
        """Yield a snapshot of each target that may be sent a call.

        Parameters
        ----------
        is_engine : bool
            Whether the targets of the call's service run a model.
        tried_ids : iterable of str
            Targets that are left out.
        """
        for target in self._targets.values():
            registration = target.registration
            if (
                registration.service != call.service
                or registration.draining
                or registration.target_id in tried_ids
                or target.usable_until_s <= now_s
                or target.is_leaving
                or registration.data_centre in self.evacuated
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


def create_target_table(drain_s: float = DEFAULT_DRAIN_S) -> TargetTable:
    """Create a table without targets.

    Parameters
    ----------
    drain_s : float, optional
        Time for which a leaving target goes on serving, in seconds.
    """
    return TargetTable(LAPSED_USE_SHARE * drain_s)
