"""Records the last offer read from each link, so that the outcome of a lost offer is known.

An offer is sent once, on one link. A request for its outcome comes on another link and names the
first one. The first link is closed here before the answer is sent, so nothing more is read from it
and the answer depends on no clock or time-out.
"""

from collections import OrderedDict
from typing import NamedTuple

import anyio

from guavawalk.codes import ResultCode

__all__ = ["LastOffer", "LinkTable", "create_link_table"]


class LastOffer(NamedTuple):
    """The last offer read from a link.

    Attributes
    ----------
    offered_id : str
        Attempt id of the offer; empty before the first one.
    attempt_id : str
        Id of the attempt that serves the offer; differs from `offered_id` if the ticket of the
        offer was used before.
    refused : ResultCode or None
        The code if it was refused.
    """

    offered_id: str = ""
    attempt_id: str = ""
    refused: ResultCode | None = None


class OpenLink:
    """A link that is being served."""

    def __init__(self, scope: anyio.CancelScope) -> None:
        self.scope = scope
        self.last_offer = LastOffer()


class LinkTable:
    """Open links, and the last offers of recently closed ones.

    Notes
    -----
    The table of closed links is bounded; the oldest is forgotten first, and then the outcome of
    its offer is unknown. Forgetting never lets an offer run again.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._open: dict[bytes, OpenLink] = {}
        self._closed: OrderedDict[bytes, LastOffer] = OrderedDict()

    def open(self, session_id: bytes, scope: anyio.CancelScope) -> None:
        """Add a link after its handshake, with the cancel scope of its task."""
        self._open[session_id] = OpenLink(scope)

    def is_open(self, session_id: bytes) -> bool:
        """Return whether offers from a link may still be admitted."""
        return session_id in self._open

    def record(self, session_id: bytes, last_offer: LastOffer) -> None:
        """Record the last offer read from an open link."""
        self._open[session_id].last_offer = last_offer

    def close(self, session_id: bytes) -> None:
        """Stop admitting offers from a link, if it is open, and keep its last offer."""
        link = self._open.pop(session_id, None)
        if link is None:
            return
        self._closed[session_id] = link.last_offer
        while len(self._closed) > self._capacity:
            self._closed.popitem(last=False)

    def close_lost(self, session_id: bytes) -> LastOffer | None:
        """Close a link that its entry has lost; return its last offer, None if it is unknown."""
        link = self._open.get(session_id)
        if link is not None:
            self.close(session_id)
            link.scope.cancel()
        return self._closed.get(session_id)

    def __len__(self) -> int:
        """Return the number of open and closed links."""
        return len(self._open) + len(self._closed)


def create_link_table(capacity: int) -> LinkTable:
    """Create a table that keeps the last offers of `capacity` closed links."""
    return LinkTable(capacity)
