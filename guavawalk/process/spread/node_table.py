"""Table of the nodes that a process knows, from lists and from its own connections."""

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

# Time for which a node counts as unreachable after a failed connection.
AVOID_S = 2.0
# Most failures that are recorded, and most incarnations; the oldest are evicted.
MAX_RECORDED_NODES = 4_096


class NodeTable:
    """Nodes by address.

    Attributes
    ----------
    own_node : Node
        This process; its address is empty until it accepts links.
    seeds : tuple of str
        Addresses of peers from the settings: the first of `peers_to_ask`, and the upstreams while
        the lists give none.
    has_instance_list : bool
        Whether the platform's instance list has been read, even if it was empty.

    Notes
    -----
    The platform's list lags behind, and the configuration names the sidecars that should run, not
    those that do. So a node that this process could not reach counts as unreachable for `AVOID_S`,
    or until a connection to it succeeds, whatever the lists contain.
    """

    def __init__(self, name: str, own_node: Node, seeds: tuple[str, ...], clock: Clock) -> None:
        self.own_node = own_node
        self._name = name
        self.seeds = seeds
        self._clock = clock
        self.has_instance_list = False
        self._configured: dict[str, Node] = {}
        self._listed: dict[str, Node] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._failed_at_s: OrderedDict[str, float] = OrderedDict()
        self._incarnations: OrderedDict[str, int] = OrderedDict()
        self._changed = anyio.Event()
        self._rank()

    def set_address(self, address: str) -> None:
        """Set the address at which this process accepts links."""
        self.own_node = self.own_node._replace(address=address)
        self._rank()

    def update_from_configuration(self, configuration: Configuration) -> None:
        """Replace the configured nodes with the sidecars of a version."""
        self._configured = {
            target.sidecar: Node(target.sidecar, target.data_centre, "sidecar", target.leaving)
            for target in configuration.targets.values()
        }
        self._rank()

    def update_from_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the listed nodes with the platform's instance list."""
        self.has_instance_list = True
        self._listed = {
            row.address: Node(row.address, row.data_centre, row.role, row.leaving)
            for row in instances
        }
        self._rank()

    def record_reachable(self, address: str, hello: Hello) -> bool:
        """Record a handshake with a node.

        Returns
        -------
        bool
            Whether the node has another incarnation than at its last handshake; False at the
            first.
        """
        if self._failed_at_s.pop(address, None) is not None:
            self._notify()
        before = self._incarnations.get(address, hello.incarnation)
        self._incarnations[address] = hello.incarnation
        self._incarnations.move_to_end(address)
        if len(self._incarnations) > MAX_RECORDED_NODES:
            self._incarnations.popitem(last=False)
        return before != hello.incarnation

    def record_unreachable(self, address: str) -> None:
        """Record that a connection to a node failed."""
        self._failed_at_s[address] = self._clock.now_s()
        self._failed_at_s.move_to_end(address)
        if len(self._failed_at_s) > MAX_RECORDED_NODES:
            self._failed_at_s.popitem(last=False)
        self._notify()

    def clear_reachability(self) -> None:
        """Discard the recorded failures, which are out of date after a pause, and wake waiters."""
        self._failed_at_s.clear()
        self._notify()

    def upstream(self, slot: int) -> str | None:
        """Return the address of a peer from which this node fetches versions.

        Parameters
        ----------
        slot : int
            0 or 1, for the first or second upstream.

        Returns
        -------
        str or None
            None if there is no such upstream. If the lists give none, reachable seeds are used.
        """
        local_ranked = self._reachable(self.own_node.data_centre)
        position = local_ranked.index(self._own_key)
        upstreams = local_upstreams(local_ranked, position)
        if position < WATCHERS:
            reachable = {data_centre: self._reachable(data_centre) for data_centre in self._ranked}
            upstreams = (
                *upstreams[:1],
                *distant_upstreams(reachable, self.own_node.data_centre, position)[:1],
            )
        if not upstreams:
            upstreams = tuple(seed for seed in self.seeds if self._is_reachable(seed))
        return upstreams[slot] if slot < len(upstreams) else None

    def covered_node_count(self) -> int | None:
        """Return the number of unreachable nodes that this node covers as a watcher.

        Returns
        -------
        int or None
            None if this node is not a watcher. 0 if it is a regular watcher, that is, one of the
            first `WATCHERS` nodes of its data centre. If it is one of them only when unreachable
            nodes are left out, it stands in for a watcher; the result is then the number of nodes
            of its data centre that it can't reach.

        Notes
        -----
        The more nodes are unreachable, the likelier it is that this node itself is cut off,
        together with many others that then watch too. So callers read less often as the number
        grows.
        """
        ranked = self._ranked[self.own_node.data_centre]
        if ranked.index(self._own_key) < WATCHERS:
            return 0
        reachable = self._reachable(self.own_node.data_centre)
        if reachable.index(self._own_key) < WATCHERS:
            return len(ranked) - len(reachable)
        return None

    def peers_to_ask(self, rng: Random, count: int) -> list[str]:
        """Return up to `count` peers, reachable or not: seeds, two local, then random ones."""
        local = [a for a in self._ranked[self.own_node.data_centre] if a != self._own_key]
        others = [a for a in (*self._configured, *self._listed) if a != self._own_key]
        candidates = [*self.seeds, *local[:2], *rng.sample(others, min(count, len(others)))]
        return list(dict.fromkeys(candidates))[:count]

    def live_entry_count(self, default: int = 1) -> int:
        """Return the number of listed entries that are reachable and not leaving.

        Parameters
        ----------
        default : int, optional
            Returned instead of 0.
        """
        count = sum(
            node.role == "entry" and not node.leaving and self._is_reachable(node.address)
            for node in self._listed.values()
        )
        return count or default

    def is_leaving(self, address: str) -> bool:
        """Return whether the platform lists a node as leaving."""
        node = self._listed.get(address)
        return node is not None and node.leaving

    def is_alone(self) -> bool:
        """Return whether no node is known from the configuration or from the platform's list."""
        return not (self._configured or self._listed)

    @property
    def node_count(self) -> int:
        """Number of known nodes that are not leaving, including this one."""
        return sum(map(len, self._ranked.values()))

    @property
    def data_centre_count(self) -> int:
        """Number of known data centres, including this node's."""
        return len(self._ranked)

    async def wait_changed(self) -> None:
        """Wait until a list is read or a connection recorded; the end of `AVOID_S` wakes nobody."""
        await self._changed.wait()

    @property
    def _own_key(self) -> str:
        return self.own_node.address or self._name

    def _rank(self) -> None:
        by_data_centre: dict[str, set[str]] = {self.own_node.data_centre: {self._own_key}}
        for node in {**self._configured, **self._listed}.values():
            if not node.leaving and node.address:
                by_data_centre.setdefault(node.data_centre, set()).add(node.address)
        self._ranked = {
            data_centre: rank_nodes(addresses) for data_centre, addresses in by_data_centre.items()
        }
        self._notify()

    def _reachable(self, data_centre: str) -> tuple[str, ...]:
        ranked = self._ranked[data_centre]
        if not self._failed_at_s:
            return ranked
        return tuple(address for address in ranked if self._is_reachable(address))

    def _is_reachable(self, address: str) -> bool:
        if address == self._own_key:
            return True
        failed_at_s = self._failed_at_s.get(address)
        return failed_at_s is None or self._clock.now_s() - failed_at_s >= AVOID_S

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def create_node_table(name: str, own_node: Node, seeds: tuple[str, ...], clock: Clock) -> NodeTable:
    """Create a node table that contains only this process.

    Parameters
    ----------
    name : str
        Name of this process, which is ranked in place of its address while that is empty.
    own_node : Node
        This process.
    seeds : tuple of str
        Addresses of peers from the settings.
    """
    return NodeTable(name, own_node, seeds, clock)
