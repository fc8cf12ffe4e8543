"""A model engine's behaviour in small: batching, prefix cache, speeds and faults.

It shares no code with the scheduler.
"""

import itertools
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

__all__ = [
    "EngineCrash",
    "EngineFaults",
    "EngineModel",
    "EngineSpeed",
    "GeneratedToken",
    "RunRecord",
    "create_engine_model",
]

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4


class EngineCrash(Exception):
    """The engine died while it ran a request."""


class EngineSpeed(NamedTuple):
    """How fast an engine is, and how much it holds."""

    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 60.0
    batch_slots: int = 16
    cache_tokens: int = 64_000


class EngineFaults:
    """Faults on demand.

    Attributes
    ----------
    slow_factor : float
        Every duration is multiplied by it.
    crash_on : set of str
        A prompt with one of these texts crashes the engine.
    drop_after_tokens : int
        Streams end without an end after so many tokens; 0 for never.
    """

    def __init__(self) -> None:
        self.slow_factor = 1.0
        self.crash_on: set[str] = set()
        self.drop_after_tokens = 0
        self.paused = False
        self.down = False


class GeneratedToken(NamedTuple):
    """One token of an answer."""

    text: str
    index: int
    cached_tokens: int
    prompt_tokens: int


class RunRecord(NamedTuple):
    """One request that the engine began to run."""

    request_id: str
    prompt: str
    prefilled_tokens: int


class EngineModel:
    """An engine that admits in arrival order and batches continuously."""

    def __init__(self, speed: EngineSpeed) -> None:
        self.speed = speed
        self.faults = EngineFaults()
        self.runs: list[RunRecord] = []
        self.running = 0
        self.waiting: deque[anyio.Event] = deque()
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.events: deque[dict] = deque(maxlen=1_000)
        self._sequence = itertools.count(1)
        self._prefill_lock = anyio.Lock()

    async def generate(
        self, request_id: str, prompt: str, output_tokens: int
    ) -> AsyncIterator[GeneratedToken]:
        """Run a request and yield its tokens as they come."""
        await self._enter()
        try:
            prompt_tokens = -(-len(prompt) // CHARS_PER_TOKEN)
            cached = self._cached(prompt)
            self.runs.append(RunRecord(request_id, prompt, prompt_tokens - cached))
            await self._prefill(prompt, prompt_tokens - cached)
            for index in range(output_tokens):
                await self._step()
                if self.faults.drop_after_tokens and index >= self.faults.drop_after_tokens:
                    raise EngineCrash("dropped")
                yield GeneratedToken(f"w{index} ", index, cached, prompt_tokens)
        finally:
            self._leave()

    async def _enter(self) -> None:
        if self.running < self.speed.batch_slots and not self.waiting:
            self.running += 1
            return
        turn = anyio.Event()
        self.waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self._leave()
            else:
                self.waiting.remove(turn)
            raise

    def _leave(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.running -= 1

    async def _prefill(self, prompt: str, tokens: int) -> None:
        async with self._prefill_lock:
            await self._wait(tokens / self.speed.prefill_tokens_per_s)
        if any(text in prompt for text in self.faults.crash_on):
            self.crash()
            raise EngineCrash("crashed on a prompt")
        self._store(prompt)

    async def _step(self) -> None:
        load = self.running / self.speed.batch_slots
        await self._wait((1 + load) / 2 / self.speed.decode_tokens_per_s)
        if self.faults.down:
            raise EngineCrash("down")

    async def _wait(self, seconds: float) -> None:
        await anyio.sleep(seconds * self.faults.slow_factor)
        while self.faults.paused:
            await anyio.sleep(0.05)

    def crash(self) -> None:
        """Die: everything that runs fails, and the cache is lost."""
        self.faults.down = True
        self.cache.clear()
        self.cached_tokens = 0

    def restart(self) -> None:
        """Come back, empty."""
        self.faults.down = False

    def _blocks(self, prompt: str) -> list[str]:
        ends = range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS)
        return [prompt[:end] for end in ends]

    def _cached(self, prompt: str) -> int:
        cached = 0
        for block in self._blocks(prompt):
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            cached = len(block) // CHARS_PER_TOKEN
        return cached

    def _store(self, prompt: str) -> None:
        tokens = BLOCK_CHARS // CHARS_PER_TOKEN
        for block in self._blocks(prompt):
            if block not in self.cache:
                self.cache[block] = tokens
                self.cached_tokens += tokens
                self._record(True, block)
            self.cache.move_to_end(block)
        while self.cached_tokens > self.speed.cache_tokens:
            block, size = self.cache.popitem(last=False)
            self.cached_tokens -= size
            self._record(False, block)

    def _record(self, stored: bool, block: str) -> None:
        self.events.append(
            {
                "sequence": next(self._sequence),
                "stored": stored,
                "prefix": block,
                "tokens": len(block) // CHARS_PER_TOKEN,
            }
        )


def create_engine_model(speed: EngineSpeed = EngineSpeed()) -> EngineModel:
    """Create an engine with an empty cache."""
    return EngineModel(speed)
