"""How far one call has come, over all its attempts."""

from collections.abc import Sequence
from typing import NamedTuple

from guavawalk.connection.http_encoding import Header
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.request.event_stream import EventStream

__all__ = ["FailedAnswer", "Progress"]


class FailedAnswer(NamedTuple):
    """A failure that a target answered with, for the caller if nothing better comes."""

    status: int
    headers: Sequence[Header]
    body: bytes


class Progress:
    """How far a call has come over all its attempts.

    Attributes
    ----------
    sent : int
        Targets that it was sent to, the misdirected left out.
    has_run : bool
        Whether it may have run at one of them.
    tried_ids : list of str
        Targets that are not to be asked again.
    first_event_s : float
        Time until the first event or the whole answer; 0 before it.
    last_event_at_s : float
        When events came last; 0 before any.
    longest_pause_s : float
        Longest time between two events.
    next_reservation : Reservation, optional
        Place for the next attempt, where one was taken before this one was left.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.has_run = False
        self.tried_ids: list[str] = []
        self.stream = EventStream()
        self.failure: FailedAnswer | None = None
        self.first_event_s = 0.0
        self.last_event_at_s = 0.0
        self.longest_pause_s = 0.0
        self.next_reservation: Reservation | None = None

    def pop_next_reservation(self) -> Reservation | None:
        """Return the place that was taken for the next attempt, once."""
        reservation, self.next_reservation = self.next_reservation, None
        return reservation

    def record_events(self, now_s: float) -> None:
        """Note that events have come."""
        if self.last_event_at_s:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_event_at_s)
        self.last_event_at_s = now_s
