"""Interface of a process to the administration API."""

from typing import Protocol

from guavawalk.process.admin.access import AdminCaller
from guavawalk.process.admin.documents import (
    QueueDocument,
    StateDocument,
    SuspectDocument,
    TargetDocument,
    WasteDocument,
)
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.observations import Observations
from guavawalk.version.active import ActiveVersion

__all__ = ["AdminNode", "CommonNode"]


class CommonNode(Protocol):
    """A process of any kind, as the operations of the administration API use it.

    Attributes
    ----------
    role : str
        `entry`, `sidecar` or `gateway`.
    """

    role: str
    clock: Clock
    log: EventLog

    def state(self) -> StateDocument:
        """Return the identity, version and load of the process."""
        ...

    def targets(self) -> list[TargetDocument]:
        """Return what the process knows of its targets; an entry knows none before a version."""
        ...

    def suspects(self) -> list[SuspectDocument]:
        """Return what was in flight when targets ended, the last updated first."""
        ...

    def clear_suspect(self, kind: str, key: int) -> bool:
        """Clear a suspect of a kind; return False if it was none here."""
        ...


class AdminNode(CommonNode, Protocol):
    """An entry or a sidecar, which have more operations."""

    active: ActiveVersion
    observed: Observations

    def queues(self, caller: AdminCaller) -> list[QueueDocument]:
        """Return queued and running attempts of the workspaces that the caller may see."""
        ...

    def waste(self, caller: AdminCaller) -> WasteDocument:
        """Return the prompt tokens wasted here, of the workspaces that the caller may see."""
        ...

    def stop(self) -> bool:
        """Refuse new work; return False if the process already did."""
        ...
