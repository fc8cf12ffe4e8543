"""Limits what this gateway sends to cold targets, which crash above a certain rate of calls.

The limit holds for all gateways together, whether or not they can communicate, so that no message
is needed: a few gateways send to each cold target, chosen by rendezvous hashing, and each of them
sends a fixed number of calls in any second of its own clock.
"""

import math
from collections import OrderedDict
from typing import NamedTuple, Protocol

from guavawalk.process.gateway.active_routes import ActiveRoutes
from guavawalk.process.gateway.known_gateways import GatewaySource, create_known_gateways
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.gateway.tracked_target import RunningCall, TrackedTarget
from guavawalk.process.spread.ranking import rank_nodes
from guavawalk.version.registrations import Registration
from guavawalk.version.routes import Service

__all__ = [
    "Allowance",
    "WarmupBounds",
    "WarmupObserver",
    "WarmupPacer",
    "create_warmup_pacer",
    "sender_allowance",
]

# Share of the rate at which a cold target crashes that is sent at most. The other half is for
# gateways that know different sets of gateways, and for sends that are delayed on their way.
DESIGN_SHARE = 0.5
# Window over which sends are counted, in seconds. It exceeds a second, since the clock of the event
# loop may be behind the send by one turn of the loop, and since sends take different times.
WINDOW_S = 1.1
# Time after the start, or after a pause of the process, for which nothing is sent to cold targets,
# in seconds: the other gateways' reports arrive meanwhile.
HOLD_S = 1.0
# Time between two ticks from which the process counts as paused, in seconds; they are due every
# half second.
PAUSE_S = 1.5
# Time after the first targets are known within which targets do not count as newly started, in
# seconds: the first list of targets may come in parts.
FIRST_TARGETS_S = 1.0
# Longest time until a target is considered again, in seconds: by then the set of gateways may
# differ.
MAX_NEXT_S = 3.0
# Number of sends to one target that are kept without a check whether they still count.
MIN_SENDS_KEPT = 32
# Most targets that are gone whose starts are remembered.
MAX_GONE_TARGETS = 1_024


class WarmupBounds(NamedTuple):
    """How far above its stated rate a cold target crashes.

    Attributes
    ----------
    overrun : float
        Factor on the calls per second that the service states; 0 to limit nothing.
    slack : float
        Calls in one second beyond that.
    """

    overrun: float = 0.0
    slack: float = 0.0


class Allowance(NamedTuple):
    """What one gateway may send to one target.

    Attributes
    ----------
    calls : int
        Most calls in any `window_s` seconds; 0 for none.
    """

    calls: int
    window_s: float = WINDOW_S

    @property
    def rate_per_s(self) -> float:
        """Calls per second."""
        return self.calls / self.window_s


class WarmupObserver(Protocol):
    """Records what a pacer decides."""

    def record_cold(self, registration: Registration, cold_s: float) -> None:
        """Record that a target is known as cold, for `cold_s` more seconds."""
        ...

    def record_held(self, registration: Registration, allowance: Allowance) -> None:
        """Record that calls are held back from a target, for the first time in its warm-up."""
        ...


