"""The state of a sidecar process, its table of attempts and its load report."""

from collections import OrderedDict
from typing import NamedTuple

from anyio.abc import TaskGroup

from guavawalk.connection.handshake import Identity
from guavawalk.connection.target import EngineClient, TargetClient
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.metrics import Metrics
from guavawalk.process.observe.observations import Observations
from guavawalk.process.orders.order_tracker import OrderTracker
from guavawalk.process.sidecar.drain import DrainRates
from guavawalk.process.sidecar.leaving import create_leave_tracker
from guavawalk.process.sidecar.lengths import LengthStatistics
from guavawalk.process.sidecar.link_table import LinkTable
from guavawalk.process.sidecar.prefix_index import PrefixIndex
from guavawalk.process.sidecar.queue import Queue
from guavawalk.process.sidecar.records import Records
from guavawalk.process.sidecar.waste_totals import WasteTotals
from guavawalk.process.sidecar.window import DispatchWindow
from guavawalk.process.spread.members import Members
from guavawalk.process.suspects import SuspectTable
from guavawalk.request.attempt import Attempt
from guavawalk.request.types import LoadReport
from guavawalk.version.active import ActiveVersion

__all__ = [
    "AttemptTable",
    "Sidecar",
    "SidecarLimits",
    "create_attempt_table",
    "load_report",
]


class SidecarLimits(NamedTuple):
    """Bounds of a sidecar's tables.

    Attributes
    ----------
    answer_bytes : int
        Largest answer that an attempt may hold.
    kept_answers, kept_answer_bytes : int
        Number and total size of the answers kept after their attempts have ended.
    closed_links : int
        Number of closed links whose last offer is kept.
    """

    answer_bytes: int = 4 * 1024 * 1024
    kept_answers: int = 2_000
    kept_answer_bytes: int = 32 * 1024 * 1024
    closed_links: int = 4_096


class AttemptTable:
    """Attempts by id: the live ones, and the last ones that ended.

    Attributes
    ----------
    live, ended : dict of str to Attempt
        Attempts by id, the ended ones in the order of their ends.
    kept_bytes : int
        Total size of the answers of the ended attempts.
    running : int
        Number of attempts that have been dispatched and have not ended.
    """

    def __init__(self, limits: SidecarLimits) -> None:
        self.limits = limits
        self.live: dict[str, Attempt] = {}
        self.ended: OrderedDict[str, Attempt] = OrderedDict()
        self.kept_bytes = 0
        self.running = 0
        self.leave_tracker = create_leave_tracker()

    @property
    def leaving(self) -> bool:
        """Whether new offers are refused."""
        return self.leave_tracker.leaving

    def add(self, attempt: Attempt) -> None:
        """Add a new attempt to the live ones."""
        self.live[attempt.offer.attempt_id] = attempt
        self.leave_tracker.record_started(attempt.offer.attempt_id)

    def remove_refused(self, attempt: Attempt) -> None:
        """Remove a refused attempt; its end counts as reported, since the refusal is sent."""
        del self.live[attempt.offer.attempt_id]
        self.leave_tracker.record_ended(attempt.offer.attempt_id)
        self.leave_tracker.record_reported(attempt.offer.attempt_id)

    def find(self, attempt_id: str) -> Attempt | None:
        """Return a live or kept attempt, or None if there is none."""
        return self.live.get(attempt_id) or self.ended.get(attempt_id)

    def retire(self, attempt: Attempt) -> list[Attempt]:
        """Move an ended attempt from the live to the kept ones; return the attempts evicted for it.

        Notes
        -----
        The oldest attempts are evicted first, but none whose answer is still being relayed, even if
        the limits are exceeded then. If the attempt is not live, nothing is moved or evicted.
        """
        attempt_id = attempt.offer.attempt_id
        if self.live.pop(attempt_id, None) is None:
            return []
        self.leave_tracker.record_ended(attempt_id)
        attempt.release_request_data()
        self.ended[attempt_id] = attempt
        self.kept_bytes += attempt.answer.length
        return self._evict_oldest()

    def _evict_oldest(self) -> list[Attempt]:
        evicted = []
        while self._exceeds_limits():
            oldest = next((kept for kept in self.ended.values() if not kept.readers), None)
            if oldest is None:
                break
            del self.ended[oldest.offer.attempt_id]
            self.kept_bytes -= oldest.answer.length
            oldest.answer.drop()
            self.leave_tracker.record_reported(oldest.offer.attempt_id)
            evicted.append(oldest)
        return evicted

    def _exceeds_limits(self) -> bool:
        too_many = len(self.ended) > self.limits.kept_answers
        return too_many or self.kept_bytes > self.limits.kept_answer_bytes


class Sidecar(NamedTuple):
    """The parts of a sidecar process.

    Attributes
    ----------
    engine : EngineClient or None
        The client of the target if it is a model engine, else None.
    tasks : TaskGroup
        Runs one task for each attempt, which holds its connection to the target.
    """

    identity: Identity
    target_name: str
    clock: Clock
    active: ActiveVersion
    target: TargetClient
    engine: EngineClient | None
    queue: Queue
    window: DispatchWindow
    drain_rates: DrainRates
    lengths: LengthStatistics
    prefixes: PrefixIndex
    waste: WasteTotals
    records: Records
    attempts: AttemptTable
    links: LinkTable
    log: EventLog
    metrics: Metrics
    observed: Observations
    tasks: TaskGroup
    members: Members
    orders: OrderTracker
    suspects: SuspectTable


def create_attempt_table(limits: SidecarLimits = SidecarLimits()) -> AttemptTable:
    """Create an empty table of attempts."""
    return AttemptTable(limits)


def load_report(sidecar: Sidecar) -> LoadReport:
    """Return the current load of a sidecar's target."""
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
        warm_prefix_tokens=sidecar.prefixes.total_cached_tokens,
        queued_output_by_rank=totals.output_by_rank,
        long_full=not window.has_long_slot(),
    )
