"""The tasks of a gateway's two connections to the registry: one for routes, one for targets."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.registry import WATCH_MARGIN_S, Registry, TargetUpdate
from guavawalk.exception import HistoryGone, PlatformUnavailable
from guavawalk.process.gateway.target_end import EndEvidence, record_target_end
from guavawalk.version.registrations import ListedTargets, Registration
from guavawalk.version.routes import RouteTable

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["apply_routes", "apply_target_list", "follow_routes", "follow_targets"]

# Time that is left after a watch whose answer was lost, in seconds: in it this gateway reads the
# registry again, and the others fetch from it what is new.
CATCH_UP_S = 0.7
# Bounds of the waiting time of a watch, in seconds; the registry allows 30 s.
MIN_WATCH_S = 0.5
MAX_WATCH_S = 28.0
# Time after the start of the process in which it does not watch yet, in seconds: by then it has
# heard the other gateways, and knows whether others watch for it.
SETTLE_S = 1.0
# Bounds of the pause after a failed call, in seconds. The pause doubles with each failure, so that
# retries don't overload a registry that refuses calls.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
# Registrations that lapsed while the registry was unavailable are renewed within this time of its
# recovery, in seconds. A registration that disappears within it may still have a live target.
LAPSE_WINDOW_S = 2.5


class _RegistryHealth:
    """Tracks whether the registry answers on one connection, and pauses after failures.

    Parameters
    ----------
    what : str
        What the connection reads, `routes` or `targets`; a label in logs and metrics.
    """

    def __init__(self, gateway: Gateway, what: str) -> None:
        self._gateway = gateway
        self._what = what
        self._failures = 0
        self._failing_since_s = 0.0
        self._recovered_at_s = -math.inf

    def record_success(self) -> None:
        now_s = self._gateway.clock.now_s()
        self._gateway.registry_answered_s[self._what] = now_s
        self._gateway.duty.record_success(self._what)
        if self._failures:
            self._recovered_at_s = now_s
            self._gateway.log.emit(
                events.REGISTRY_BACK,
                what=self._what,
                failures=self._failures,
                lost_for_ms=int((now_s - self._failing_since_s) * 1000),
            )
        self._failures = 0

    async def record_failure(self, error: PlatformUnavailable) -> None:
        if not self._failures:
            self._failing_since_s = self._gateway.clock.now_s()
            self._gateway.log.emit(events.REGISTRY_LOST, what=self._what, reason=str(error))
        self._failures += 1
        self._gateway.duty.record_failure(self._what)
        self._gateway.metrics.count("registry_failures_total", what=self._what)
        bound_s = min(MIN_PAUSE_S * 2**self._failures, MAX_PAUSE_S)
        await anyio.sleep(random.uniform(bound_s / 2, bound_s))

    def has_just_recovered(self) -> bool:
        # Another gateway may have had the failures, before this one began to watch.
        since_s = self._gateway.clock.now_s() - LAPSE_WINDOW_S
        return self._recovered_at_s > since_s or self._gateway.duty.has_failed_since(since_s)


def _watch_wait_s(gateway: Gateway) -> float:
    """Return for how long a watch waits for a change.

    Nothing else shows that the answer of a watch was lost: its connection stays open, and all other
    gateways may have lost theirs. So each watch ends early enough to catch up within `contact_ms`.
    """
    wait_s = gateway.settings.contact_ms / 1000 - WATCH_MARGIN_S - CATCH_UP_S
    return min(max(wait_s, MIN_WATCH_S), MAX_WATCH_S)


async def _wait_for_duty(gateway: Gateway) -> bool:
    """Return once this gateway has to watch the registry.

    Returns
    -------
    bool
        Whether there was a pause, in which changes may have been missed that other gateways did not
        report.
    """
    is_settling = gateway.clock.now_s() - gateway.started_s < SETTLE_S
    if is_settling:
        await anyio.sleep(SETTLE_S)
    if gateway.duty.is_watcher():
        return False
    await gateway.duty.wait()
    return True


async def follow_routes(gateway: Gateway, registry: Registry) -> None:
    """Read the published routes, and watch them while this gateway has to, until cancelled.

    Each newer version is activated.
    """
    health = _RegistryHealth(gateway, "routes")
    as_of: int | None = None
    while True:
        if gateway.routes.table.version and await _wait_for_duty(gateway):
            as_of = None
        try:
            if as_of is None:
                update = await registry.read_routes()
            else:
                update = await registry.watch_routes(as_of, _watch_wait_s(gateway))
            health.record_success()
            as_of = update.as_of
            for problem in update.problems:
                gateway.metrics.count("registry_entries_invalid_total", what="routes")
                gateway.log.emit(events.ROUTES_INVALID, reason=problem, revision=update.as_of)
            if update.table is not None:
                apply_routes(gateway, update.table, "registry")
        except HistoryGone:
            as_of = None
            await anyio.sleep(MIN_PAUSE_S)
        except PlatformUnavailable as error:
            as_of = None
            await health.record_failure(error)


def apply_routes(gateway: Gateway, table: RouteTable, source: str) -> None:
    """Activate routes if they are newer than the active ones.

    Parameters
    ----------
    source : str
        Where the routes come from, for the log: `registry`, or the address of a gateway.
    """
    before = gateway.routes.table.version
    if gateway.routes.replace(table, gateway.clock.now_s()):
        gateway.peers.report_news()
        gateway.log.emit(
            events.ROUTES_IN_FORCE,
            version=table.version,
            before=before,
            source=source,
            routes=sum(len(routes) for routes in table.routes_by_host.values()),
        )


async def follow_targets(gateway: Gateway, registry: Registry) -> None:
    """Read the registrations, and watch them while this gateway has to, until cancelled."""
    health = _RegistryHealth(gateway, "targets")
    as_of: int | None = None
    while True:
        if gateway.targets.is_loaded and await _wait_for_duty(gateway):
            as_of = None
        try:
            if as_of is None:
                update = await registry.read_targets()
                health.record_success()
                if removed := _absent_ids(gateway, update.registered):
                    # No entry tells the revision of a removal; that of the list is later.
                    update = update._replace(removed=removed, last_change=update.as_of)
            else:
                update = await registry.watch_targets(as_of, _watch_wait_s(gateway))
                health.record_success()
            as_of = update.as_of
            gateway.targets.is_loaded = True
            await _apply_targets(gateway, update, health.has_just_recovered())
        except HistoryGone:
            as_of = None
            await anyio.sleep(MIN_PAUSE_S)
        except PlatformUnavailable as error:
            as_of = None
            await health.record_failure(error)


async def apply_target_list(gateway: Gateway, listed: ListedTargets, source: str) -> None:
    """Apply the registrations of another gateway if their revision is later than the one here.

    Parameters
    ----------
    source : str
        Address of the gateway, for the log.

    Notes
    -----
    Targets that are not on the list are removed at once, unless the registry has just been
    unavailable. Those whose registrations may only have lapsed are on it, with the time for which
    they are still used.
    """
    if listed.revision <= gateway.targets.revision:
        return
    removed = _absent_ids(gateway, listed.registrations)
    update = TargetUpdate(listed.registrations, removed, listed.revision, listed.revision)
    gateway.targets.is_loaded = True
    gateway.log.emit(events.TARGETS_FETCHED, peer=source, revision=listed.revision)
    now_s = gateway.clock.now_s()
    # The other gateway may have read the registry before the entries that lapsed were back.
    has_just_recovered = gateway.duty.has_failed_since(now_s - LAPSE_WINDOW_S)
    await _apply_targets(gateway, update, has_just_recovered)
    for target_id, left_s in listed.lapsing:
        target = gateway.targets.get(target_id)
        if target is not None:
            target.usable_until_s = min(target.usable_until_s, now_s + left_s)


def _absent_ids(gateway: Gateway, registered: Iterable[Registration]) -> tuple[str, ...]:
    listed = {registration.target_id for registration in registered}
    return tuple(gateway.targets.ids() - listed)


async def _apply_targets(gateway: Gateway, update: TargetUpdate, has_just_recovered: bool) -> None:
    targets = gateway.targets
    now_s = gateway.clock.now_s()
    for problem in update.problems:
        gateway.metrics.count("registry_entries_invalid_total", what="targets")
        gateway.log.emit(events.REGISTRATION_INVALID, reason=problem, revision=update.as_of)
    changed = [registration for registration in update.registered if _put(gateway, registration)]
    for registration in changed:
        _log_registered(gateway, registration, update.last_change)
    if changed:
        gateway.peers.count_missing_loads()
    for target_id in update.removed:
        target = targets.get(target_id)
        if targets.remove(target_id, now_s, has_just_recovered):
            if targets.get(target_id) is None and not target.registration.draining:
                record_target_end(gateway, target, EndEvidence.LAPSED)
            gateway.log.emit(
                events.TARGET_GONE,
                target=target_id,
                reason="entry lapsed" if has_just_recovered else "entry removed",
                revision=update.as_of,
            )
            await gateway.connections.discard_target(target_id)
    gateway.dispatcher.dispatch_all()
    if update.last_change > targets.revision:
        targets.revision = update.last_change
        gateway.peers.report_news()


def _put(gateway: Gateway, registration: Registration) -> bool:
    """Add or update a target; return whether its registration is new or has changed."""
    for ended in gateway.targets.replaced_by(registration):
        if not ended.registration.draining:
            record_target_end(gateway, ended, EndEvidence.RESTARTED)
    return gateway.targets.put(registration)


def _log_registered(gateway: Gateway, registration: Registration, revision: int) -> None:
    gateway.log.emit(
        events.TARGET_REGISTERED,
        target=registration.target_id,
        service=registration.service,
        address=registration.address,
        data_centre=registration.data_centre,
        draining=registration.draining,
        revision=revision,
    )
