"""Why a sidecar's target takes no new work, and when a leaving one has nothing left to do."""

from enum import Enum

import anyio

__all__ = ["LeaveReason", "LeaveTracker", "create_leave_tracker"]


class LeaveReason(Enum):
    """Who wants the target to leave."""

    SHUTDOWN = "shutdown"
    OPERATOR = "operator"
    CONFIGURATION = "configuration"
    INSTANCE_LIST = "instance list"


class LeaveTracker:
    """The reasons to leave that hold now, and the answers that their callers still await.

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
        """Whether new work is refused."""
        return bool(self.reasons)

    def record_started(self, attempt_id: str) -> None:
        """Count an attempt in."""
        self._live.add(attempt_id)

    def record_ended(self, attempt_id: str) -> None:
        """Note that an attempt has ended."""
        self._live.discard(attempt_id)
        if attempt_id in self._abandoned:
            self._abandoned.remove(attempt_id)
        else:
            self._unreported.add(attempt_id)
        self._wake()

    def record_abandoned(self, attempt_id: str) -> None:
        """Note that nobody awaits the end of an attempt, which may still be live."""
        if attempt_id in self._live:
            self._abandoned.add(attempt_id)
        self.record_reported(attempt_id)

    def record_reported(self, attempt_id: str) -> None:
        """Note that an entry has been told of the end, or will never ask."""
        self._unreported.discard(attempt_id)
        self._wake()

    @property
    def unreported(self) -> int:
        """Ends that no entry has been told of."""
        return len(self._unreported)

    async def wait_ended(self) -> None:
        """Wait until no attempt is live."""
        while self._live:
            await self._changed.wait()

    async def wait_reported(self) -> None:
        """Wait until every end has been told."""
        while self._unreported:
            await self._changed.wait()

    def _wake(self) -> None:
        if not self._live or not self._unreported:
            self._changed.set()
            self._changed = anyio.Event()


def create_leave_tracker() -> LeaveTracker:
    """Create a leave_tracker for which there is no reason yet."""
    return LeaveTracker()
