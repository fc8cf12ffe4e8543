"""Links between nodes in memory: with delays, partitions, broken links, paused and killed nodes."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup, TaskStatus

from guavawalk.connection.link import Link, LinkHandler, Network
from guavawalk.connection.messages import Hello, Message
from guavawalk.exception import LinkBroken, LinkRefused

__all__ = ["Fabric", "MemoryLink", "create_fabric"]

# Time after which connecting to a node in another partition fails.
CONNECT_TIMEOUT_S = 0.5


class InFlight(NamedTuple):
    """A message in transit, and the version in force at its sender."""

    due_s: float
    message: Message
    version: int


class Listener(NamedTuple):
    """A node that accepts links at an address."""

    node: str
    handler: LinkHandler
    tasks: TaskGroup
    version: Callable[[], int]


class Fabric:
    """The network between the nodes of a deployment in memory.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of nodes that do not reach each other; messages in transit wait.
    paused : set of str
        Nodes whose tasks neither send nor receive; they block in `wait_while_paused`.
    delay_s : callable
        Returns the one-way delay between two nodes.
    messages : int
        Number of messages sent.
    """

    def __init__(self, delay_s: Callable[[str, str], float]) -> None:
        self.delay_s = delay_s
        self.cuts: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.listeners: dict[str, Listener] = {}
        self.links: list[MemoryLink] = []
        self.messages = 0
        self._changed = anyio.Event()

    def network(self, node: str, version: Callable[[], int]) -> Network:
        """Return the network interface of one node; `version` returns its version in force."""
        return MemoryNetwork(self, node, version)

    def cut(self, a: str, b: str) -> None:
        """Partition two nodes."""
        self.cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()
        self.notify_change()

    def is_cut(self, a: str, b: str) -> bool:
        """Return whether two nodes are partitioned."""
        return frozenset((a, b)) in self.cuts

    def pause(self, node: str) -> None:
        """Block a node's tasks at their next send or receive."""
        self.paused.add(node)

    def resume(self, node: str) -> None:
        """Unblock a paused node."""
        self.paused.discard(node)
        self.notify_change()

    def break_links(self, a: str, b: str | None = None, lose: bool = True) -> None:
        """Break the links of a node, or those between two nodes.

        Messages in transit are lost if `lose` is set, and delivered otherwise.
        """
        for link in list(self.links):
            if link.local_node == a and b in (None, link.remote_node):
                link.break_end(lose)
                link.other.break_end(lose)

    def kill(self, node: str) -> None:
        """Break a node's links and remove its listeners; the caller has to cancel its tasks."""
        self.break_links(node)
        for address, listener in list(self.listeners.items()):
            if listener.node == node:
                del self.listeners[address]

    async def wait_while_paused(self, node: str) -> None:
        """Wait while a node is paused."""
        while node in self.paused:
            await self._changed.wait()

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change of partitions, pauses or delays."""
        self._changed.set()
        self._changed = anyio.Event()
        for link in self.links:
            link.notify()


class MemoryLink:
    """One end of a link in memory; `other` is the opposite end."""

    other: "MemoryLink"

    def __init__(
        self, fabric: Fabric, local_node: str, remote_node: str, version: Callable[[], int]
    ) -> None:
        self.peer = Hello()
        self.session_id = b""
        self.peer_version = 0
        self.local_node = local_node
        self.remote_node = remote_node
        self.broken = False
        self._fabric = fabric
        self._version = version
        self._inbox: deque[InFlight] = deque()
        self._event = anyio.Event()

    async def send(self, message: Message) -> None:
        """Send a message.

        Raises
        ------
        LinkBroken
            If the link is broken.
        """
        await anyio.lowlevel.checkpoint()
        await self._fabric.wait_while_paused(self.local_node)
        if self.broken:
            raise LinkBroken("broken in memory")
        due_s = anyio.current_time() + self._fabric.delay_s(self.local_node, self.remote_node)
        self._fabric.messages += 1
        self.other.deliver(InFlight(due_s, message, self._version()))

    async def receive(self) -> Message:
        """Wait for the next message.

        Raises
        ------
        LinkBroken
            If the link is broken and all messages were received.
        """
        while True:
            await self._fabric.wait_while_paused(self.local_node)
            wait_s = self._until_next_s()
            if wait_s is not None and wait_s <= 0:
                in_flight = self._inbox.popleft()
                self.peer_version = in_flight.version
                await anyio.lowlevel.checkpoint()
                return in_flight.message
            if self.broken and not self._inbox:
                raise LinkBroken("broken in memory")
            with anyio.move_on_after(wait_s):
                await self._event.wait()

    def is_open(self) -> bool:
        """Return whether the link is not broken."""
        return not self.broken

    async def aclose(self) -> None:
        """Break both ends; messages in transit still arrive."""
        self.break_end(False)
        self.other.break_end(False)

    def deliver(self, in_flight: InFlight) -> None:
        """Queue a message from the other end; a broken end drops it."""
        if not self.broken:
            self._inbox.append(in_flight)
            self.notify()

    def break_end(self, lose: bool) -> None:
        """Break this end, and drop its unread messages if `lose` is set."""
        self.broken = True
        if lose:
            self._inbox.clear()
        if self in self._fabric.links:
            self._fabric.links.remove(self)
        self.notify()

    def notify(self) -> None:
        """Wake the receiver."""
        self._event.set()
        self._event = anyio.Event()

    def _until_next_s(self) -> float | None:
        if not self._inbox or (
            self._fabric.is_cut(self.local_node, self.remote_node) and not self.broken
        ):
            return None
        return self._inbox[0].due_s - anyio.current_time()


class MemoryNetwork:
    """The network interface of one node."""

    def __init__(self, fabric: Fabric, node: str, version: Callable[[], int]) -> None:
        self._fabric = fabric
        self._node = node
        self._version = version

    async def connect(self, address: str) -> Link:
        """Open a link.

        Raises
        ------
        LinkRefused
            If no node listens at the address, the listening node is in another partition, or it
            ends while the link is opened.
        """
        fabric = self._fabric
        await fabric.wait_while_paused(self._node)
        listener = fabric.listeners.get(address)
        if listener is None:
            await anyio.lowlevel.checkpoint()
            raise LinkRefused(f"{address}: no node listens")
        if fabric.is_cut(self._node, listener.node):
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise LinkRefused(f"{address}: connect timed out")
        local_end = MemoryLink(fabric, self._node, listener.node, self._version)
        remote_end = MemoryLink(fabric, listener.node, self._node, listener.version)
        local_end.other, remote_end.other = remote_end, local_end
        fabric.links += (local_end, remote_end)
        await anyio.sleep(2 * fabric.delay_s(self._node, listener.node))
        if local_end.broken or fabric.listeners.get(address) is not listener:
            local_end.break_end(True)
            remote_end.break_end(True)
            raise LinkRefused(f"{address}: listener ended during connect")
        listener.tasks.start_soon(_serve_link, listener.handler, remote_end)
        return local_end

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Accept links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._fabric.listeners[address] = Listener(self._node, handler, tasks, self._version)
            task_status.started(address)
            await anyio.sleep_forever()


async def _serve_link(handler: LinkHandler, link: MemoryLink) -> None:
    try:
        await handler(link)
    finally:
        with anyio.CancelScope(shield=True):
            await link.aclose()


def create_fabric(delay_s: Callable[[str, str], float] = lambda a, b: 0.0005) -> Fabric:
    """Create a fabric without nodes; `delay_s` returns the one-way delay between two nodes."""
    return Fabric(delay_s)
