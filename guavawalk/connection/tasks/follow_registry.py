"""The tasks of a gateway's two connections to the registry.

One follows what the operator writes, routes and evacuations; the other follows the targets.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import anyio

from guavawalk import events
from guavawalk.connection.registry import WATCH_MARGIN_S, Registry, RouteUpdate
from guavawalk.connection.tasks.apply_targets import LAPSE_WINDOW_S, apply_read, apply_watch
from guavawalk.connection.tasks.registry_news import apply_evacuations, observe_era
from guavawalk.exception import HistoryGone, PlatformUnavailable
from guavawalk.version.evacuations import MAX_EVACUATIONS, Evacuations
from guavawalk.version.list_state import digest_entries
from guavawalk.version.position import RegistryPosition
from guavawalk.version.routes import RouteTable

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["apply_routes", "follow_routes", "follow_targets"]

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
# Bounds of the pause before everything is read again in a new era, or after the history is gone, in
# seconds: all watching gateways notice it at the same time, and must not read at the same time.
MIN_REREAD_S = 0.05
MAX_REREAD_S = 0.4


class _RegistryHealth:
    """Tracks the answers of the registry on one connection and their era; pauses after failures.

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
        # Era of the last answer that was used, and number of outdated answers since.
        self._era = 0
        self._outdated = 0

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

    async def accepts_era(self, era: int, is_read: bool) -> bool:
        """Return whether an answer may be used; after a pause if everything has to be read again.

        An answer of an older era than is known here has arrived late. A watch's answer of a new era
        tells its changes, but not what the registry has lost.
        """
        if self._gateway.eras.is_outdated(era):
            self._gateway.metrics.count("registry_answers_outdated_total", what=self._what)
            self._outdated += 1
            await anyio.sleep(_pause_s(self._outdated))
            return False
        self._outdated = 0
        observe_era(self._gateway, era, "registry")
        if not is_read and era != self._era:
            await _pause_before_reread()
            return False
        self._era = era
        return True

    async def record_failure(self, error: PlatformUnavailable) -> None:
        if not self._failures:
            self._failing_since_s = self._gateway.clock.now_s()
            self._gateway.log.emit(events.REGISTRY_LOST, what=self._what, reason=str(error))
        self._failures += 1
        self._gateway.duty.record_failure(self._what)
        self._gateway.metrics.count("registry_failures_total", what=self._what)
        await anyio.sleep(_pause_s(self._failures))

    def has_just_recovered(self) -> bool:
        # Another gateway may have had the failures, before this one began to watch.
        since_s = self._gateway.clock.now_s() - LAPSE_WINDOW_S
        return self._recovered_at_s > since_s or self._gateway.duty.has_failed_since(since_s)


def _pause_s(failures: int) -> float:
    """Return the length of the pause after a number of failures in a row."""
    bound_s = min(MIN_PAUSE_S * 2**failures, MAX_PAUSE_S)
    return random.uniform(bound_s / 2, bound_s)


async def _pause_before_reread() -> None:
    """Wait for a moment that differs between gateways."""
    await anyio.sleep(random.uniform(MIN_REREAD_S, MAX_REREAD_S))


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
    """Read the routes and evacuations, and watch them while this gateway has to, until cancelled.

    Each newer version of the routes is activated.
    """
    health = _RegistryHealth(gateway, "routes")
    as_of: int | None = None
    evacuated: frozenset[str] = frozenset()
    while True:
        is_known = gateway.routes.table.version and gateway.evacuations.is_known
        if is_known and await _wait_for_duty(gateway):
            as_of = None
        try:
            if as_of is None:
                update = await registry.read_routes()
            else:
                update = await registry.watch_routes(as_of, _watch_wait_s(gateway))
            health.record_success()
            is_read = as_of is None
            if not await health.accepts_era(update.era, is_read):
                as_of = None
                continue
            as_of = update.as_of
            evacuated = _evacuated(update, frozenset() if is_read else evacuated)
            for problem in update.problems:
                gateway.metrics.count("registry_entries_invalid_total", what="routes")
                gateway.log.emit(events.ROUTES_INVALID, reason=problem, revision=update.as_of)
            for problem in update.evacuation_problems:
                gateway.metrics.count("registry_entries_invalid_total", what="evacuations")
                gateway.log.emit(events.EVACUATION_INVALID, reason=problem, revision=update.as_of)
            position = RegistryPosition(update.era, update.as_of)
            apply_evacuations(gateway, Evacuations(position, tuple(sorted(evacuated))), "registry")
            if update.table is not None:
                apply_routes(gateway, update.table, "registry")
        except HistoryGone:
            as_of = None
            await _pause_before_reread()
        except PlatformUnavailable as error:
            as_of = None
            await health.record_failure(error)


def _evacuated(update: RouteUpdate, before: frozenset[str]) -> frozenset[str]:
    """Return all evacuated data centres after an update."""
    evacuated = (before - frozenset(update.lifted)) | frozenset(update.evacuated)
    return frozenset(sorted(evacuated)[:MAX_EVACUATIONS])


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
    # Revisions of all entries in the registry, by target id.
    entries: dict[str, int] = {}
    while True:
        if gateway.targets.is_loaded and await _wait_for_duty(gateway):
            as_of = None
        known = gateway.targets.position
        try:
            if as_of is None:
                update = await registry.read_targets()
            else:
                update = await registry.watch_targets(as_of, _watch_wait_s(gateway))
            health.record_success()
            is_read = as_of is None
            if not await health.accepts_era(update.era, is_read):
                as_of = None
                continue
            as_of = update.as_of
            entries = update.entries_after({} if is_read else entries)
            update = update._replace(digest=digest_entries(entries))
            later = gateway.targets.position
            if later > known and later > RegistryPosition(update.era, update.as_of):
                # Another gateway's list, taken during the call, has these changes and later ones.
                gateway.metrics.count("registry_answers_superseded_total", what="targets")
                continue
            apply = apply_read if is_read else apply_watch
            await apply(gateway, update, health.has_just_recovered())
        except HistoryGone:
            as_of = None
            await _pause_before_reread()
        except PlatformUnavailable as error:
            as_of = None
            await health.record_failure(error)