class _Warmup:
    """What is known of one target's starts, and the calls sent to it a moment ago."""

    def __init__(self) -> None:
        self.registration: Registration | None = None
        # End of the warm-up by the target's registrations; minus infinity if they state none.
        self.stated_until_s = -math.inf
        # When a new start was first seen, and when it last accepted no connection.
        self.started_s = -math.inf
        self.unreachable_until_s = -math.inf
        self.sends: list[RunningCall] = []
        # Number of kept sends above which those that no longer count are removed.
        self._sends_checked = MIN_SENDS_KEPT
        # End of the last warm-up that was recorded, and whether calls were held back in it.
        self.recorded_until_s = -math.inf
        self.is_held_recorded = False
        # Rank of this gateway among those of `gateways`.
        self.gateways: frozenset[str] = frozenset()
        self.rank = 0

    def update(self, registration: Registration, now_s: float, is_initial: bool) -> None:
        """Apply a registration.

        A lower value than before may come from an older copy of the registry, so that no value ends
        a warm-up. An equal one may be the same entry, read again, so that it begins none.
        """
        known, self.registration = self.registration, registration
        if known is not None and _start_of(known) == _start_of(registration):
            if known.warmup_left_s == registration.warmup_left_s:
                return
        elif not is_initial:
            self.started_s = now_s
        if registration.warmup_left_s:
            self.stated_until_s = max(self.stated_until_s, now_s + registration.warmup_left_s)

    def record_send(self, call: RunningCall, now_s: float) -> None:
        """Record a call; the calls that no longer count are removed now and then."""
        self.sends.append(call)
        if len(self.sends) > self._sends_checked:
            self._sends_checked = max(2 * len(self.recent_sends(now_s, WINDOW_S)), MIN_SENDS_KEPT)

    def recent_sends(self, now_s: float, window_s: float) -> list[RunningCall]:
        """Return the calls sent within the window or not sent yet, in the order of their sends."""
        self.sends = [call for call in self.sends if now_s - call.sent_s < window_s]
        self.sends.sort(key=lambda call: call.sent_s)
        return self.sends


