"""Interfaces of links, the connections between guavawalk processes, and of the network for them."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from anyio.abc import TaskStatus

from guavawalk.connection.messages import Hello, Message

__all__ = ["HEARTBEAT_S", "SILENCE_LIMIT_S", "Link", "LinkHandler", "Network"]

# Interval, in seconds, at which a sidecar sends heartbeats while an attempt makes no progress.
HEARTBEAT_S = 2.0
# Longest time without a message from the sidecar, in seconds; the entry then breaks the link.
SILENCE_LIMIT_S = 3 * HEARTBEAT_S


class Link(Protocol):
    """An ordered, bidirectional stream of messages, which may break at any time.

    Attributes
    ----------
    peer : Hello
        Identity of the other end; set by the handshake, with empty fields before.
    session_id : bytes
        Unique name of the link, the same at both ends; set by the handshake, empty before.
    peer_version : int
        Configuration version that the last message received carried; 0 before the first.
    """

    peer: Hello
    session_id: bytes
    peer_version: int

    async def send(self, message: Message) -> None:
        """Send a message; raise `LinkBroken` if the link is broken."""
        ...

    async def receive(self) -> Message:
        """Return the next message; raise `LinkBroken` if the link is broken."""
        ...

    def is_open(self) -> bool:
        """Return whether the link is open, as far as this end has been notified."""
        ...

    async def aclose(self) -> None:
        """Close the link; the next `receive` of the other end raises `LinkBroken`."""
        ...


LinkHandler = Callable[[Link], Awaitable[None]]


class Network(Protocol):
    """Opens links and accepts them."""

    async def connect(self, address: str) -> Link:
        """Open a link to `IP:port`; raise `LinkRefused` if none can be opened."""
        ...

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Accept links at an address and run `handler` in a task for each.

        Parameters
        ----------
        address : str
            `IP:port` to listen at; port 0 for any free one.
        task_status : TaskStatus
            Started with the bound address.
        """
        ...
