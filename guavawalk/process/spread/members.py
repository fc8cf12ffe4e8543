"""What a process holds of its fellows, from its start on."""

from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.pauses import PauseGauge, create_pause_gauge
from guavawalk.process.spread.latest_updates import LatestUpdates, create_latest_updates
from guavawalk.process.spread.ranking import Node
from guavawalk.process.spread.roster import Roster, create_roster
from guavawalk.process.suspects import SuspectTable, create_suspect_table

__all__ = ["Members", "create_members"]


class Members(NamedTuple):
    """The nodes known, what was heard of them, and whether this process has been awake."""

    roster: Roster
    latest_updates: LatestUpdates
    pauses: PauseGauge
    suspects: SuspectTable


def create_members(name: str, own: Node, seeds: tuple[str, ...], clock: Clock) -> Members:
    """Create what a process knows of others before it has met any."""
    return Members(
        create_roster(name, own, seeds, clock),
        create_latest_updates(),
        create_pause_gauge(clock),
        create_suspect_table(clock),
    )
