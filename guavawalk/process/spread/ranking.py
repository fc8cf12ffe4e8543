"""Which nodes watch the platform, and from which peers each of the others learns.

Every node works this out for itself from the nodes that it knows. Nodes of a data centre stand in
one order. The first few watch; the rest form a tree under them, so that an upstream always stands
earlier in the order and no circle can arise, whatever a node believes of those before it.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = ["WATCHERS", "Node", "distant_upstreams", "local_upstreams", "rank_nodes"]

WATCHERS = 3
FANOUT = 4


class Node(NamedTuple):
    """A process of the system, as its peers know it.

    Attributes
    ----------
    address : str
        Where it takes links from peers.
    """

    address: str
    data_centre: str
    role: str
    leaving: bool = False


def rank_nodes(addresses: Iterable[str]) -> tuple[str, ...]:
    """Return addresses in the order on which all nodes agree without talking.

    Examples
    --------
    >>> rank_nodes(["10.0.0.1:7", "10.0.0.2:7"]) == rank_nodes(["10.0.0.2:7", "10.0.0.1:7"])
    True
    """
    return tuple(
        sorted(addresses, key=lambda address: (xxh3_64_intdigest(address.encode()), address))
    )


def local_upstreams(ranked: Sequence[str], position: int) -> tuple[str, ...]:
    """Return the peers in the same data centre from which a node learns.

    Parameters
    ----------
    ranked : sequence of str
        Addresses of the data centre in order, this node among them.
    position : int
        Where this node stands.

    Returns
    -------
    tuple of str
        One for a watcher with others beside it; two for the rest, where there are two.

    Examples
    --------
    >>> local_upstreams("abcdefghij", 9)
    ('b', 'c')
    >>> local_upstreams("abc", 2)
    ('a',)
    """
    if position < WATCHERS:
        others = min(WATCHERS, len(ranked))
        return (ranked[(position + 1) % others],) if others > 1 else ()
    parent = (position - WATCHERS) // FANOUT
    second = parent + 1 if parent + 1 < position else parent - 1
    return (ranked[parent], ranked[second])


def distant_upstreams(
    ranked: Mapping[str, Sequence[str]], data_centre: str, position: int
) -> tuple[str, ...]:
    """Return peers in other data centres from which a watcher learns, the first choice first.

    Parameters
    ----------
    ranked : mapping of str to sequence of str
        Addresses of each data centre in order.
    data_centre : str
        Where this node stands.
    position : int
        Its place there; the watchers of a data centre reach out to different ones.

    Examples
    --------
    >>> distant_upstreams({"a": ["a1"], "b": ["b1", "b2"], "c": ["c1"]}, "a", 1)
    ('c1', 'b2')
    """
    centres = sorted({*ranked, data_centre})
    own_index = centres.index(data_centre)
    around = [centres[(own_index + step) % len(centres)] for step in range(1, len(centres))]
    first = (2**position - 1) % max(len(around), 1)
    chosen = [centre for centre in around[first:] + around[:first] if ranked.get(centre)]
    return tuple(_watcher(ranked[centre], position) for centre in chosen)


def _watcher(ranked: Sequence[str], position: int) -> str:
    return ranked[position % min(WATCHERS, len(ranked))]
