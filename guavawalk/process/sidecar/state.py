"""What one sidecar process holds."""

from collections import OrderedDict
from typing import NamedTuple

from anyio.abc import TaskGroup

from guavawalk.codes import ResultCode
from guavawalk.connection.handshake import Identity
from guavawalk.connection.target import TargetClient
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.metrics import Metrics
from guavawalk.process.sidecar.queue import Queue
from guavawalk.process.sidecar.records import Records
from guavawalk.process.sidecar.window import DispatchWindow
from guavawalk.request.attempt import Attempt
from guavawalk.request.types import LoadReport
from guavawalk.version.held import HeldVersion

__all__ = ["AttemptTable", "Sidecar", "SidecarLimits", "create_attempt_table", "load_report"]

ANSWER_GRACE_S = 30.0


class SidecarLimits(NamedTuple):
    """Bounds of a sidecar's tables."""

    answer_bytes: int = 4 * 1024 * 1024
    kept_answers: int = 2_000
    withdrawn_ids: int = 20_000


class AttemptTable:
    """Attempts by id: those that live, the last ones that ended, and ids withdrawn unseen."""

    def __init__(self, limits: SidecarLimits) -> None:
        self.limits = limits
        self.live: dict[str, Attempt] = {}
        self.ended: OrderedDict[str, Attempt] = OrderedDict()
        self.withdrawn: dict[str, float] = {}
        self.running = 0
        self.leaving = False

    def find(self, attempt_id: str) -> Attempt | None:
        """Return an attempt that lives or is still kept."""
        return self.live.get(attempt_id) or self.ended.get(attempt_id)

    def retire(self, attempt: Attempt) -> None:
        """Move an ended attempt from the live ones to the kept ones."""
        attempt_id = attempt.offer.attempt_id
        if self.live.pop(attempt_id, None) is None:
            return
        self.ended[attempt_id] = attempt
        while len(self.ended) > self.limits.kept_answers:
            self.ended.popitem(last=False)

    def withdraw_unseen(self, attempt_id: str, now_s: float) -> bool:
        """Note an id so that a late offer of it is refused; False if there is no room."""
        if len(self.withdrawn) >= self.limits.withdrawn_ids:
            return False
        self.withdrawn[attempt_id] = now_s
        return True


class Sidecar(NamedTuple):
    """The parts of a sidecar process.

    Attributes
    ----------
    tasks : TaskGroup
        Where the task of each connection to the target runs.
    """

    identity: Identity
    target_name: str
    clock: Clock
    held: HeldVersion
    target: TargetClient
    queue: Queue
    window: DispatchWindow
    records: Records
    attempts: AttemptTable
    log: EventLog
    metrics: Metrics
    tasks: TaskGroup


def create_attempt_table(limits: SidecarLimits = SidecarLimits()) -> AttemptTable:
    """Create an empty table of attempts."""
    return AttemptTable(limits)


def load_report(sidecar: Sidecar) -> LoadReport:
    """Return the load of a sidecar's target now."""
    totals = sidecar.queue.totals()
    window = sidecar.window
    return LoadReport(
        queued_by_rank=totals.waiting_by_rank,
        running=sidecar.attempts.running,
        window=window.size,
        queued_prompt_tokens=totals.prompt_tokens,
        queued_output_tokens=totals.output_tokens,
        first_token_ms=int(window.first_token_ms),
        decode_tokens_per_s=window.decode_tokens_per_s,
        leaving=sidecar.attempts.leaving,
    )


def end_attempt(sidecar: Sidecar, attempt: Attempt, code: ResultCode, detail: str = "") -> None:
    """End an attempt and keep its answer for a while."""
    attempt.finish(code, sidecar.clock.now_s(), detail)
    sidecar.attempts.retire(attempt)
    if not attempt.has_run and attempt.offer.idempotency_key:
        sidecar.records.forget(attempt)
