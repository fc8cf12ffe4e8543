"""Groups what a process records about the other nodes."""

from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.pauses import PauseMonitor, create_pause_monitor
from guavawalk.process.spread.advertised_version import AdvertisedVersion, create_advertised_version
from guavawalk.process.spread.node_table import NodeTable, create_node_table
from guavawalk.process.spread.ranking import Node
from guavawalk.process.suspects import SuspectTable, create_suspect_table

__all__ = ["Members", "create_members"]


class Members(NamedTuple):
    """Records about the other nodes, and about pauses of this process that make them stale.

    Attributes
    ----------
    node_table : NodeTable
        The known nodes and their reachability.
    advertised_version : AdvertisedVersion
        The highest version that a peer has advertised.
    pauses : PauseMonitor
        Detects that this process was suspended.
    suspects : SuspectTable
        Requests that are suspected of crashing targets.
    """

    node_table: NodeTable
    advertised_version: AdvertisedVersion
    pauses: PauseMonitor
    suspects: SuspectTable


def create_members(name: str, own_node: Node, seeds: tuple[str, ...], clock: Clock) -> Members:
    """Create the records of a process that has not contacted another node yet.

    Parameters
    ----------
    name : str
        Name of this process.
    own_node : Node
        This process.
    seeds : tuple of str
        Addresses of peers from the settings.
    """
    return Members(
        create_node_table(name, own_node, seeds, clock),
        create_advertised_version(),
        create_pause_monitor(clock),
        create_suspect_table(clock),
    )
