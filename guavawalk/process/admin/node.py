"""Interface of a process to the administration API."""

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
    """An entry or a sidecar, as the operations of the administration API use it.

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
        """Return the identity, version and load of the process."""
        ...

    def targets(self) -> list[TargetDocument]:
        """Return what the process knows of its targets; an entry knows none before a version."""
        ...

    def queues(self, caller: AdminCaller) -> list[QueueDocument]:
        """Return queued and running attempts of the workspaces that the caller may see."""
        ...

    def waste(self, caller: AdminCaller) -> WasteDocument:
        """Return the prompt tokens wasted here, of the workspaces that the caller may see."""
        ...

    def stop(self) -> bool:
        """Refuse new work; return False if the process already did."""
        ...
