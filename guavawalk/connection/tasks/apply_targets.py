"""Applies registrations of targets, read from the registry or fetched from another gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavawalk import events
from guavawalk.connection.registry import TargetUpdate
from guavawalk.connection.tasks.registry_news import observe_era
from guavawalk.process.gateway.target_end import EndEvidence, record_target_end
from guavawalk.version.list_state import ListState
from guavawalk.version.position import RegistryPosition
from guavawalk.version.registrations import ListedTargets, Registration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavawalk.process.gateway.state import Gateway

__all__ = ["LAPSE_WINDOW_S", "apply_read", "apply_target_list", "apply_watch"]

# Registrations that lapsed while the registry was unavailable are renewed within this time of its
# recovery, in seconds. A registration that disappears within it may still have a live target.
LAPSE_WINDOW_S = 2.5
# Most ids of targets in one log line.
MAX_LOGGED_IDS = 8


async def apply_read(gateway: Gateway, update: TargetUpdate, has_just_recovered: bool) -> None:
    """Apply a complete read of the registrations.

    Parameters
    ----------
    has_just_recovered : bool
        Whether the registry was unavailable until just now, so that entries may have lapsed.
    """
    before, known_ids = gateway.targets.position, gateway.targets.ids()
    gateway.targets.begin_read(RegistryPosition(update.era, update.as_of))
    if removed := _absent_ids(gateway, update):
        # Entries don't state when others were removed; the list has been read since.
        update = update._replace(removed=removed, last_change=update.as_of)
    gone_ids = _apply_targets(gateway, update, has_just_recovered)
    gateway.log.emit(events.TARGETS_READ, **_list_change(gateway, update, before, known_ids))
    await _close_connections(gateway, gone_ids)


async def apply_watch(gateway: Gateway, update: TargetUpdate, has_just_recovered: bool) -> None:
    """Apply the changes that a watch has reported; see `apply_read`."""
    await _close_connections(gateway, _apply_targets(gateway, update, has_just_recovered))


async def apply_target_list(gateway: Gateway, listed: ListedTargets, source: str) -> None:
    """Apply the registrations of another gateway if its list is newer than the one here.

    Parameters
    ----------
    source : str
        Address of the gateway, for the log.

    Notes
    -----
    Targets that are not on the list are removed at once, unless the registry has just been
    unavailable, or a new era has just begun. Those whose registrations may only have lapsed are on
    it, with the time for which they are still used; one that is not known here is not added, since
    this gateway may have seen its removal.
    """
    # A list of an earlier era may arrive while the first read of a new one is being applied.
    is_newer = listed.state.is_newer_than(gateway.targets.list_state)
    if not is_newer or listed.era < gateway.targets.era_read.era:
        return
    observe_era(gateway, listed.era, source)
    era_read = RegistryPosition(listed.era, listed.era_read_revision or listed.revision)
    gateway.targets.begin_read(era_read)
    update = _list_update(gateway, listed)
    before, known_ids = gateway.targets.position, gateway.targets.ids()
    now_s = gateway.clock.now_s()
    # The other gateway may have read the registry before the entries that lapsed were back.
    has_just_recovered = gateway.duty.has_failed_since(now_s - LAPSE_WINDOW_S)
    gone_ids = _apply_targets(gateway, update, has_just_recovered)
    change = _list_change(gateway, update, before, known_ids)
    gateway.log.emit(events.TARGETS_FETCHED, peer=source, **change)
    for target_id, left_s in listed.lapsing:
        target = gateway.targets.get(target_id)
        if target is not None and target.item_revision <= listed.revision:
            target.usable_until_s = min(target.usable_until_s, now_s + left_s)
    await _close_connections(gateway, gone_ids)


def _list_update(gateway: Gateway, listed: ListedTargets) -> TargetUpdate:
    """Return another gateway's list as an update of the targets known here."""
    # The pages of a read are no snapshot: entries from one may be later than the list can tell of.
    later_ids = gateway.targets.ids_written_after(listed.revision)
    entries = _without_unknown_lapsing(gateway, listed)
    update = TargetUpdate(
        tuple(entry for entry in entries if entry.target_id not in later_ids),
        (),
        listed.revision,
        listed.revision if listed.last_change is None else listed.last_change,
        era=listed.era,
        item_revisions=listed.revisions_by_id(),
        digest=listed.digest,
    )
    removed = frozenset(_absent_ids(gateway, update)) - later_ids
    return update._replace(removed=tuple(removed))


def _without_unknown_lapsing(gateway: Gateway, listed: ListedTargets) -> tuple[Registration, ...]:
    """Return the listed registrations but those that lapsed and are not known here.

    A gateway that knows no list yet takes them all.
    """
    targets = gateway.targets
    if not targets.is_loaded:
        return listed.registrations
    unknown = frozenset(target_id for target_id, _ in listed.lapsing) - targets.ids()
    return tuple(entry for entry in listed.registrations if entry.target_id not in unknown)


