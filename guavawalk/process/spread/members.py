"""What a process holds of its fellows, from its start on."""

from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.pauses import PauseMonitor, create_pause_monitor
from guavawalk.process.spread.advertised_version import AdvertisedVersion, create_advertised_version
from guavawalk.process.spread.node_table import NodeTable, create_node_table
from guavawalk.process.spread.ranking import Node
from guavawalk.process.suspects import SuspectTable, create_suspect_table

__all__ = ["Members", "create_members"]


class Members(NamedTuple):
    """The nodes known, what was heard of them, and whether this process has been awake."""

    node_table: NodeTable
    advertised_version: AdvertisedVersion
    pauses: PauseMonitor
    suspects: SuspectTable


def create_members(name: str, own: Node, seeds: tuple[str, ...], clock: Clock) -> Members:
    """Create what a process knows of others before it has met any."""
    return Members(
        create_node_table(name, own, seeds, clock),
        create_advertised_version(),
        create_pause_monitor(clock),
        create_suspect_table(clock),
    )
