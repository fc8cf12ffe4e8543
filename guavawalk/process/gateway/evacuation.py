"""Decides which data centres are evacuated, by the registry's states and across its eras.

Handles states that arrive late or twice, from the registry and from several gateways, and a
registry that comes back from a copy that lacks an evacuation.
"""

from typing import NamedTuple

from guavawalk.process.gateway.registry_eras import ERA_SETTLE_S
from guavawalk.version.evacuations import NO_EVACUATIONS, Evacuations

__all__ = ["EvacuationChange", "EvacuationTable", "create_evacuation_table"]


class EvacuationChange(NamedTuple):
    """Data centres whose evacuation came into force, and those where it was lifted; sorted."""

    begun: tuple[str, ...] = ()
    lifted: tuple[str, ...] = ()


class EvacuationTable:
    """The evacuations in force.

    Attributes
    ----------
    is_known : bool
        Whether a state was read from the registry, or learnt from another gateway.
    state : Evacuations
        The last state that was taken; reports carry it.
    in_force : frozenset of str
        Names of the data centres to which no calls are sent.
    """

    def __init__(self) -> None:
        self.is_known = False
        self.state = NO_EVACUATIONS
        self.in_force: frozenset[str] = frozenset()
        # Evacuations that were in force in an earlier era and were not seen in the present one yet:
        # until when each is kept.
        self._kept_until_s: dict[str, float] = {}

    def apply(self, state: Evacuations, now_s: float) -> EvacuationChange:
        """Take a state if its position is later than that of the last; return what changed.

        Notes
        -----
        What is in force stays in force in a new era without it for `ERA_SETTLE_S`: the operator
        writes again what the registry has lost. Once it was seen in the era, its removal counts at
        once.
        """
        if self.is_known and state.position <= self.state.position:
            return EvacuationChange()
        if self.is_known and state.position.era > self.state.position.era:
            self._kept_until_s = dict.fromkeys(self.in_force, now_s + ERA_SETTLE_S)
        for name in state.data_centres:
            self._kept_until_s.pop(name, None)
        self.is_known, self.state = True, state
        return self._update()

    def expire(self, now_s: float) -> EvacuationChange:
        """Lift the evacuations that were kept in a new era and are still missing."""
        expired = [name for name, until_s in self._kept_until_s.items() if until_s <= now_s]
        for name in expired:
            del self._kept_until_s[name]
        return self._update()

    def _update(self) -> EvacuationChange:
        before = self.in_force
        self.in_force = frozenset((*self.state.data_centres, *self._kept_until_s))
        return EvacuationChange(
            tuple(sorted(self.in_force - before)), tuple(sorted(before - self.in_force))
        )


def create_evacuation_table() -> EvacuationTable:
    """Create a table in which nothing is known."""
    return EvacuationTable()
