"""State of one call that outlives its single attempts."""

from collections.abc import Sequence
from typing import Generic, NamedTuple, TypeVar

from guavawalk.connection.http_encoding import Header
from guavawalk.request.event_stream import EventStream

__all__ = ["FailedAnswer", "Progress"]

# Type of the exchanges with targets.
E = TypeVar("E")


class FailedAnswer(NamedTuple):
    """A target's error answer; the caller gets it if no later attempt succeeds."""

    status: int
    headers: Sequence[Header]
    body: bytes


class Progress(Generic[E]):
    """State of a call over all its attempts.

    Attributes
    ----------
    sent_count : int
        Number of targets that the call was sent to. An attempt at an address where another target
        answered doesn't count.
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
    successor : E, optional
        Exchange with another target that has taken the call, which goes on there; None if there is
        none.
    end_reason : str
        Name and text of the error that ended the call, for the log; empty if there is none.
    """

    def __init__(self) -> None:
        self.sent_count = 0
        self.tried_ids: list[str] = []
        self.stream = EventStream()
        self.failure: FailedAnswer | None = None
        self.first_event_s = 0.0
        self.last_event_at_s = 0.0
        self.longest_pause_s = 0.0
        self.end_reason = ""
        self.successor: E | None = None
        # Number of targets that have got the call and did not state that they did not run it.
        self._possible_runs = 0

    @property
    def has_run(self) -> bool:
        """Whether the call may have run at a target.

        False while each target that it was sent to has stated that it did not run the call.
        """
        return self._possible_runs > 0

    def record_sent(self) -> None:
        """Record that the call is sent to another target."""
        self.sent_count += 1
        self._possible_runs += 1

    def record_not_run(self, is_counted: bool) -> None:
        """Record that a target stated that it did not run the call.

        Parameters
        ----------
        is_counted : bool
            Whether the target counts as one that the call was sent to.
        """
        self._possible_runs -= 1
        if not is_counted:
            self.sent_count -= 1

    def pop_successor(self) -> E | None:
        """Remove and return the exchange with which the call goes on; None if there is none."""
        successor, self.successor = self.successor, None
        return successor

    def record_events(self, now_s: float) -> None:
        """Record that events were received at `now_s`."""
        if self.last_event_at_s:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_event_at_s)
        self.last_event_at_s = now_s