class WarmupPacer:
    """Decides which cold targets this gateway may send a call now.

    Times are on the process's monotonic clock. Without a factor in the bounds, and for services
    without a rate, it limits nothing.
    """

    def __init__(
        self,
        bounds: WarmupBounds,
        routes: ActiveRoutes,
        own_address: str,
        gateways: GatewaySource,
        observer: WarmupObserver,
        now_s: float,
    ) -> None:
        self._bounds = bounds
        self._routes = routes
        self._own_address = own_address
        self._gateways = create_known_gateways(gateways)
        self._observer = observer
        self._hold_until_s = now_s + HOLD_S
        # When the last tick was; None before any, without which pauses are not detected.
        self._ticked_s: float | None = None
        # When the first targets were known; infinity before.
        self._first_targets_s = math.inf
        self._warmups: OrderedDict[str, _Warmup] = OrderedDict()

    def record_tick(self, now_s: float) -> None:
        """Record that the process runs; called every half second so that pauses are noticed."""
        if not self._bounds.overrun:
            return
        self._check_pause(now_s)
        self._ticked_s = now_s
        self._gateways.refresh(now_s)

    def observe(self, targets: TargetTable, now_s: float) -> None:
        """Record the targets' registrations; called whenever some may have changed."""
        if not self._bounds.overrun:
            return
        for target in targets:
            warmup = self._warmups.get(target.registration.target_id)
            if warmup is None or warmup.registration is not target.registration:
                self._apply(target, now_s)
        if len(self._warmups) > len(targets) + MAX_GONE_TARGETS:
            gone = [key for key in self._warmups if targets.get(key) is None]
            for key in gone[: -MAX_GONE_TARGETS // 2]:
                del self._warmups[key]

    def accepts(self, target: TrackedTarget, now_s: float) -> bool:
        """Return whether a call may be sent to a target now."""
        if not self._is_paced(target):
            return True
        if self.next_s(target, now_s) <= now_s:
            return True
        warmup = self._warmup(target, now_s)
        if not warmup.is_held_recorded:
            warmup.is_held_recorded = True
            self._observer.record_held(target.registration, self._allowance(target, now_s))
        return False

    def next_s(self, target: TrackedTarget, now_s: float) -> float:
        """Return from when on a call may be sent to a target; `now_s` if it may be now.

        At most `MAX_NEXT_S` seconds from now, when it may be as little allowed as now.
        """
        if not self._is_paced(target) or not self._is_cold_or_growing(target, now_s):
            return now_s
        max_next_s = now_s + MAX_NEXT_S
        if now_s < self._hold_until_s:
            return self._hold_until_s
        allowance = self._allowance(target, now_s)
        if not allowance.calls:
            return min(max(self._joins_s(target, now_s), now_s), max_next_s)
        sends = self._warmup(target, now_s).recent_sends(now_s, allowance.window_s)
        if len(sends) < allowance.calls:
            return now_s
        # A call that waits for its connection has no time of its send yet.
        sent_s = min(sends[len(sends) - allowance.calls].sent_s, now_s)
        return min(sent_s + allowance.window_s, max_next_s)

    def rate_per_s(self, target: TrackedTarget, now_s: float) -> float:
        """Return the calls per second that may be sent to a target; infinity for no limit."""
        if not self._is_paced(target) or not self._is_cold_or_growing(target, now_s):
            return math.inf
        return self._allowance(target, now_s).rate_per_s

    def record_send(self, target: TrackedTarget, call: RunningCall, now_s: float) -> None:
        """Record a call for which a slot was reserved.

        It counts until a window after its `RunningCall.sent_s`, however long it takes to connect:
        two calls reserved at different times may be sent within one second. Calls to a target that
        is not cold are recorded too, since it may be cold again a moment later.
        """
        if self._is_paced(target):
            self._warmup(target, now_s).record_send(call, now_s)

    def record_release(self, target: TrackedTarget, call: RunningCall) -> None:
        """Record that a slot was freed; a call that was not sent no longer counts."""
        warmup = self._warmups.get(target.registration.target_id)
        if warmup is not None and call.sent_s == math.inf and call in warmup.sends:
            warmup.sends.remove(call)

    def cold_count(self, targets: TargetTable, now_s: float) -> int:
        """Return the number of targets that are cold."""
        return sum(
            self._is_paced(target) and now_s < self._cold_until_s(target, now_s)
            for target in targets
        )

    def _service(self, target: TrackedTarget) -> Service | None:
        return self._routes.table.services.get(target.registration.service)

    def _is_paced(self, target: TrackedTarget) -> bool:
        if not self._bounds.overrun:
            return False
        service = self._service(target)
        return service is not None and service.warmup_per_s > 0.0

    def _check_pause(self, now_s: float) -> None:
        if self._ticked_s is not None and now_s - self._ticked_s > PAUSE_S:
            self._gateways.extend(now_s - self._ticked_s)
            self._ticked_s = now_s
            self._hold_until_s = now_s + HOLD_S

    def _apply(self, target: TrackedTarget, now_s: float) -> _Warmup:
        if self._first_targets_s == math.inf:
            self._first_targets_s = now_s
        target_id = target.registration.target_id
        warmup = self._warmups.setdefault(target_id, _Warmup())
        self._warmups.move_to_end(target_id)
        is_initial = now_s - self._first_targets_s < FIRST_TARGETS_S
        warmup.update(target.registration, now_s, is_initial)
        if self._is_paced(target):
            self._is_cold_or_growing(target, now_s)
        return warmup

    def _warmup(self, target: TrackedTarget, now_s: float) -> _Warmup:
        warmup = self._warmups.get(target.registration.target_id)
        if warmup is None or warmup.registration is not target.registration:
            return self._apply(target, now_s)
        return warmup

    def _cold_until_s(self, target: TrackedTarget, now_s: float) -> float:
        """Return when a target's warm-up ends or has ended; minus infinity if it had none."""
        warmup, warmup_s = self._warmup(target, now_s), self._service(target).warmup_s
        if target.unreachable_until_s:
            warmup.unreachable_until_s = target.unreachable_until_s
        evacuated_until_s = target.evacuation_ended_s or -math.inf
        since_s = max(warmup.started_s, warmup.unreachable_until_s, evacuated_until_s)
        return max(warmup.stated_until_s, since_s + warmup_s)

    def _is_cold_or_growing(self, target: TrackedTarget, now_s: float) -> bool:
        self._check_pause(now_s)
        cold_until_s = self._cold_until_s(target, now_s)
        if now_s >= cold_until_s + self._service(target).warmup_s:
            return False
        warmup = self._warmup(target, now_s)
        if now_s < cold_until_s:
            if now_s >= warmup.recorded_until_s:
                warmup.is_held_recorded = False
                self._observer.record_cold(target.registration, cold_until_s - now_s)
            warmup.recorded_until_s = max(warmup.recorded_until_s, cold_until_s)
        return True

    def _rank(self, warmup: _Warmup, target_id: str, now_s: float) -> int:
        """Return the rank of this gateway for a target, from 0, and keep it with the gateways."""
        self._gateways.refresh(now_s)
        if warmup.gateways is not self._gateways.addresses:
            warmup.gateways = self._gateways.addresses
            gateways = {self._own_address, *warmup.gateways}
            ranked = rank_nodes(f"{target_id}/{address}" for address in gateways)
            warmup.rank = ranked.index(f"{target_id}/{self._own_address}")
        return warmup.rank

    def _allowance(self, target: TrackedTarget, now_s: float) -> Allowance:
        service, warmup = self._service(target), self._warmup(target, now_s)
        rank = self._rank(warmup, target.registration.target_id, now_s)
        cold_until_s = self._cold_until_s(target, now_s)
        growth = 1.0
        if now_s >= cold_until_s:
            growth = service.warmup_s / max(cold_until_s + service.warmup_s - now_s, 1e-3)
        crash_rate = crash_rate_per_s(service, self._bounds)
        return sender_allowance(crash_rate, max(growth, 1.0), rank, len(warmup.gateways))

    def _joins_s(self, target: TrackedTarget, now_s: float) -> float:
        """Return when this gateway, which may send nothing, becomes one of a target's senders."""
        service, warmup = self._service(target), self._warmup(target, now_s)
        design_rate = DESIGN_SHARE * crash_rate_per_s(service, self._bounds)
        share = max(1.0 - design_rate / (warmup.rank + 1), 0.0)
        return self._cold_until_s(target, now_s) + share * service.warmup_s


def crash_rate_per_s(service: Service, bounds: WarmupBounds) -> float:
    """Return the most calls in one second that a cold target of a service bears."""
    return service.warmup_per_s * bounds.overrun + bounds.slack


def sender_allowance(crash_rate: float, growth: float, rank: int, gateways: int) -> Allowance:
    """Return what the gateway with a rank may send to a target.

    Parameters
    ----------
    crash_rate : float
        Calls in one second above which the cold target crashes.
    growth : float
        Factor on the rate, from 1 while the target is cold, growing after its warm-up.
    rank : int
        Rank of the gateway for the target among all, from 0.

    Examples
    --------
    >>> sender_allowance(16.7, 1.0, rank=2, gateways=3).calls
    2
    >>> sender_allowance(16.7, 1.0, rank=8, gateways=12).calls
    0
    """
    rate = DESIGN_SHARE * crash_rate * growth
    senders = min(gateways, math.floor(rate))
    if rank < senders:
        return Allowance(math.floor(rate / senders))
    if rank == 0 and crash_rate >= 1.0:
        # One gateway alone sends less than one call per second.
        return Allowance(1, WINDOW_S / rate)
    return Allowance(0)


def _start_of(registration: Registration) -> tuple[str, str]:
    return registration.start_name, registration.address


def create_warmup_pacer(
    bounds: WarmupBounds,
    routes: ActiveRoutes,
    own_address: str,
    gateways: GatewaySource,
    observer: WarmupObserver,
    now_s: float,
) -> WarmupPacer:
    """Create a pacer that knows no targets for the gateway that starts now.

    Parameters
    ----------
    own_address : str
        Address of this gateway, as the others know it.
    """
    return WarmupPacer(bounds, routes, own_address, gateways, observer, now_s)
