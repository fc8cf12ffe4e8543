"""Life cycle of one attempt to run a request at a target, kept by the target's sidecar."""

from enum import IntEnum

import anyio

from guavawalk.codes import ResultCode
from guavawalk.request.answer import Answer, create_answer
from guavawalk.request.types import Offer, Usage
from guavawalk.request.waste import Waste

__all__ = ["Attempt", "AttemptState", "create_attempt"]


class AttemptState(IntEnum):
    """State of an attempt; transitions only go to a higher value."""

    OFFERED = 0
    QUEUED = 1
    DISPATCHED = 2
    STREAMING = 3
    DONE = 4


class Attempt:
    """One attempt at one target.

    Attributes
    ----------
    deadline_s, offered_s, dispatched_s, first_token_s, ended_s : float
        Moments on this process's monotonic clock; the last three are 0 until they are reached.
    code : ResultCode
        Result; `OUTCOME_UNKNOWN` until the attempt is done.
    detail : str
        Explanation of the result; empty if there is nothing to add.
    usage : Usage
        Tokens used at the target.
    is_long : bool
        Whether it queues as long work, since its cost is far above the usual one; never for the
        most urgent tier. Set before it is queued.
    cached_tokens : int
        Prompt tokens expected in the target's cache; set before it is queued.
    seen_tokens : int
        Length in tokens of the longest prompt prefix that was sent to the target before; set at
        the first token.
    retry_after_ms : int
        Retry hint for a caller whose attempt was not run; 0 for none.
    waste : tuple of Waste
        Wasted prompt tokens by cause, largest first; set at the end.
    cancel_requested : bool
        Whether its cancellation was requested after it was dispatched.
    left_queue : anyio.Event
        Set when the attempt is dispatched, or ends before that.
    is_shared : bool
        Whether another request with the same ticket waits for this attempt too.
    readers : int
        Links that currently relay its answer.
    cancel_scope : anyio.CancelScope, optional
        Scope that cancels the run at the target; None before it starts.
    """

    def __init__(self, offer: Offer, offered_s: float, answer: Answer) -> None:
        self.offer = offer
        self.offered_s = offered_s
        self.deadline_s = offered_s + offer.deadline_ms / 1000
        self.dispatched_s = 0.0
        self.first_token_s = 0.0
        self.ended_s = 0.0
        self.state = AttemptState.OFFERED
        self.code = ResultCode.OUTCOME_UNKNOWN
        self.detail = ""
        self.usage = Usage()
        self.is_long = False
        self.cached_tokens = 0
        self.seen_tokens = 0
        self.retry_after_ms = 0
        self.waste: tuple[Waste, ...] = ()
        self.cancel_requested = False
        self.is_shared = False
        self.readers = 0
        self.cancel_scope: anyio.CancelScope | None = None
        self.answer = answer
        self.left_queue = anyio.Event()

    @property
    def has_run(self) -> bool:
        """Whether the target may have received the request."""
        return self.dispatched_s > 0.0

    @property
    def wasted_tokens(self) -> int:
        """Prompt tokens wasted, summed over all causes."""
        return sum(waste.tokens for waste in self.waste)

    def mark_queued(self) -> None:
        """Change from offered to queued."""
        self.state = AttemptState.QUEUED

    def mark_dispatched(self, now_s: float) -> None:
        """Change from queued to dispatched, before the first byte is sent to the target."""
        self.state = AttemptState.DISPATCHED
        self.dispatched_s = now_s
        self.left_queue.set()

    def undo_dispatch(self) -> None:
        """Clear the dispatch time, since nothing was sent to the target.

        Either the target accepted no connection, or the attempt was cancelled before. `has_run` is
        False again; the state stays `DISPATCHED` until `finish`.
        """
        self.dispatched_s = 0.0

    def release_request_data(self) -> None:
        """Drop the body, headers and prefix hashes, which only a running attempt needs."""
        self.offer = self.offer._replace(body=b"", headers=(), prefix_hashes=())

    def mark_streaming(self, now_s: float) -> None:
        """Change to streaming and record the time of the first token."""
        self.state = AttemptState.STREAMING
        self.first_token_s = now_s

    def finish(self, code: ResultCode, now_s: float, detail: str = "") -> None:
        """End the attempt with a code; has no effect on an attempt that is done."""
        if self.state is AttemptState.DONE:
            return
        self.state = AttemptState.DONE
        self.code = code
        self.detail = detail
        self.ended_s = now_s
        self.answer.end()
        self.left_queue.set()


def create_attempt(offer: Offer, now_s: float, max_answer_bytes: int) -> Attempt:
    """Create the attempt of an offer received at `now_s`."""
    return Attempt(offer, now_s, create_answer(max_answer_bytes))
