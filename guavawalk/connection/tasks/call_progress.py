"""State of one call that outlives its single attempts."""

from collections.abc import Sequence
from typing import NamedTuple

from guavawalk.connection.http_encoding import Header
from guavawalk.process.gateway.dispatch import Reservation
from guavawalk.request.event_stream import EventStream

__all__ = ["FailedAnswer", "Progress"]


class FailedAnswer(NamedTuple):
    """A target's error answer; the caller gets it if no later attempt succeeds."""

    status: int
    headers: Sequence[Header]
    body: bytes


class Progress:
    """State of a call over all its attempts.

    Attributes
    ----------
    sent_count : int
        Number of targets that the call was sent to. An attempt at an address where another target
        answered doesn't count.
    has_run : bool
        Whether the call may have run at one of them; False while each of them has stated that it
        did not run the call.
    tried_ids : list of str
        Ids of the targets that were attempted; the call is not sent to them again.
    stream : EventStream
        Splits the answer into events and counts them, where it is a stream.
    failure : FailedAnswer, optional
        Last error answer of a target; None if there is none.
    first_event_s : float
        Time from the call's arrival to the first event, or to the complete answer where it is not a
        stream, in seconds; 0 before that.
    last_event_at_s : float
        When events were last received, on the process's clock in seconds; 0 before the first.
    longest_pause_s : float
        Longest time between two receipts of events, in seconds; 0 before the second.
    next_reservation : Reservation, optional
        Slot for the next attempt, reserved before the present attempt was ended; None if there is
        none.
    end_reason : str
        Name and text of the error that ended the call, for the log; empty if there is none.
    """

    def __init__(self) -> None:
        self.sent_count = 0
        self.has_run = False
        self.tried_ids: list[str] = []
        self.stream = EventStream()
        self.failure: FailedAnswer | None = None
        self.first_event_s = 0.0
        self.last_event_at_s = 0.0
        self.longest_pause_s = 0.0
        self.next_reservation: Reservation | None = None
        self.end_reason = ""

    def pop_next_reservation(self) -> Reservation | None:
        """Remove and return the reservation for the next attempt; None if there is none."""
        reservation, self.next_reservation = self.next_reservation, None
        return reservation

    def record_events(self, now_s: float) -> None:
        """Record that events were received at `now_s`."""
        if self.last_event_at_s:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_event_at_s)
        self.last_event_at_s = now_s
