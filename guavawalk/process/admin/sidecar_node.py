"""Presents a sidecar to the administration API."""

from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.process.admin.access import AdminCaller
from guavawalk.process.admin.documents import (
    QueueDocument,
    StateDocument,
    SuspectDocument,
    TargetDocument,
    WasteCauseDocument,
    WasteDocument,
    WorkspaceWasteDocument,
)
from guavawalk.process.admin.node import AdminNode
from guavawalk.process.admin.suspects import REQUEST, describe_requests
from guavawalk.process.observe.memory import resident_bytes
from guavawalk.process.sidecar.admission import start_leaving
from guavawalk.process.sidecar.observed import tier_name
from guavawalk.process.sidecar.state import Sidecar
from guavawalk.request.attempt import Attempt, AttemptState

__all__ = ["create_sidecar_node"]


class QueueKey(NamedTuple):
    """Workspace and tier by which attempts are counted."""

    workspace: str
    tier: str


class SidecarNode:
    """State and actions of a sidecar, for operators."""

    role = "sidecar"

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar
        self._started_s = sidecar.clock.now_s()
        self.clock = sidecar.clock
        self.active = sidecar.active
        self.log = sidecar.log
        self.observed = sidecar.observed

    def state(self) -> StateDocument:
        """Return the identity, version and load of the sidecar."""
        sidecar = self._sidecar
        return StateDocument(
            role=self.role,
            instance=sidecar.identity.instance,
            incarnation=f"{sidecar.identity.incarnation:x}",
            version=sidecar.active.stamp.version,
            digest=sidecar.active.stamp.digest,
            stopping=sidecar.attempts.leaving,
            running=sidecar.attempts.running,
            queued=len(sidecar.queue),
            window=sidecar.window.size,
            records=len(sidecar.records),
            uptime_s=round(sidecar.clock.now_s() - self._started_s, 1),
            resident_bytes=resident_bytes(),
            log_level=sidecar.log.level,
        )

    def targets(self) -> list[TargetDocument]:
        """Return the one target of the sidecar.

        Its kind and data centre are empty while the configuration does not list it.
        """
        sidecar = self._sidecar
        configuration = sidecar.active.configuration
        target = configuration.targets.get(sidecar.target_name) if configuration else None
        leaving = sidecar.attempts.leaving or (target is not None and target.leaving)
        document = TargetDocument(
            name=sidecar.target_name,
            kind=target.kind if target else "",
            data_centre=target.data_centre if target else "",
            leaving=leaving,
            usable=not leaving,
            running=sidecar.attempts.running,
            window=sidecar.window.size,
            queued=len(sidecar.queue),
            own_running=sidecar.attempts.running,
            report_age_s=0.0,
        )
        return [document]

    def suspects(self) -> list[SuspectDocument]:
        """Return the requests that were in flight when targets ended, the last updated first."""
        return describe_requests(self._sidecar.suspects, self.clock)

    def clear_suspect(self, kind: str, key: int) -> bool:
        """Clear a request at this process; return False if it was no suspect here."""
        return kind == REQUEST and self._sidecar.suspects.record_completed(key)

    def queues(self, caller: AdminCaller) -> list[QueueDocument]:
        """Return queued and running attempts by workspace and tier."""
        live = self._sidecar.attempts.live.values()
        visible = [attempt for attempt in live if caller.may_see(attempt.offer.workspace)]
        groups: dict[QueueKey, list[Attempt]] = {}
        for attempt in visible:
            tier = tier_name(self.active, attempt.offer.tier_rank)
            groups.setdefault(QueueKey(attempt.offer.workspace, tier), []).append(attempt)
        now_s = self.clock.now_s()
        return [_queue(key, groups[key], now_s) for key in sorted(groups)]

    def waste(self, caller: AdminCaller) -> WasteDocument:
        """Return the prompt tokens wasted, by cause and by workspace.

        A caller limited to some workspaces gets only the waste of these, without causes; the
        totals are then 0.
        """
        report = self._sidecar.waste.report()
        is_unrestricted = caller.workspaces is None
        rows = report.rows if is_unrestricted else ()
        return WasteDocument(
            computed_tokens=report.computed_tokens if is_unrestricted else 0,
            rest_tokens=report.rest_tokens if is_unrestricted else 0,
            causes=[
                WasteCauseDocument(
                    cause=row.cause, tier=tier_name(self.active, row.rank), tokens=row.tokens
                )
                for row in rows
            ],
            workspaces=[
                WorkspaceWasteDocument(**waste._asdict())
                for waste in report.workspaces
                if caller.may_see(waste.workspace)
            ],
        )

    def stop(self) -> bool:
        """Refuse offers and return queued attempts to entries; attempts that run go on.

        Returns
        -------
        bool
            False if the sidecar was already leaving.
        """
        changed = not self._sidecar.attempts.leaving
        start_leaving(self._sidecar)
        return changed


def _queue(key: QueueKey, attempts: Iterable[Attempt], now_s: float) -> QueueDocument:
    waiting = [attempt for attempt in attempts if attempt.state <= AttemptState.QUEUED]
    longest_wait_s = max((now_s - attempt.offered_s for attempt in waiting), default=0.0)
    return QueueDocument(
        workspace=key.workspace,
        tier=key.tier,
        queued=len(waiting),
        running=len(list(attempts)) - len(waiting),
        oldest_queued_s=round(longest_wait_s, 3),
    )


def create_sidecar_node(sidecar: Sidecar) -> AdminNode:
    """Create the administration view of a sidecar."""
    return SidecarNode(sidecar)
