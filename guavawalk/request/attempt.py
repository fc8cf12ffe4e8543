"""The life cycle of one attempt, as its sidecar keeps it."""

from enum import IntEnum

import anyio

from guavawalk.codes import ResultCode
from guavawalk.request.answer import Answer, create_answer
from guavawalk.request.types import Offer, Usage
from guavawalk.request.waste import Waste

__all__ = ["Attempt", "AttemptState", "create_attempt"]


class AttemptState(IntEnum):
    """Where an attempt stands; it only goes forward."""

    OFFERED = 0
    QUEUED = 1
    DISPATCHED = 2
    STREAMING = 3
    DONE = 4


class Attempt:
    """One attempt at one target.

    Attributes
    ----------
    deadline_s, offered_s, dispatched_s, first_token_s : float
        On this process's monotonic clock.
    is_long : bool
        Whether it costs far more than most; set before it queues.
    cached_tokens : int
        Prompt tokens that the target is believed to hold in its cache; set before it queues.
    seen_tokens : int
        Longest prefix sent to the target before; set at the first token.
    retry_after_ms : int
        Hint for a caller whose attempt was not run.
    waste : tuple of Waste
        Prompt work wasted, largest first; set at the end.
    left_queue : anyio.Event
        Set when the attempt may be dispatched, or has ended before that.
    is_shared : bool
        Whether another request with the same ticket waits for it too.
    readers : int
        Links that relay its answer now.
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
        """Whether the target may have seen it."""
        return self.dispatched_s > 0.0

    @property
    def wasted_tokens(self) -> int:
        """Prompt tokens wasted, for all causes."""
        return sum(waste.tokens for waste in self.waste)

    def mark_queued(self) -> None:
        """Go from offered to queued."""
        self.state = AttemptState.QUEUED

    def mark_dispatched(self, now_s: float) -> None:
        """Go from queued to dispatched, before the first byte goes to the target."""
        self.state = AttemptState.DISPATCHED
        self.dispatched_s = now_s
        self.left_queue.set()

    def undo_dispatch(self) -> None:
        """Take the dispatch back, since the target took no connection."""
        self.dispatched_s = 0.0

    def release_request_data(self) -> None:
        """Let go of what only the run needed."""
        self.offer = self.offer._replace(body=b"", headers=(), prefix_hashes=())

    def mark_streaming(self, now_s: float) -> None:
        """Note the first token."""
        self.state = AttemptState.STREAMING
        self.first_token_s = now_s

    def finish(self, code: ResultCode, now_s: float, detail: str = "") -> None:
        """End with a code; a second end changes nothing."""
        if self.state is AttemptState.DONE:
            return
        self.state = AttemptState.DONE
        self.code = code
        self.detail = detail
        self.ended_s = now_s
        self.answer.end()
        self.left_queue.set()


def create_attempt(offer: Offer, now_s: float, max_answer_bytes: int) -> Attempt:
    """Create the attempt of an offer that came at `now_s`."""
    return Attempt(offer, now_s, create_answer(max_answer_bytes))
