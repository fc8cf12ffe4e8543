"""State of one entry process."""

from typing import NamedTuple

import anyio

from guavawalk.connection.handshake import Identity
from guavawalk.connection.link import Network
from guavawalk.process.clock import Clock
from guavawalk.process.entry.crashes import CrashCounter
from guavawalk.process.entry.limits import Limiter
from guavawalk.process.entry.links import LinkPool
from guavawalk.process.entry.retry import RetryBudget
from guavawalk.process.entry.view import FleetView
from guavawalk.process.gateway.input_budget import InputBudget
from guavawalk.process.observe.log import EventLog
from guavawalk.process.observe.metrics import Metrics
from guavawalk.process.observe.observations import Observations
from guavawalk.process.part_suspects import PartSuspectTable
from guavawalk.process.read_turns import ReadTurns
from guavawalk.process.spread.members import Members
from guavawalk.process.suspects import SuspectTable
from guavawalk.request.placement import Placement
from guavawalk.version.active import ActiveVersion

__all__ = ["Entry", "EntryLimits", "RequestTracker", "create_request_tracker"]


class EntryLimits(NamedTuple):
    """Limits on the size and the duration of requests from callers.

    Attributes
    ----------
    header_bytes : int
        Names and values of all headers together.
    head_timeout_s, body_timeout_s : float
        Time in which the head, and then the body, must arrive.
    max_deadline_ms : int
        The longest deadline that a caller may set.
    """

    body_bytes: int = 8 * 1024 * 1024
    header_bytes: int = 64 * 1024
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    max_deadline_ms: int = 3_600_000


class RequestTracker:
    """Counts running requests, so that a drain can wait for them.

    Attributes
    ----------
    draining : bool
        Whether new requests are refused.
    """

    def __init__(self) -> None:
        self.draining = False
        self._running = 0
        self._idle = anyio.Event()

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    @running.setter
    def running(self, count: int) -> None:
        self._running = count
        if count == 0:
            self._idle.set()
            self._idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self._running:
            await self._idle.wait()


class Entry(NamedTuple):
    """The parts of an entry process.

    Attributes
    ----------
    data_centre : str
        Data centre in which this instance runs.
    active : ActiveVersion
        Version of the configuration that is in force.
    view : FleetView
        Records about the targets.
    limiter : Limiter
        Enforces the limits of workspaces; `limits` holds those of any request.
    input : InputBudget
        Limits the memory of what callers send.
    read_turns : ReadTurns
        Orders the reads of what they send.
    observed : Observations
        Recent histograms and refusals for the administration API.
    """

    identity: Identity
    data_centre: str
    clock: Clock
    active: ActiveVersion
    links: LinkPool
    view: FleetView
    placement: Placement
    limiter: Limiter
    retries: RetryBudget
    request_tracker: RequestTracker
    limits: EntryLimits
    input: InputBudget
    read_turns: ReadTurns
    log: EventLog
    metrics: Metrics
    observed: Observations
    network: Network
    members: Members
    suspects: SuspectTable
    part_suspects: PartSuspectTable
    crashes: CrashCounter


def create_request_tracker() -> RequestTracker:
    """Create a tracker without running requests."""
    return RequestTracker()
