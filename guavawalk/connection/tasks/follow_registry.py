"""The tasks of a gateway's two connections to the registry: routes and registrations."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.registry import Registry, TargetUpdate
from guavawalk.exception import HistoryGone, PlatformUnavailable
from guavawalk.version.registrations import ListedTargets, Registration
from guavawalk.version.routes import RouteTable

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["apply_routes", "apply_target_list", "follow_routes", "follow_targets"]

# Each call to the registry is charged, so a calm watch waits nearly as long as the registry
# allows; what it might miss through a lost answer the other gateways tell.
WATCH_S = 28.0
# After trouble a watch waits briefly for a while, since its answer may be lost.
TROUBLED_WATCH_S = 2.5
TROUBLED_FOR_S = 12.0
# Pause after a failed call: grows to the last, so that a refusing registry isn't pressed.
FIRST_PAUSE_S = 0.1
LAST_PAUSE_S = 0.8
# Entries that lapsed while the registry was away are back within this time of its return.
LAPSE_S = 2.5


class _Contact:
    """Whether the registry answers on one connection, and since when."""

    def __init__(self, gateway: Gateway, what: str) -> None:
        self._gateway = gateway
        self._what = what
        self._failures = 0
        self._lost_at_s = 0.0
        self._back_at_s = -TROUBLED_FOR_S

    def record_success(self) -> None:
        now_s = self._gateway.clock.now_s()
        self._gateway.registry_answered_s[self._what] = now_s
        if self._failures:
            self._back_at_s = now_s
            self._gateway.log.emit(
                events.REGISTRY_BACK,
                what=self._what,
                failures=self._failures,
                lost_for_ms=int((now_s - self._lost_at_s) * 1000),
            )
        self._failures = 0

    async def record_failure(self, error: PlatformUnavailable) -> None:
        if not self._failures:
            self._lost_at_s = self._gateway.clock.now_s()
            self._gateway.log.emit(events.REGISTRY_LOST, what=self._what, reason=str(error))
        self._failures += 1
        self._gateway.metrics.count("registry_failures_total", what=self._what)
        bound_s = min(FIRST_PAUSE_S * 2**self._failures, LAST_PAUSE_S)
        await anyio.sleep(random.uniform(bound_s / 2, bound_s))

    def watch_s(self) -> float:
        since_s = self._gateway.clock.now_s() - self._back_at_s
        return WATCH_S if since_s >= TROUBLED_FOR_S else TROUBLED_WATCH_S

    def is_just_back(self) -> bool:
        return self._gateway.clock.now_s() - self._back_at_s < LAPSE_S


async def follow_routes(gateway: Gateway, registry: Registry) -> None:
    """Keep the routes in force that were published last."""
    contact = _Contact(gateway, "routes")
    as_of: int | None = None
    while True:
        try:
            if as_of is None:
                update = await registry.read_routes()
            else:
                update = await registry.watch_routes(as_of, contact.watch_s())
            contact.record_success()
            as_of = update.as_of
            for problem in update.problems:
                gateway.log.emit(events.ROUTES_INVALID, reason=problem, revision=update.as_of)
            if update.table is not None:
                apply_routes(gateway, update.table, "registry")
            elif not gateway.routes.table.version:
                as_of = None
                await anyio.sleep(FIRST_PAUSE_S)
        except HistoryGone:
            as_of = None
        except PlatformUnavailable as error:
            as_of = None
            await contact.record_failure(error)


def apply_routes(gateway: Gateway, table: RouteTable, source: str) -> None:
    """Bring routes into force if they are newer than those held."""
    before = gateway.routes.table.version
    if gateway.routes.replace(table, gateway.clock.now_s()):
        gateway.log.emit(
            events.ROUTES_IN_FORCE,
            version=table.version,
            before=before,
            source=source,
            routes=sum(len(routes) for routes in table.routes_by_host.values()),
        )


async def follow_targets(gateway: Gateway, registry: Registry) -> None:
    """Keep the targets that are registered."""
    contact = _Contact(gateway, "targets")
    as_of: int | None = None
    while True:
        try:
            if as_of is None:
                update = await registry.read_targets()
                contact.record_success()
                update = update._replace(removed=_missing(gateway, update.registered))
            else:
                update = await registry.watch_targets(as_of, contact.watch_s())
                contact.record_success()
            as_of = update.as_of
            gateway.targets.is_loaded = True
            await _take_targets(gateway, update, contact.is_just_back())
        except HistoryGone:
            as_of = None
        except PlatformUnavailable as error:
            as_of = None
            await contact.record_failure(error)


async def apply_target_list(gateway: Gateway, listed: ListedTargets, source: str) -> None:
    """Take the entries that another gateway holds, if they are of a later revision."""
    if listed.revision <= gateway.targets.revision:
        return
    removed = _missing(gateway, listed.registrations)
    update = TargetUpdate(listed.registrations, removed, listed.revision, listed.revision)
    gateway.targets.is_loaded = True
    gateway.log.emit(events.TARGETS_FETCHED, peer=source, revision=listed.revision)
    await _take_targets(gateway, update, is_just_back=True)


def _missing(gateway: Gateway, registered: Iterable[Registration]) -> tuple[str, ...]:
    listed = {registration.target_id for registration in registered}
    return tuple(gateway.targets.ids() - listed)


async def _take_targets(gateway: Gateway, update: TargetUpdate, is_just_back: bool) -> None:
    targets = gateway.targets
    now_s = gateway.clock.now_s()
    for problem in update.problems:
        gateway.log.emit(events.REGISTRATION_INVALID, reason=problem, revision=update.as_of)
    for registration in update.registered:
        if targets.put(registration):
            _log_registered(gateway, registration, update.last_change)
    for target_id in update.removed:
        if targets.remove(target_id, now_s, is_just_back):
            gateway.log.emit(
                events.TARGET_GONE,
                target=target_id,
                reason="entry lapsed" if is_just_back else "entry removed",
                revision=update.as_of,
            )
            await gateway.connections.discard_target(target_id)
    gateway.dispatcher.dispatch_all()
    targets.revision = max(targets.revision, update.last_change)


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
