"""A process, as the administration API sees it."""

from typing import Protocol

from guavawalk.process.admin.access import AdminCaller
from guavawalk.process.admin.documents import (
    QueueDocument,
    StateDocument,
    TargetDocument,
    WasteDocument,
)
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.observations import Observations
from guavawalk.version.active import ActiveVersion

__all__ = ["AdminNode"]


class AdminNode(Protocol):
    """An entry or a sidecar.

    Attributes
    ----------
    role : str
        `entry` or `sidecar`.
    """

    role: str
    clock: Clock
    active: ActiveVersion
    log: EventLog
    observed: Observations

    def state(self) -> StateDocument:
        """Return what the process is and does now."""
        ...

    def targets(self) -> list[TargetDocument]:
        """Return what the process knows of targets."""
        ...

    def queues(self, caller: AdminCaller) -> list[QueueDocument]:
        """Return what waits and runs here, of the workspaces that the caller may see."""
        ...

    def waste(self, caller: AdminCaller) -> WasteDocument:
        """Return what prompt work was wasted here, as far as the caller may see it."""
        ...

    def stop(self) -> bool:
        """Take no more work; False if it took none already."""
        ...
