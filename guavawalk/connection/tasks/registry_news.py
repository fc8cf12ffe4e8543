"""Applies eras of the registry and evacuations, from the registry or from another gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events

if TYPE_CHECKING:
    from guavawalk.process.gateway.evacuation import EvacuationChange
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.version.evacuations import Evacuations

__all__ = ["apply_evacuations", "expire_evacuations", "observe_era"]


def observe_era(gateway: Gateway, era: int, source: str) -> None:
    """Record an era of the registry, and log it if it follows an earlier one.

    Parameters
    ----------
    source : str
        Where it was seen, for the log: `registry`, or the address of a gateway.
    """
    before = gateway.eras.era
    if gateway.eras.observe(era, gateway.clock.now_s()):
        gateway.log.emit(events.REGISTRY_ERA_BEGUN, era=era, before=before, source=source)


def apply_evacuations(gateway: Gateway, state: Evacuations, source: str) -> None:
    """Take a state of the evacuations if it is later than the one here.

    Parameters
    ----------
    source : str
        Where it comes from, for the log: `registry`, or the address of a gateway.
    """
    was_known = gateway.evacuations.is_known
    change = gateway.evacuations.apply(state, gateway.clock.now_s())
    _apply_change(gateway, change, source)
    if not was_known:
        gateway.peers.report_news()


def expire_evacuations(gateway: Gateway) -> None:
    """Lift the evacuations that a new era of the registry has lacked for too long."""
    change = gateway.evacuations.expire(gateway.clock.now_s())
    _apply_change(gateway, change, "missing in the new era")


def _apply_change(gateway: Gateway, change: EvacuationChange, source: str) -> None:
    if not change.begun and not change.lifted:
        return
    gateway.targets.set_evacuated(gateway.evacuations.in_force, gateway.clock.now_s())
    era, revision = gateway.evacuations.state.position
    for event, data_centres in (
        (events.EVACUATION_IN_FORCE, change.begun),
        (events.EVACUATION_LIFTED, change.lifted),
    ):
        for data_centre in data_centres:
            gateway.log.emit(
                event, data_centre=data_centre, source=source, era=era, revision=revision
            )
    gateway.peers.report_news()
    # Calls may wait for targets that may be used again.
    gateway.dispatcher.dispatch_all()
