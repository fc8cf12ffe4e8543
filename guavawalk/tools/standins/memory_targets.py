"""Targets and platform in memory, and a caller that keeps what it gets."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from guavawalk.connection.platform import Instance, PublishedValue
from guavawalk.connection.target import (
    AnswerPart,
    CacheEvent,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineState,
    TargetAnswer,
)
from guavawalk.exception import PlatformUnavailable, TargetConnectError, TargetError, TargetLost
from guavawalk.request.prompt import prefix_hashes
from guavawalk.request.types import Offer, Outcome, Usage
from guavawalk.tools.standins.engine_model import EngineCrash, EngineModel
from guavawalk.tools.standins.platform import PlatformState
from guavawalk.tools.standins.service import ServiceState

__all__ = ["MemoryCaller", "MemoryEngine", "MemoryPlatform", "MemoryService", "mark_output"]

OUTPUT_MARK = "\n#output_tokens="

Gate = Callable[[], Awaitable[None]]


def mark_output(text: str, output_tokens: int) -> str:
    """Return a prompt that a `MemoryEngine` answers with so many tokens, whatever the offer says.

    Examples
    --------
    >>> _marked_output(mark_output("which glaze?", 12))
    12
    """
    return f"{text}{OUTPUT_MARK}{output_tokens}"


def _marked_output(prompt: str) -> int:
    _, mark, number = prompt.rpartition(OUTPUT_MARK)
    return int(number) if mark else 0


class MemoryEngine:
    """An engine model as a sidecar's target.

    Notes
    -----
    The prompt is the offer's body as text; the answer has as many tokens as `mark_output` wrote
    into the prompt, or else `expected_output_tokens`.
    """

    def __init__(self, model: EngineModel, models: tuple[str, ...], gate: Gate) -> None:
        self.model = model
        self.current_state = EngineState(models, (), "mixed")
        self.checks_fencing = True
        self.orders: list[EngineOrder] = []
        self._gate = gate
        self._scopes: dict[str, anyio.CancelScope] = {}

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Run a generation."""
        await self._gate()
        if self.model.faults.down:
            raise TargetConnectError("down")
        with anyio.CancelScope() as scope:
            self._scopes[offer.attempt_id] = scope
            try:
                yield TargetAnswer(200, (), self._parts(offer))
            except EngineCrash as error:
                raise TargetLost(str(error)) from error
            finally:
                self._scopes.pop(offer.attempt_id, None)

    async def _parts(self, offer: Offer) -> AsyncIterator[AnswerPart]:
        prompt = offer.body.decode()
        output_tokens = _marked_output(prompt) or offer.expected_output_tokens
        tokens = self.model.generate(offer.attempt_id, prompt, output_tokens)
        usage = Usage()
        async for token in tokens:
            await self._gate()
            usage = Usage(token.prompt_tokens, token.cached_tokens, token.index + 1)
            yield AnswerPart(token.text.encode(), 1, usage)

    @asynccontextmanager
    async def resume(self, attempt_id: str, offset: int):
        """Refuse: streams in memory are not kept."""
        raise TargetError("not kept")
        yield

    async def cancel(self, attempt_id: str) -> None:
        """Stop a generation."""
        scope = self._scopes.get(attempt_id)
        if scope is not None:
            scope.cancel()

    async def load(self) -> EngineLoad:
        """Report the load now."""
        model = self.model
        free = model.speed.batch_slots - model.running
        return EngineLoad(model.running, len(model.waiting), free, model.cached_tokens)

    async def cache_events(self, after: int) -> CacheEvents:
        """Report the engine's events after a sequence number."""
        await self._gate()
        events = self.model.events
        oldest = events[0]["sequence"] if events else 0
        return CacheEvents(oldest, tuple(self._event(e) for e in events if e["sequence"] > after))

    def _event(self, event: dict) -> CacheEvent:
        hashes = prefix_hashes(self.current_state.models[0], event["prefix"])
        return CacheEvent(event["sequence"], event["stored"], hashes[-1], event["tokens"])

    async def state(self) -> EngineState:
        """Return what is held."""
        await self._gate()
        return self.current_state

    async def order(self, order: EngineOrder) -> None:
        """Obey an order."""
        await self._gate()
        if self.checks_fencing and order.fence < self.current_state.fence:
            raise TargetError("old fencing number")
        self.orders.append(order)
        models = set(self.current_state.models)
        if order.kind == "load_model":
            models.add(order.name)
        elif order.kind == "unload_model":
            models.discard(order.name)
        role = order.name if order.kind == "set_role" else self.current_state.role
        self.current_state = EngineState(
            tuple(sorted(models)), self.current_state.adapters, role, order.fence
        )


class MemoryService:
    """A plain service as a sidecar's target; it records the body of each POST."""

    def __init__(self, state: ServiceState, gate: Gate) -> None:
        self.state = state
        self.down = False
        self.lose_answers = False
        self._gate = gate

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Run a call."""
        await self._gate()
        if self.down:
            raise TargetConnectError("down")
        if offer.method != "GET":
            self.state.run_counts[offer.body.decode()] += 1
        await anyio.sleep(self.state.work_time_s)
        if self.lose_answers:
            raise TargetLost("no answer")
        yield TargetAnswer(200, (), self._parts(offer))

    async def _parts(self, offer: Offer) -> AsyncIterator[AnswerPart]:
        yield AnswerPart(b"ran " + offer.body)

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing."""


class MemoryPlatform:
    """The platform's state, read without HTTP; counts reads."""

    def __init__(self, state: PlatformState, gate: Gate) -> None:
        self.state = state
        self._gate = gate

    async def read(self, key: str) -> PublishedValue | None:
        """Read a value."""
        await self._enter()
        found = self.state.read(key)
        return PublishedValue(*found) if found else None

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Wait for a newer value."""
        await self._enter()
        found = await self.state.wait(key, after_revision, wait_s)
        await self._gate()
        if self.state.down:
            raise PlatformUnavailable("down")
        return PublishedValue(*found) if found else None

    async def instances(self) -> tuple[Instance, ...]:
        """Read the instance list."""
        await self._enter()
        return tuple(Instance(**row) for row in self.state.instances)

    async def _enter(self) -> None:
        await self._gate()
        await anyio.lowlevel.checkpoint()
        self.state.reads += 1
        if self.state.down:
            raise PlatformUnavailable("down")


class MemoryCaller:
    """A caller that keeps its answer and may leave."""

    def __init__(self) -> None:
        self.started = False
        self.data = bytearray()
        self.outcome: Outcome | None = None
        self._left = anyio.Event()

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Note the start."""
        assert not self.started
        self.started = True

    async def send(self, data: bytes) -> None:
        """Keep bytes."""
        self.data += data

    async def finish(self, outcome: Outcome) -> None:
        """Keep the outcome."""
        assert self.outcome is None
        self.outcome = outcome

    async def wait_disconnected(self) -> None:
        """Wait until `leave` is called."""
        await self._left.wait()

    def leave(self) -> None:
        """Leave."""
        self._left.set()
