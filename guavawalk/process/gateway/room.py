"""Selects the targets that may be sent a call now: those with room for this gateway."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from guavawalk.process.gateway.crossings import create_crossing_limits
from guavawalk.process.gateway.slot_estimates import service_rate
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.gateway.tracked_target import TrackedTarget
from guavawalk.process.gateway.warmup import WarmupPacer
from guavawalk.request.call import Call
from guavawalk.request.crossing import (
    NO_LOADS,
    CentreLoad,
    CrossingReason,
    ServiceLoads,
    load_difference,
    reserve_factor,
)
from guavawalk.request.target_choice import (
    TargetChoice,
    TargetSnapshot,
    leaving_pays,
    with_free_slot,
)

__all__ = ["CentreStatus", "SharingGateways", "TargetRoom", "create_target_room"]

# Calls that a target is sent beyond its slots, so that it starts the next one as soon as a slot is
# free.
SPARE_SLOTS = 1
# Share of the slots of targets in other data centres that is kept free, for each gateway of other
# data centres beyond `FEW_GATEWAYS` in all: what they send at the same time is not known here yet,
# and the more there are, the more of them see the same free slot.
DISTANT_RESERVE_PER_GATEWAY = 0.02
FEW_GATEWAYS = 6
# Largest share of slots that is kept free for that reason.
MAX_DISTANT_RESERVE = 0.6
# Share of the slots of a target that calls from here may fill if no summary of the target's data
# centre arrives: the calls that its own gateways send are not known then.
UNHEARD_SLOTS_SHARE = 0.15
# Share of failures from which a target of the own data centre does not count as capacity there: a
# queue for it would be a queue for failures.
FAILING_SHARE = 0.5


class SharingGateways(Protocol):
    """The gateways that share the targets."""

    def count(self) -> int:
        """Return the number of gateways, this one included."""
        ...

    def local_count(self) -> int:
        """Return the number of gateways of the data centre, this one included."""
        ...


class CentreStatus(Protocol):
    """The other data centres whose gateways are known."""

    def is_silent(self, data_centre: str) -> bool:
        """Return whether summaries of a data centre have arrived and no longer do."""
        ...


class TargetRoom:
    """The slots of the targets that this gateway may use."""

    def __init__(
        self,
        targets: TargetTable,
        gateways: SharingGateways,
        local_data_centre: str,
        pacer: WarmupPacer | None,
        centres: CentreStatus | None,
    ) -> None:
        self._targets = targets
        self._gateways = gateways
        self._local_data_centre = local_data_centre
        self._pacer = pacer
        self._centres = centres
        self._limits = create_crossing_limits()

    def loads(
        self, snapshots: Iterable[TargetSnapshot], waiting: int, now_s: float
    ) -> ServiceLoads:
        """Return the loads of a service by data centre, of the targets that accept calls.

        Parameters
        ----------
        waiting : int
            Calls that wait for the service at this gateway.
        """
        loads: dict[str, CentreLoad] = {}
        own_calls = 0
        for snapshot in snapshots:
            target = self._targets.get(snapshot.target_id)
            if self._accepts(target, now_s):
                _add_load(loads, snapshot.data_centre, snapshot.running, snapshot.slots)
                if snapshot.data_centre == self._local_data_centre:
                    own_calls += target.running
        return self._service_loads(loads, own_calls, waiting)

    def load_differences(
        self, waiting: Mapping[str, int], now_s: float
    ) -> dict[tuple[str, str], float]:
        """Return the demand here less the load there, by service and other data centre.

        Parameters
        ----------
        waiting : mapping of str to int
            Calls that wait at this gateway, by service.
        """
        loads: dict[str, dict[str, CentreLoad]] = {}
        own_calls: Counter[str] = Counter()
        for target in self._targets:
            entry = target.registration
            if self._accepts(target, now_s) and not entry.draining:
                centres = loads.setdefault(entry.service, {})
                _add_load(centres, entry.data_centre, target.total_running, entry.slots)
                if entry.data_centre == self._local_data_centre:
                    own_calls[entry.service] += target.running
        differences = {}
        for service, centres in loads.items():
            known = self._service_loads(centres, own_calls[service], waiting.get(service, 0))
            for data_centre in known.others:
                differences[service, data_centre] = load_difference(known, data_centre)
        return differences

    def _service_loads(
        self, loads: dict[str, CentreLoad], own_calls: int, waiting: int
    ) -> ServiceLoads:
        own = loads.pop(self._local_data_centre, CentreLoad())
        # A gateway with little traffic counts for an equal share, so that its queue does not stand
        # for many others.
        share = max(own_calls / max(own.running, 1), 1 / max(self._gateways.local_count(), 1))
        return ServiceLoads(own, loads, waiting / share, share)

    def available(
        self,
        call: Call,
        snapshots: Iterable[TargetSnapshot],
        slots_share: float,
        now_s: float,
        loads: ServiceLoads = NO_LOADS,
        is_pressing: bool = False,
    ) -> Iterator[TargetSnapshot]:
        """Yield the targets that may be sent a call now.

        Parameters
        ----------
        slots_share : float
            Share of a target's slots that the call may fill, from 0 to 1.
        loads : ServiceLoads, optional
            Loads of the call's service.
        is_pressing : bool, optional
            Whether the call leaves a full data centre whatever the loads: its stream has paused.

        Notes
        -----
        Each gateway may use a fair share of a target's slots even when calls of other gateways fill
        the target; in other data centres only if the own one has no target.

        While targets of the own data centre have free slots on average, the others are for calls
        that would be late or fail here with any slot. Else calls leave if it pays and is allowed.
        """
        fair_share = slots_share / (self._gateways.count() + 1)
        own: list[TargetSnapshot] = []
        distant: list[TargetSnapshot] = []
        for snapshot in snapshots:
            target = self._targets.get(snapshot.target_id)
            if not self._accepts(target, now_s):
                continue
            if snapshot.data_centre != self._local_data_centre:
                distant.append(snapshot)
                continue
            if snapshot.failure_share < FAILING_SHARE:
                own.append(snapshot)
            max_running = slots_share * (snapshot.slots + SPARE_SLOTS)
            if snapshot.running < max_running or target.running < int(fair_share * snapshot.slots):
                yield snapshot
        if not distant:
            return
        reserve = _distant_reserve(self._gateways) * reserve_factor(loads)
        with_room = [
            snapshot
            for snapshot in distant
            if self._has_distant_room(snapshot, slots_share, reserve, bool(own), fair_share)
        ]
        if not own or is_pressing:
            yield from with_room
        else:
            yield from self._worth_leaving(call, own, with_room, now_s, loads)

    def _worth_leaving(
        self,
        call: Call,
        own: Sequence[TargetSnapshot],
        distant: Iterable[TargetSnapshot],
        now_s: float,
        loads: ServiceLoads,
    ) -> Iterator[TargetSnapshot]:
        """Yield the targets of other data centres that cost less than the own ones.

        These count as they would be with free slots, unless calls may leave for want of room.
        """
        is_full = sum(target.running for target in own) >= sum(target.slots for target in own)
        allowed = {
            data_centre
            for data_centre in loads.others
            if is_full and self._limits.allows(call.service, data_centre, loads, now_s)
        }
        free = [with_free_slot(snapshot) for snapshot in own]
        for snapshot in distant:
            compared = own if snapshot.data_centre in allowed else free
            if leaving_pays(call, self._local_data_centre, compared, snapshot, now_s, loads):
                yield snapshot

    def _has_distant_room(
        self,
        snapshot: TargetSnapshot,
        slots_share: float,
        reserve: float,
        has_own: bool,
        fair_share: float,
    ) -> bool:
        """Return whether a target of another data centre has room for a call from here.

        With targets in the own data centre, a call from here neither fills the spare slot nor takes
        a fair share of a full target: these are for the callers there.
        """
        if not has_own:
            max_running = slots_share * (snapshot.slots + SPARE_SLOTS) - reserve * snapshot.slots
            running = self._targets.get(snapshot.target_id).running
            return snapshot.running < max_running or running < int(fair_share * snapshot.slots)
        max_running = (slots_share - reserve) * snapshot.slots
        if self._centres is not None and self._centres.is_silent(snapshot.data_centre):
            max_running = min(max_running, UNHEARD_SLOTS_SHARE * snapshot.slots)
        return snapshot.running < max_running

    def _accepts(self, target: TrackedTarget, now_s: float) -> bool:
        """Return whether a target may be sent a call now, if it has a free slot."""
        if not target.accepts_calls(now_s):
            return False
        return self._pacer is None or self._pacer.accepts(target, now_s)

    def quiet_until_s(self, snapshot: TargetSnapshot, now_s: float) -> float:
        """Return until when a target wants no calls, or may be sent none since it is cold."""
        target = self._targets.get(snapshot.target_id)
        paced_until_s = now_s if self._pacer is None else self._pacer.next_s(target, now_s)
        return max(target.quiet_until_s, paced_until_s)

    def service_rate(self, snapshot: TargetSnapshot, now_s: float) -> float:
        """Return the calls per second that a target can serve, by what is known of it."""
        rate = service_rate(snapshot)
        if self._pacer is None:
            return rate
        return min(rate, self._pacer.rate_per_s(self._targets.get(snapshot.target_id), now_s))

    def record_choice(self, call: Call, choice: TargetChoice, now_s: float) -> None:
        """Record the target that a call is sent to."""
        if choice.reason is not CrossingReason.NONE:
            data_centre = self._targets.get(choice.target_id).registration.data_centre
            self._limits.record(call.service, data_centre, now_s)


def _add_load(loads: dict[str, CentreLoad], data_centre: str, running: int, slots: int) -> None:
    before = loads.get(data_centre, CentreLoad())
    loads[data_centre] = CentreLoad(before.running + running, before.slots + slots)


def _distant_reserve(gateways: SharingGateways) -> float:
    """Return the share of slots that is kept free at targets in other data centres."""
    others = gateways.count() - max(gateways.local_count(), FEW_GATEWAYS)
    return min(DISTANT_RESERVE_PER_GATEWAY * max(others, 0), MAX_DISTANT_RESERVE)


def create_target_room(
    targets: TargetTable,
    gateways: SharingGateways,
    local_data_centre: str,
    pacer: WarmupPacer | None = None,
    centres: CentreStatus | None = None,
) -> TargetRoom:
    """Create the selection for a gateway in a data centre.

    Parameters
    ----------
    pacer : WarmupPacer, optional
        Limits what is sent to cold targets; without it nothing is limited.
    centres : CentreStatus, optional
        The other data centres; without them, reports from all count as current.
    """
    return TargetRoom(targets, gateways, local_data_centre, pacer, centres)
