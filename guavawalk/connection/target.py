"""What a sidecar needs of the target behind it."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from guavawalk.request.types import Offer, Usage

__all__ = [
    "AnswerPart",
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "EngineLoad",
    "EngineOrder",
    "EngineState",
    "TargetAnswer",
    "TargetClient",
]


class AnswerPart(NamedTuple):
    """Bytes of an answer as they came, with the tokens in them.

    Attributes
    ----------
    usage : Usage or None
        Given with the part that tells it.
    """

    data: bytes
    output_tokens: int = 0
    usage: Usage | None = None


class TargetAnswer(NamedTuple):
    """An answer that has begun."""

    status: int
    headers: tuple[str, ...]
    parts: AsyncIterator[AnswerPart]


class EngineLoad(NamedTuple):
    """An engine's own report of its load; it lags."""

    running: int
    waiting: int
    free_slots: int
    cached_tokens: int


class CacheEvent(NamedTuple):
    """A prefix that entered (`stored`) or left the engine's cache."""

    sequence: int
    stored: bool
    prefix_hash: int
    tokens: int


class CacheEvents(NamedTuple):
    """Cache events after a sequence number; `oldest` above it means a gap."""

    oldest: int
    events: tuple[CacheEvent, ...]


class EngineOrder(NamedTuple):
    """An order to an engine.

    Attributes
    ----------
    kind : str
        `load_model`, `unload_model`, `load_adapter`, `unload_adapter` or `set_role`.
    fence : tuple of int
        Configuration version and sequence; an engine that checks refuses an older pair.
    """

    kind: str
    name: str
    fence: tuple[int, int]


class EngineState(NamedTuple):
    """What an engine holds now; an order under way stands in `pending`."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fence: tuple[int, int] = (0, 0)
    pending: str = ""


class TargetClient(Protocol):
    """A target that runs work: a plain service, or an engine."""

    def run(self, offer: Offer) -> AbstractAsyncContextManager[TargetAnswer]:
        """Send the work and give the answer as it comes.

        Raises
        ------
        TargetConnectError
            If no connection was made, so the target saw nothing.
        TargetLost
            If the connection ends before the answer does.
        """
        ...

    async def cancel(self, attempt_id: str) -> None:
        """Ask the target to stop an attempt, where it can."""
        ...


class EngineClient(TargetClient, Protocol):
    """A model engine: a target that also resumes, reports and takes orders."""

    def resume(self, attempt_id: str, offset: int) -> AbstractAsyncContextManager[TargetAnswer]:
        """Give a stream again from a byte offset."""
        ...

    async def load(self) -> EngineLoad:
        """Return the engine's load report."""
        ...

    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        ...

    async def state(self) -> EngineState:
        """Return what the engine holds."""
        ...

    async def order(self, order: EngineOrder) -> None:
        """Give an order; `TargetError` if it is refused."""
        ...
