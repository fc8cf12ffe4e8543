"""The nodes that a process knows: what is listed, corrected by what it saw itself."""

from collections import OrderedDict
from collections.abc import Iterable
from random import Random

import anyio

from guavawalk.connection.messages import Hello
from guavawalk.connection.platform import Instance
from guavawalk.process.clock import Clock
from guavawalk.process.spread.ranking import (
    WATCHERS,
    Node,
    distant_upstreams,
    local_upstreams,
    rank_nodes,
)
from guavawalk.version.types import Configuration

__all__ = ["NodeTable", "create_node_table"]

AVOID_S = 2.0
EVIDENCE_SLOTS = 4_096


class NodeTable:
    """Nodes by address.

    Attributes
    ----------
    has_instance_list : bool
        Whether the platform's list has been read, empty or not.

    Notes
    -----
    The platform's list lags and the configuration says where sidecars should be, not that they
    are. So a node that this process failed to reach doesn't count for a while, whatever is listed,
    and a node that it has just talked to does.
    """

    def __init__(self, name: str, own: Node, seeds: tuple[str, ...], clock: Clock) -> None:
        self.own_node = own
        self._name = name
        self.seeds = seeds
        self._clock = clock
        self.has_instance_list = False
        self._configured: dict[str, Node] = {}
        self._listed: dict[str, Node] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._unreached_s: OrderedDict[str, float] = OrderedDict()
        self._incarnations: OrderedDict[str, int] = OrderedDict()
        self._changed = anyio.Event()
        self._rank()

    def set_address(self, address: str) -> None:
        """Set where this process itself takes links."""
        self.own_node = self.own_node._replace(address=address)
        self._rank()

    def update_from_configuration(self, configuration: Configuration) -> None:
        """Take the sidecars from a version."""
        self._configured = {
            target.sidecar: Node(target.sidecar, target.data_centre, "sidecar", target.leaving)
            for target in configuration.targets.values()
        }
        self._rank()

    def update_from_instances(self, instances: Iterable[Instance]) -> None:
        """Take the platform's list."""
        self.has_instance_list = True
        self._listed = {
            row.address: Node(row.address, row.data_centre, row.role, row.leaving)
            for row in instances
        }
        self._rank()

    def record_reachable(self, address: str, hello: Hello) -> bool:
        """Note that a node answered; return whether it is another incarnation than before."""
        if self._unreached_s.pop(address, None) is not None:
            self._wake()
        before = self._incarnations.get(address, hello.incarnation)
        self._incarnations[address] = hello.incarnation
        self._incarnations.move_to_end(address)
        if len(self._incarnations) > EVIDENCE_SLOTS:
            self._incarnations.popitem(last=False)
        return before != hello.incarnation

    def record_unreachable(self, address: str) -> None:
        """Note that a node could not be reached."""
        self._unreached_s[address] = self._clock.now_s()
        self._unreached_s.move_to_end(address)
        if len(self._unreached_s) > EVIDENCE_SLOTS:
            self._unreached_s.popitem(last=False)
        self._wake()

    def clear_reachability(self) -> None:
        """Drop what was seen, since this process was paused for a while."""
        self._unreached_s.clear()
        self._wake()

    def upstream(self, slot: int) -> str | None:
        """Return the peer from which this node learns as one of its two upstreams."""
        here = self._reachable(self.own_node.data_centre)
        position = here.index(self._own_key)
        upstreams = local_upstreams(here, position)
        if position < WATCHERS:
            reachable = {centre: self._reachable(centre) for centre in self._ranked}
            upstreams = (
                *upstreams[:1],
                *distant_upstreams(reachable, self.own_node.data_centre, position)[:1],
            )
        if not upstreams:
            upstreams = tuple(seed for seed in self.seeds if self._is_reachable(seed))
        return upstreams[slot] if slot < len(upstreams) else None

    def stand_in_count(self) -> int | None:
        """Return how many nodes this one stands in for as a watcher; None if it is none.

        Notes
        -----
        0 for the watchers whom everyone expects. A node that can't reach those before it stands
        in for them, and the more of them there are, the likelier it is that it is the node itself
        that is cut off, with many others; so the number slows its reads.
        """
        everyone = self._ranked[self.own_node.data_centre]
        if everyone.index(self._own_key) < WATCHERS:
            return 0
        reachable = self._reachable(self.own_node.data_centre)
        if reachable.index(self._own_key) < WATCHERS:
            return len(everyone) - len(reachable)
        return None

    def peers_to_ask(self, rng: Random, count: int) -> list[str]:
        """Return a few peers for a question that any of them can answer."""
        near = [a for a in self._ranked[self.own_node.data_centre] if a != self._own_key]
        others = [a for a in (*self._configured, *self._listed) if a != self._own_key]
        asked = [*self.seeds, *near[:2], *rng.sample(others, min(count, len(others)))]
        return list(dict.fromkeys(asked))[:count]

    def live_entry_count(self, unlisted: int = 1) -> int:
        """Return the number of entries that take work; `unlisted` if none is listed."""
        count = sum(
            node.role == "entry" and not node.leaving and self._is_reachable(node.address)
            for node in self._listed.values()
        )
        return count or unlisted

    def is_leaving(self, address: str) -> bool:
        """Say whether the platform lists a node as leaving."""
        node = self._listed.get(address)
        return node is not None and node.leaving

    def is_alone(self) -> bool:
        """Say whether this process knows no other node."""
        return not (self._configured or self._listed)

    @property
    def node_count(self) -> int:
        """Nodes known, this one included."""
        return sum(map(len, self._ranked.values()))

    @property
    def data_centre_count(self) -> int:
        """Data centres known."""
        return len(self._ranked)

    async def wait_changed(self) -> None:
        """Wait for news of any node."""
        await self._changed.wait()

    @property
    def _own_key(self) -> str:
        return self.own_node.address or self._name

    def _rank(self) -> None:
        by_centre: dict[str, set[str]] = {self.own_node.data_centre: {self._own_key}}
        for node in {**self._configured, **self._listed}.values():
            if not node.leaving and node.address:
                by_centre.setdefault(node.data_centre, set()).add(node.address)
        self._ranked = {centre: rank_nodes(found) for centre, found in by_centre.items()}
        self._wake()

    def _reachable(self, centre: str) -> tuple[str, ...]:
        ranked = self._ranked[centre]
        if not self._unreached_s:
            return ranked
        return tuple(address for address in ranked if self._is_reachable(address))

    def _is_reachable(self, address: str) -> bool:
        if address == self._own_key:
            return True
        unreached_s = self._unreached_s.get(address)
        return unreached_s is None or self._clock.now_s() - unreached_s >= AVOID_S

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def create_node_table(name: str, own: Node, seeds: tuple[str, ...], clock: Clock) -> NodeTable:
    """Create a node table of this process alone.

    Parameters
    ----------
    name : str
        Name of this process; it stands for an address where it takes no links.
    own : Node
        This process.
    seeds : tuple of str
        Peers to ask when nothing else is known.
    """
    return NodeTable(name, own, seeds, clock)