def _absent_ids(gateway: Gateway, update: TargetUpdate) -> tuple[str, ...]:
    """Return the ids of the known targets whose present starts a complete update does not list."""
    targets = gateway.targets
    absent = set(targets.ids())
    for registration in update.registered:
        known = targets.get(registration.target_id)
        if known is None:
            continue
        item_revision = update.item_revisions.get(registration.target_id, 0)
        is_same_start = registration.start_name == known.registration.start_name
        if is_same_start or not targets.is_outdated(registration, item_revision):
            absent.discard(registration.target_id)
    return tuple(absent)


def _drop_outdated(gateway: Gateway, update: TargetUpdate) -> TargetUpdate:
    """Return an update without the older copies of registrations that must not be applied."""
    revisions = update.item_revisions
    outdated = {
        registration.target_id
        for registration in update.registered
        if gateway.targets.is_outdated(registration, revisions.get(registration.target_id, 0))
    }
    if not outdated:
        return update
    gateway.metrics.count("registrations_outdated_total", len(outdated))
    gateway.log.emit(
        events.REGISTRATIONS_OUTDATED,
        targets=_logged_ids(outdated),
        count=len(outdated),
        era=update.era,
        revision=update.as_of,
    )
    kept = (entry for entry in update.registered if entry.target_id not in outdated)
    return update._replace(registered=tuple(kept))


def _apply_targets(gateway: Gateway, update: TargetUpdate, has_just_recovered: bool) -> list[str]:
    """Apply an update; return the ids of the targets whose idle connections are to be closed.

    Nothing is awaited, so that an update from another task is applied wholly before or after.
    """
    targets = gateway.targets
    targets.is_loaded = True
    now_s = gateway.clock.now_s()
    for problem in update.problems:
        gateway.metrics.count("registry_entries_invalid_total", what="targets")
        gateway.log.emit(events.REGISTRATION_INVALID, reason=problem, revision=update.as_of)
    update = _drop_outdated(gateway, update)
    changed = [
        registration
        for registration in update.registered
        if _put(gateway, registration, update.item_revisions.get(registration.target_id, 0))
    ]
    for registration in changed:
        _log_registered(gateway, registration, update)
    if changed:
        gateway.peers.count_missing_loads()
    era_settled_s = gateway.eras.settled_s
    has_lapsed = has_just_recovered or now_s < era_settled_s
    gone_ids = []
    for target_id in update.removed:
        target = targets.get(target_id)
        if targets.remove(target_id, now_s, has_lapsed, era_settled_s):
            if targets.get(target_id) is None and not target.registration.draining:
                record_target_end(gateway, target, EndEvidence.LAPSED)
            gateway.log.emit(
                events.TARGET_GONE,
                target=target_id,
                reason="entry lapsed" if has_lapsed else "entry removed",
                era=update.era,
                revision=update.as_of,
            )
            gone_ids.append(target_id)
    gateway.dispatcher.dispatch_all()
    state = ListState(update.era, update.as_of, update.digest)
    if targets.record_list(state, update.last_change):
        gateway.peers.report_news()
    return gone_ids


async def _close_connections(gateway: Gateway, target_ids: Iterable[str]) -> None:
    for target_id in target_ids:
        await gateway.connections.discard_target(target_id)


def _put(gateway: Gateway, registration: Registration, item_revision: int) -> bool:
    """Add or update a target; return whether its registration is new or has changed."""
    for ended in gateway.targets.replaced_by(registration):
        if not ended.registration.draining:
            record_target_end(gateway, ended, EndEvidence.RESTARTED)
    return gateway.targets.put(registration, item_revision)


def _log_registered(gateway: Gateway, registration: Registration, update: TargetUpdate) -> None:
    gateway.log.emit(
        events.TARGET_REGISTERED,
        target=registration.target_id,
        service=registration.service,
        address=registration.address,
        data_centre=registration.data_centre,
        draining=registration.draining,
        era=update.era,
        revision=update.last_change,
    )


def _list_change(
    gateway: Gateway, update: TargetUpdate, before: RegistryPosition, known_ids: frozenset[str]
) -> dict[str, Any]:
    """Return the fields of a log line on a complete list that was applied.

    Parameters
    ----------
    before : RegistryPosition
        Position of the registrations that were known before.
    known_ids : frozenset of str
        Ids of the targets that were known before.
    """
    added = gateway.targets.ids() - known_ids
    return {
        "era": update.era,
        "revision": update.as_of,
        "last_change": update.last_change,
        "digest": f"{update.digest:x}",
        "before_era": before.era,
        "before_revision": before.revision,
        "added": _logged_ids(added),
        "added_count": len(added),
        "removed": _logged_ids(update.removed),
        "removed_count": len(update.removed),
    }


def _logged_ids(target_ids: Iterable[str]) -> list[str]:
    return sorted(target_ids)[:MAX_LOGGED_IDS]
