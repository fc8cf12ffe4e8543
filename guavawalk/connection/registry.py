"""What a gateway reads of the platform: routes and the targets' registrations."""

from typing import NamedTuple, Protocol

from guavawalk.version.registrations import Registration
from guavawalk.version.routes import RouteTable

__all__ = ["Registry", "RouteUpdate", "TargetUpdate"]


class RouteUpdate(NamedTuple):
    """What a read or a watch of the routes gave.

    Attributes
    ----------
    table : RouteTable, optional
        The newest that can be read; None if none was published, or none since.
    as_of : int
        Revision up to which this tells everything.
    problems : tuple of str
        What could not be decoded.
    """

    table: RouteTable | None
    as_of: int
    problems: tuple[str, ...] = ()


class TargetUpdate(NamedTuple):
    """What a read or a watch of the registrations gave.

    Attributes
    ----------
    last_change : int
        Highest revision among what is told; 0 if nothing is.
    """

    registered: tuple[Registration, ...]
    removed: tuple[str, ...]
    as_of: int
    last_change: int = 0
    problems: tuple[str, ...] = ()


class Registry(Protocol):
    """The registry; `PlatformUnavailable` where it gives no answer."""

    async def read_routes(self) -> RouteUpdate:
        """Return the routes published last."""
        ...

    async def watch_routes(self, after: int, wait_s: float) -> RouteUpdate:
        """Wait for routes published after a revision; `HistoryGone` if that is too old."""
        ...

    async def read_targets(self) -> TargetUpdate:
        """Return all registrations."""
        ...

    async def watch_targets(self, after: int, wait_s: float) -> TargetUpdate:
        """Wait for registrations after a revision; `HistoryGone` if that is too old."""
        ...

    async def aclose(self) -> None:
        """Close the connections; the next call opens new ones."""
        ...
