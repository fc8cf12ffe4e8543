"""Network whose links report the configuration version carried by each message they receive."""

from collections.abc import Callable

from anyio.abc import TaskStatus

from guavawalk.connection.link import Link, LinkHandler, Network
from guavawalk.connection.messages import Hello, Message

__all__ = ["create_version_reporting_network"]

VersionListener = Callable[[int, str], None]


class VersionReportingLink:
    """A link that reports the version carried by each message that it receives."""

    def __init__(self, link: Link, on_version: VersionListener) -> None:
        self.peer = Hello()
        self._link = link
        self._on_version = on_version

    @property
    def session_id(self) -> bytes:
        """Unique name of the link; the link limits what it receives until it is set."""
        return self._link.session_id

    @session_id.setter
    def session_id(self, session_id: bytes) -> None:
        self._link.session_id = session_id

    @property
    def peer_version(self) -> int:
        """Configuration version that the last message received carried."""
        return self._link.peer_version

    async def send(self, message: Message) -> None:
        """Send a message."""
        await self._link.send(message)

    async def receive(self) -> Message:
        """Receive a message and report its version.

        Nothing is reported before the handshake, or if the peer accepts no links from peers.
        """
        message = await self._link.receive()
        if self.peer.peer_address:
            self._on_version(self._link.peer_version, self.peer.peer_address)
        return message

    def is_open(self) -> bool:
        """Return whether the link is open."""
        return self._link.is_open()

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()


class VersionReportingNetwork:
    """Wraps the links of another network in `VersionReportingLink`."""

    def __init__(self, network: Network, on_version: VersionListener) -> None:
        self._network = network
        self._on_version = on_version

    async def connect(self, address: str) -> Link:
        """Open a link."""
        return VersionReportingLink(await self._network.connect(address), self._on_version)

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Accept links."""

        async def serve_link(link: Link) -> None:
            await handler(VersionReportingLink(link, self._on_version))

        await self._network.serve(address, serve_link, task_status=task_status)


def create_version_reporting_network(network: Network, on_version: VersionListener) -> Network:
    """Create a network that reports the versions carried by messages.

    Parameters
    ----------
    network : Network
        Network whose links are wrapped.
    on_version : callable
        Called for each message received, with the version that it carries and the `IP:port` at
        which its sender accepts links from peers.
    """
    return VersionReportingNetwork(network, on_version)
