"""Tracks why a target is leaving, and the results that its sidecar must send before it exits."""

from enum import Enum

import anyio

__all__ = ["LeaveReason", "LeaveTracker", "create_leave_tracker"]


class LeaveReason(Enum):
    """Source of a request to leave."""

    SHUTDOWN = "shutdown"
    OPERATOR = "operator"
    CONFIGURATION = "configuration"
    INSTANCE_LIST = "instance list"


class LeaveTracker:
    """Reasons to leave, and attempts whose end an entry still has to receive.

    Attributes
    ----------
    reasons : set of LeaveReason
        The target is leaving while this is not empty.

    Notes
    -----
    An attempt that has ended is unreported until its end has been sent to an entry. A sidecar that
    exits before that would leave its caller with an unknown outcome.
    """

    def __init__(self) -> None:
        self.reasons: set[LeaveReason] = set()
        self._live: set[str] = set()
        self._unreported: set[str] = set()
        self._abandoned: set[str] = set()
        self._changed = anyio.Event()

    @property
    def leaving(self) -> bool:
        """Whether new offers are refused."""
        return bool(self.reasons)

    def record_started(self, attempt_id: str) -> None:
        """Record a new live attempt."""
        self._live.add(attempt_id)

    def record_ended(self, attempt_id: str) -> None:
        """Record that an attempt has ended; it is unreported unless it was abandoned."""
        self._live.discard(attempt_id)
        if attempt_id in self._abandoned:
            self._abandoned.remove(attempt_id)
        else:
            self._unreported.add(attempt_id)
        self._wake()

    def record_abandoned(self, attempt_id: str) -> None:
        """Record that no entry waits for the end of an attempt, which may still be live."""
        if attempt_id in self._live:
            self._abandoned.add(attempt_id)
        self.record_reported(attempt_id)

    def record_reported(self, attempt_id: str) -> None:
        """Record that the end of an attempt was sent to an entry, or will never be requested."""
        self._unreported.discard(attempt_id)
        self._wake()

    @property
    def unreported(self) -> int:
        """Number of ended attempts whose end has not been sent to an entry."""
        return len(self._unreported)

    async def wait_ended(self) -> None:
        """Wait until no attempt is live."""
        while self._live:
            await self._changed.wait()

    async def wait_reported(self) -> None:
        """Wait until no end is unreported."""
        while self._unreported:
            await self._changed.wait()

    def _wake(self) -> None:
        if not self._live or not self._unreported:
            self._changed.set()
            self._changed = anyio.Event()


def create_leave_tracker() -> LeaveTracker:
    """Create a tracker without reasons to leave and without attempts."""
    return LeaveTracker()
