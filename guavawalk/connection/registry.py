"""Interface through which a gateway reads routes and registrations of targets from the registry."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from guavawalk.version.registrations import Registration
from guavawalk.version.routes import RouteTable

__all__ = ["WATCH_MARGIN_S", "Registry", "RouteUpdate", "TargetUpdate"]

# Time after the end of a watch's waiting time within which its answer arrives, in seconds: a slow
# registry takes up to 0.4 s. After it the answer counts as lost.
WATCH_MARGIN_S = 0.7


class RouteUpdate(NamedTuple):
    """Result of a read or a watch of what the operator writes: routes and evacuations.

    Attributes
    ----------
    table : RouteTable, optional
        The newest valid routes; None if a read finds none, or a watch none that are newer.
    as_of : int
        Revision up to which the update is complete; the next watch starts after it.
    problems : tuple of str
        A text for each value that could not be decoded.
    era : int
        Era of the registry that gave the update; 0 if it states none.
    evacuated : tuple of str
        Data centres whose evacuation has begun; after a read all that are evacuated.
    lifted : tuple of str
        Data centres whose evacuation has ended.
    evacuation_problems : tuple of str
        A text for each evacuation whose name can't be that of a data centre.
    """

    table: RouteTable | None
    as_of: int
    problems: tuple[str, ...] = ()
    era: int = 0
    evacuated: tuple[str, ...] = ()
    lifted: tuple[str, ...] = ()
    evacuation_problems: tuple[str, ...] = ()


class TargetUpdate(NamedTuple):
    """Result of a read or a watch of the registrations.

    Attributes
    ----------
    registered : tuple of Registration
        New and changed registrations; after a read all of them.
    removed : tuple of str
        Ids of targets whose registrations are gone.
    as_of : int
        Revision up to which the update is complete; the next watch starts after it.
    last_change : int
        Highest revision of a change in the update; 0 if it has none. A read lists no removals, so
        registrations may have been removed after it.
    problems : tuple of str
        A text for each registration that could not be decoded.
    era : int
        Era of the registry that gave the update; 0 if it states none.
    item_revisions : dict of str to int
        Revision of the last change of each entry, by target id; invalid entries are included.
    digest : int
        Digest of all entries at `as_of`; 0 if unknown.
    """

    registered: tuple[Registration, ...]
    removed: tuple[str, ...]
    as_of: int
    last_change: int = 0
    problems: tuple[str, ...] = ()
    era: int = 0
    item_revisions: dict[str, int] = {}
    digest: int = 0

    def entries_after(self, before: Mapping[str, int]) -> dict[str, int]:
        """Return the revisions of all entries after the update, by target id; 0 if unknown.

        Parameters
        ----------
        before : mapping of str to int
            Revisions of the entries before it; empty for a read.
        """
        removed = frozenset(self.removed)
        entries = {key: revision for key, revision in before.items() if key not in removed}
        entries.update((registration.target_id, 0) for registration in self.registered)
        return entries | self.item_revisions


class Registry(Protocol):
    """The registry; reads and watches raise `PlatformUnavailable` if it gives no usable answer."""

    async def read_routes(self) -> RouteUpdate:
        """Return the routes that were published last, and the evacuations.

        Raises
        ------
        HistoryGone
            If the registry entered a new era during the read.
        """
        ...

    async def watch_routes(self, after: int, wait_s: float) -> RouteUpdate:
        """Wait up to `wait_s` for routes published or evacuations changed after a revision.

        The answer counts as lost if it has not arrived `WATCH_MARGIN_S` later.

        Raises
        ------
        HistoryGone
            If the registry no longer holds the changes since that revision.
        """
        ...

    async def read_targets(self) -> TargetUpdate:
        """Return all registrations.

        Raises
        ------
        HistoryGone
            If the registry entered a new era during the read.
        """
        ...

    async def watch_targets(self, after: int, wait_s: float) -> TargetUpdate:
        """Wait up to `wait_s` for changes of registrations after a revision.

        The answer counts as lost if it has not arrived `WATCH_MARGIN_S` later.

        Raises
        ------
        HistoryGone
            If the registry no longer holds the changes since that revision.
        """
        ...

    async def aclose(self) -> None:
        """Close the connections; the next call opens new ones."""
        ...
