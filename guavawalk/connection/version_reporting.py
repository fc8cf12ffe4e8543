"""A network whose links report the configuration version that each message carries."""

from collections.abc import Callable

from anyio.abc import TaskStatus

from guavawalk.connection.link import Link, LinkHandler, Network
from guavawalk.connection.messages import Hello, Message

__all__ = ["create_version_reporting_network"]

VersionHeard = Callable[[int, str], None]


class VersionReportingLink:
    """A link that reports what it hears."""

    def __init__(self, link: Link, heard: VersionHeard) -> None:
        self.peer = Hello()
        self.session_id = b""
        self._link = link
        self._heard = heard

    @property
    def peer_version(self) -> int:
        """Version on the last message received."""
        return self._link.peer_version

    async def send(self, message: Message) -> None:
        """Send a message."""
        await self._link.send(message)

    async def receive(self) -> Message:
        """Receive a message and report its version, once the peer is known."""
        message = await self._link.receive()
        if self.peer.peer_address:
            self._heard(self._link.peer_version, self.peer.peer_address)
        return message

    def is_open(self) -> bool:
        """Ask the link."""
        return self._link.is_open()

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()


class VersionReportingNetwork:
    """A network of such links over another network."""

    def __init__(self, network: Network, heard: VersionHeard) -> None:
        self._network = network
        self._heard = heard

    async def connect(self, address: str) -> Link:
        """Open a link."""
        return VersionReportingLink(await self._network.connect(address), self._heard)

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Take links."""

        async def serve_link(link: Link) -> None:
            await handler(VersionReportingLink(link, self._heard))

        await self._network.serve(address, serve_link, task_status=task_status)


def create_version_reporting_network(network: Network, heard: VersionHeard) -> Network:
    """Create a network that reports versions.

    Parameters
    ----------
    network : Network
        Where the links come from.
    heard : callable
        Takes a version and the address at which its holder takes links.
    """
    return VersionReportingNetwork(network, heard)
