"""Targets, platform and callers in memory."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from guavawalk.connection.platform import (
    CALL_TIMEOUT_S,
    LONG_POLL_MARGIN_S,
    Instance,
    PublishedValue,
)
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

# Precedes the length of the answer, at the end of a prompt.
OUTPUT_MARK = "\n#output_tokens="

# Returns as soon as the target's node is not paused.
Gate = Callable[[], Awaitable[None]]


def mark_output(text: str, output_tokens: int) -> str:
    """Return a prompt that a `MemoryEngine` answers with `output_tokens` tokens.

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
    """An `EngineModel` as a sidecar's target.

    Notes
    -----
    The prompt is the offer's body as text. The answer has the number of tokens that `mark_output`
    wrote into the prompt, or else `expected_output_tokens`.
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
        """Run a generation; yield its answer.

        Raises
        ------
        TargetConnectError
            If the engine is down.
        TargetLost
            If the engine crashes during the generation.
        """
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
        """Raise `TargetError`: streams in memory can't be resumed."""
        raise TargetError("the stream is not kept")
        yield

    async def cancel(self, attempt_id: str) -> None:
        """Stop a generation; do nothing if it isn't running."""
        scope = self._scopes.get(attempt_id)
        if scope is not None:
            scope.cancel()

    async def load(self) -> EngineLoad:
        """Return the current load."""
        model = self.model
        free = model.speed.batch_slots - model.running
        return EngineLoad(model.running, len(model.waiting), free, model.cached_tokens)

    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        await self._gate()
        events = self.model.events
        oldest = events[0]["sequence"] if events else 0
        return CacheEvents(oldest, tuple(self._event(e) for e in events if e["sequence"] > after))

    def _event(self, event: dict) -> CacheEvent:
        hashes = prefix_hashes(self.current_state.models[0], event["prefix"])
        return CacheEvent(event["sequence"], event["stored"], hashes[-1], event["tokens"])

    async def state(self) -> EngineState:
        """Return the loaded models and adapters, the role and the fencing number."""
        await self._gate()
        return self.current_state

    async def order(self, order: EngineOrder) -> None:
        """Carry out an order at once.

        Raises
        ------
        TargetError
            If fencing is checked and the order's fencing number is below the last one.
        """
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
    """A plain service as a sidecar's target; it counts the bodies of all calls but GET.

    Attributes
    ----------
    down : bool
        Whether connections are refused.
    lose_answers : bool
        Whether calls run but the connection breaks before the answer.
    """

    def __init__(self, state: ServiceState, gate: Gate) -> None:
        self.state = state
        self.down = False
        self.lose_answers = False
        self._gate = gate

    @asynccontextmanager
    async def run(self, offer: Offer):
        """Run a call; yield its answer.

        Raises
        ------
        TargetConnectError
            If the service is down.
        TargetLost
            If it loses its answers.
        """
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
        """Do nothing: a call runs to its end."""


class MemoryPlatform:
    """The platform as a node sees it, read from memory; each read is counted."""

    def __init__(self, state: PlatformState, gate: Gate) -> None:
        self.state = state
        self._gate = gate

    async def read(self, key: str) -> PublishedValue | None:
        """Return a value, or None if there is none under the key.

        Raises
        ------
        PlatformUnavailable
            If the platform is down.
        """
        await self._count_read()
        found = self.state.read(key)
        await self._check_answer(CALL_TIMEOUT_S)
        return PublishedValue(*found) if found else None

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Wait for a value with a higher revision; return None if none comes within `wait_s`.

        Raises
        ------
        PlatformUnavailable
            If the platform is down, before or after the wait.
        """
        await self._count_read()
        lost_at_s = anyio.current_time() + wait_s + LONG_POLL_MARGIN_S
        found = await self.state.wait(key, after_revision, wait_s)
        await self._gate()
        await self._check_answer(lost_at_s - anyio.current_time())
        if self.state.down:
            raise PlatformUnavailable("down")
        return PublishedValue(*found) if found else None

    async def instances(self) -> tuple[Instance, ...]:
        """Return the instance list."""
        await self._count_read()
        return tuple(Instance(**row) for row in self.state.instances)

    async def _check_answer(self, timeout_s: float) -> None:
        if self.state.loses_answers:
            await anyio.sleep(timeout_s)
            raise PlatformUnavailable("no answer in time")

    async def _count_read(self) -> None:
        await self._gate()
        await anyio.lowlevel.checkpoint()
        self.state.reads += 1
        if self.state.down:
            raise PlatformUnavailable("down")


class MemoryCaller:
    """A caller that keeps its answer and can disconnect."""

    def __init__(self) -> None:
        self.started = False
        self.data = bytearray()
        self.outcome: Outcome | None = None
        self._left = anyio.Event()

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Record the start of the answer."""
        assert not self.started
        self.started = True

    async def send(self, data: bytes) -> None:
        """Append bytes of the answer."""
        self.data += data

    async def finish(self, outcome: Outcome) -> None:
        """Record the outcome."""
        assert self.outcome is None
        self.outcome = outcome

    async def wait_disconnected(self) -> None:
        """Wait until `leave` is called."""
        await self._left.wait()

    def leave(self) -> None:
        """Disconnect."""
        self._left.set()
