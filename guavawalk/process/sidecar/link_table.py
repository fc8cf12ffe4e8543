"""What each link from an entry last carried, so that a lost offer is judged without clocks.

An offer is sent once, on one link. Whoever asks about it on another link names the first one;
that link is closed here before the answer is given, so nothing more is read from it.
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
    attempt_id : str
        The attempt that answers it; another than offered where the ticket was used before.
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
    """Open links, and the last last_offer of those closed lately.

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
        """Note a greeted link and the scope of its task."""
        self._open[session_id] = OpenLink(scope)

    def is_open(self, session_id: bytes) -> bool:
        """Say whether offers of a link may still be taken."""
        return session_id in self._open

    def record(self, session_id: bytes, last_offer: LastOffer) -> None:
        """Note the offer that a link carries now."""
        self._open[session_id].last_offer = last_offer

    def close(self, session_id: bytes) -> None:
        """Take no more offers of a link."""
        link = self._open.pop(session_id, None)
        if link is None:
            return
        self._closed[session_id] = link.last_offer
        while len(self._closed) > self._capacity:
            self._closed.popitem(last=False)

    def close_lost(self, session_id: bytes) -> LastOffer | None:
        """Close a link for whoever lost its other end; return its last last_offer if known."""
        link = self._open.get(session_id)
        if link is not None:
            self.close(session_id)
            link.scope.cancel()
        return self._closed.get(session_id)

    def __len__(self) -> int:
        """Count the links."""
        return len(self._open) + len(self._closed)


def create_link_table(capacity: int) -> LinkTable:
    """Create a ledger that remembers `capacity` closed links."""
    return LinkTable(capacity)
