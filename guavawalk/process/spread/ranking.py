"""Ranks nodes, and derives which of them watch the platform and from which peers the rest fetch.

Every node computes this from the nodes that it knows, without coordination. The nodes of a data
centre are ranked in one order. The first `WATCHERS` watch the platform; the rest form a tree below
them. In the tree an upstream always ranks before its downstreams, so no cycle can form, even
between nodes that know different sets of nodes.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = ["WATCHERS", "Node", "distant_upstreams", "local_upstreams", "rank_nodes"]

# Nodes of each data centre that watch the platform.
WATCHERS = 3
# Greatest number of nodes that have the same node as their first upstream.
FANOUT = 4


class Node(NamedTuple):
    """A process of the system, as its peers know it.

    Attributes
    ----------
    address : str
        Address at which it accepts links from peers; empty if it accepts none.
    role : str
        Such as `entry` or `sidecar`.
    """

    address: str
    data_centre: str
    role: str
    leaving: bool = False


def rank_nodes(addresses: Iterable[str]) -> tuple[str, ...]:
    """Return addresses ranked by their hashes: nodes that know the same ones rank them alike.

    Examples
    --------
    >>> rank_nodes(["10.0.0.1:7", "10.0.0.2:7"]) == rank_nodes(["10.0.0.2:7", "10.0.0.1:7"])
    True
    """
    return tuple(
        sorted(addresses, key=lambda address: (xxh3_64_intdigest(address.encode()), address))
    )


def local_upstreams(ranked: Sequence[str], position: int) -> tuple[str, ...]:
    """Return the peers in the same data centre from which a node fetches versions.

    Parameters
    ----------
    ranked : sequence of str
        Ranked addresses of the data centre, including this node's.
    position : int
        Index of this node in `ranked`.

    Returns
    -------
    tuple of str
        Two addresses; for a watcher only one, that of the next watcher, or none if it is the only
        node.

    Examples
    --------
    >>> local_upstreams("abcdefghij", 9)
    ('b', 'c')
    >>> local_upstreams("abc", 2)
    ('a',)
    """
    if position < WATCHERS:
        watcher_count = min(WATCHERS, len(ranked))
        return (ranked[(position + 1) % watcher_count],) if watcher_count > 1 else ()
    parent = (position - WATCHERS) // FANOUT
    second = parent + 1 if parent + 1 < position else parent - 1
    return (ranked[parent], ranked[second])


def distant_upstreams(
    ranked: Mapping[str, Sequence[str]], data_centre: str, position: int
) -> tuple[str, ...]:
    """Return the peers in other data centres from which a watcher fetches, preferred ones first.

    Parameters
    ----------
    ranked : mapping of str to sequence of str
        Ranked addresses by data centre.
    data_centre : str
        Data centre of this node.
    position : int
        Index of this node there. The watchers with the indices 0, 1 and 2 prefer the first, second
        and fourth data centre after their own in alphabetical order, counted cyclically.

    Returns
    -------
    tuple of str
        One watcher of each other data centre; empty if there is none.

    Examples
    --------
    >>> distant_upstreams({"a": ["a1"], "b": ["b1", "b2"], "c": ["c1"]}, "a", 1)
    ('c1', 'b2')
    """
    data_centres = sorted({*ranked, data_centre})
    own_index = data_centres.index(data_centre)
    others = [
        data_centres[(own_index + step) % len(data_centres)] for step in range(1, len(data_centres))
    ]
    first = (2**position - 1) % max(len(others), 1)
    preferred = [other for other in others[first:] + others[:first] if ranked.get(other)]
    return tuple(_watcher(ranked[other], position) for other in preferred)


def _watcher(ranked: Sequence[str], position: int) -> str:
    return ranked[position % min(WATCHERS, len(ranked))]
