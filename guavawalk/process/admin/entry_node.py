"""Presents an entry to the administration API."""

import math

from guavawalk.process.admin.access import AdminCaller
from guavawalk.process.admin.documents import (
    QueueDocument,
    StateDocument,
    SuspectDocument,
    TargetDocument,
    WasteDocument,
)
from guavawalk.process.admin.node import AdminNode
from guavawalk.process.admin.suspects import REQUEST, describe_requests
from guavawalk.process.entry.state import Entry
from guavawalk.process.observe.memory import resident_bytes
from guavawalk.request.target_view import TargetView
from guavawalk.version.types import Target

__all__ = ["create_entry_node"]


# Rank of the most urgent tier, for which `usable` is reported. The number of cached tokens is not
# reported, so the view is read with 0.
TOP_RANK = 0


class EntryNode:
    """State and actions of an entry, for operators."""

    role = "entry"

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._started_s = entry.clock.now_s()
        self.clock = entry.clock
        self.active = entry.active
        self.log = entry.log
        self.observed = entry.observed

    def state(self) -> StateDocument:
        """Return the identity, version and load of the entry."""
        entry = self._entry
        return StateDocument(
            role=self.role,
            instance=entry.identity.instance,
            incarnation=f"{entry.identity.incarnation:x}",
            version=entry.active.stamp.version,
            digest=entry.active.stamp.digest,
            stopping=entry.request_tracker.draining,
            running=entry.request_tracker.running,
            queued=0,
            window=None,
            records=None,
            uptime_s=round(entry.clock.now_s() - self._started_s, 1),
            resident_bytes=resident_bytes(),
            log_level=entry.log.level,
        )

    def targets(self) -> list[TargetDocument]:
        """Return what the entry knows of the targets in the version in force; empty without one."""
        configuration = self.active.configuration
        targets = sorted(configuration.targets.values()) if configuration else ()
        return [
            _target(target, self._entry.view.target_view(target.name, TOP_RANK, 0))
            for target in targets
        ]

    def suspects(self) -> list[SuspectDocument]:
        """Return the requests that were in flight when targets ended, the last updated first."""
        return describe_requests(self._entry.suspects, self.clock)

    def clear_suspect(self, kind: str, key: int) -> bool:
        """Clear a request at this process; return False if it was no suspect here."""
        return kind == REQUEST and self._entry.suspects.record_completed(key)

    def queues(self, caller: AdminCaller) -> list[QueueDocument]:
        """Return an empty list: requests are queued at sidecars, not at entries."""
        return []

    def waste(self, caller: AdminCaller) -> WasteDocument:
        """Return zero waste: prompts are processed at the sidecars' targets."""
        return WasteDocument(computed_tokens=0, rest_tokens=0, causes=[], workspaces=[])

    def stop(self) -> bool:
        """Refuse new requests; return False if the entry already did."""
        changed = not self._entry.request_tracker.draining
        self._entry.request_tracker.draining = True
        return changed


def _target(target: Target, view: TargetView) -> TargetDocument:
    has_report = math.isfinite(view.report_age_s)
    return TargetDocument(
        name=target.name,
        kind=target.kind,
        data_centre=target.data_centre,
        leaving=target.leaving or view.load.leaving,
        usable=view.usable,
        running=view.load.running,
        window=view.load.window,
        queued=sum(view.load.queued_by_rank),
        own_running=view.own_running,
        report_age_s=round(view.report_age_s, 3) if has_report else None,
    )


def create_entry_node(entry: Entry) -> AdminNode:
    """Create the administration view of an entry."""
    return EntryNode(entry)
