"""Presents a gateway to the administration API."""

from guavawalk.process.admin.documents import StateDocument, SuspectDocument, TargetDocument
from guavawalk.process.admin.node import CommonNode
from guavawalk.process.admin.suspects import PART, REQUEST, describe_parts, describe_requests
from guavawalk.process.gateway.crash_refusal import clear_part, clear_request
from guavawalk.process.gateway.state import Gateway
from guavawalk.process.gateway.tracked_target import TrackedTarget
from guavawalk.process.observe.memory import resident_bytes

__all__ = ["create_gateway_node"]


class GatewayNode:
    """State and actions of a gateway, for operators.

    Parameters
    ----------
    incarnation : int
        Number of this run of the process.
    """

    role = "gateway"

    def __init__(self, gateway: Gateway, incarnation: int) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self.clock = gateway.clock
        self.log = gateway.log

    def state(self) -> StateDocument:
        """Return the identity, version and load of the gateway."""
        gateway = self._gateway
        return StateDocument(
            role=self.role,
            instance=gateway.settings.instance,
            incarnation=f"{self._incarnation:x}",
            version=gateway.routes.table.version,
            digest="",
            stopping=gateway.callers.is_draining,
            running=gateway.callers.calls,
            queued=sum(gateway.dispatcher.waiting().values()),
            window=None,
            records=None,
            uptime_s=round(gateway.clock.now_s() - gateway.started_s, 1),
            resident_bytes=resident_bytes(),
            log_level=gateway.log.level,
        )

    def targets(self) -> list[TargetDocument]:
        """Return what the gateway knows of the targets, by id."""
        found = sorted(self._gateway.targets, key=lambda target: target.registration.target_id)
        return [self._target(target) for target in found]

    def _target(self, target: TrackedTarget) -> TargetDocument:
        registration, now_s = target.registration, self.clock.now_s()
        return TargetDocument(
            name=registration.target_id,
            kind=registration.service,
            data_centre=registration.data_centre,
            leaving=registration.draining or target.is_leaving,
            usable=now_s < target.usable_until_s and target.accepts_calls(now_s),
            running=target.total_running,
            window=registration.slots,
            queued=0,
            own_running=target.running,
            report_age_s=None,
        )

    def suspects(self) -> list[SuspectDocument]:
        """Return suspected parts, then suspected requests, each the last updated first."""
        gateway = self._gateway
        return [
            *describe_parts(gateway.part_suspects, self.clock),
            *describe_requests(gateway.suspects, self.clock),
        ]

    def clear_suspect(self, kind: str, key: int) -> bool:
        """Clear a suspect at all gateways; return False if it was none here."""
        if kind == PART:
            return clear_part(self._gateway, key)
        return kind == REQUEST and clear_request(self._gateway, key)


def create_gateway_node(gateway: Gateway, incarnation: int) -> CommonNode:
    """Create the administration view of a gateway."""
    return GatewayNode(gateway, incarnation)
