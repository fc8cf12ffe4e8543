"""Interfaces through which a sidecar uses its target: a plain service or a model engine."""

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
    """Bytes of an answer as received, with the number of output tokens in them.

    Attributes
    ----------
    usage : Usage or None
        Usage of the whole attempt, if this part reports it.
    """

    data: bytes
    output_tokens: int = 0
    usage: Usage | None = None


class TargetAnswer(NamedTuple):
    """An answer that has begun.

    Attributes
    ----------
    headers : tuple of str
        Alternating names and values.
    """

    status: int
    headers: tuple[str, ...]
    parts: AsyncIterator[AnswerPart]


class EngineLoad(NamedTuple):
    """Load as reported by the engine itself, which may be out of date.

    Attributes
    ----------
    running, waiting : int
        Numbers of requests.
    free_slots : int
        Number of free places in the batch.
    cached_tokens : int
        Tokens in the prefix cache.
    """

    running: int
    waiting: int
    free_slots: int
    cached_tokens: int


class CacheEvent(NamedTuple):
    """A prefix that was stored in the engine's cache, or evicted if `stored` is false."""

    sequence: int
    stored: bool
    prefix_hash: int
    tokens: int


class CacheEvents(NamedTuple):
    """Cache events after a requested sequence number.

    Attributes
    ----------
    oldest : int
        Oldest sequence number that the engine still holds; events are missing if it is more than
        one above the requested number.
    """

    oldest: int
    events: tuple[CacheEvent, ...]


class EngineOrder(NamedTuple):
    """An order to an engine.

    Attributes
    ----------
    kind : str
        `load_model`, `unload_model`, `load_adapter`, `unload_adapter` or `set_role`.
    fence : tuple of int
        Configuration version and sequence number within it; an engine that checks fencing refuses
        an order with an older pair than it has seen.
    """

    kind: str
    name: str
    fence: tuple[int, int]


class EngineState(NamedTuple):
    """State of an engine.

    Attributes
    ----------
    models, adapters : tuple of str
        Names of those that are loaded.
    fence : tuple of int
        Fencing number of the newest order that the engine has accepted.
    pending : str
        Order in progress; empty if there is none.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    fence: tuple[int, int] = (0, 0)
    pending: str = ""


class TargetClient(Protocol):
    """Client of a target: a plain service or a model engine."""

    def run(self, offer: Offer) -> AbstractAsyncContextManager[TargetAnswer]:
        """Send the work; the context manager yields the answer once its head has arrived.

        Raises
        ------
        TargetConnectError
            If no connection was made, so that the target received nothing.
        TargetLost
            If the connection ends before the answer does.
        """
        ...

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt at the target, if the target supports that."""
        ...


class EngineClient(TargetClient, Protocol):
    """Client of a model engine, which also resumes streams, reports its state and obeys orders."""

    def resume(self, attempt_id: str, offset: int) -> AbstractAsyncContextManager[TargetAnswer]:
        """Return the stream of an attempt again, from a byte offset."""
        ...

    async def load(self) -> EngineLoad:
        """Return the engine's load report."""
        ...

    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        ...

    async def state(self) -> EngineState:
        """Return the engine's state."""
        ...

    async def order(self, order: EngineOrder) -> None:
        """Send an order.

        Raises
        ------
        TargetError
            If the engine refuses the order, or does not answer.
        """
        ...
