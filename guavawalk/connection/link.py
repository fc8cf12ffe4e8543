"""A connection between two processes of the system, and the network that makes it."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from anyio.abc import TaskStatus

from guavawalk.connection.messages import Hello, Message

__all__ = ["HEARTBEAT_S", "SILENCE_LIMIT_S", "Link", "LinkHandler", "Network"]

HEARTBEAT_S = 2.0
SILENCE_LIMIT_S = 3 * HEARTBEAT_S


class Link(Protocol):
    """An ordered stream of messages that may break at any moment.

    Attributes
    ----------
    peer : Hello
        What the other end said of itself; set by the handshake.
    session_id : bytes
        Names the link at both ends, and no other link; set by the handshake.
    peer_version : int
        Configuration version on the last message received.
    """

    peer: Hello
    session_id: bytes
    peer_version: int

    async def send(self, message: Message) -> None:
        """Send a message; `LinkBroken` if the link is down."""
        ...

    async def receive(self) -> Message:
        """Return the next message; `LinkBroken` if the link is down."""
        ...

    def is_open(self) -> bool:
        """Say whether the other end is still there, as far as this end has been told."""
        ...

    async def aclose(self) -> None:
        """Close; the other end's next `receive` raises `LinkBroken`."""
        ...


LinkHandler = Callable[[Link], Awaitable[None]]


class Network(Protocol):
    """Where links come from."""

    async def connect(self, address: str) -> Link:
        """Open a link to `IP:port`; `LinkRefused` if there is none to be had."""
        ...

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Run one task of `handler` for each link; report the bound address as started."""
        ...
