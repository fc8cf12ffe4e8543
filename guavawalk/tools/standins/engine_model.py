"""Simulates a model engine: batching, prefix cache, speeds and faults.

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

# Size of a block of the prefix cache.
BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4


class EngineCrash(Exception):
    """The engine crashed or was down while it ran a request, or dropped its stream."""


class EngineSpeed(NamedTuple):
    """Speed and capacity of an engine.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Of the whole engine, which prefills one prompt at a time.
    decode_tokens_per_s : float
        Of each request in a full batch; with few requests it approaches twice as much.
    batch_slots : int
        Requests that run at the same time.
    cache_tokens : int
        Capacity of the prefix cache.
    """

    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 60.0
    batch_slots: int = 16
    cache_tokens: int = 64_000


class EngineFaults:
    """Faults that can be switched on and off.

    Attributes
    ----------
    slow_factor : float
        Factor on every duration; 1 for none.
    crash_on : set of str
        A prompt that contains one of these texts crashes the engine.
    drop_after_tokens : int
        Number of tokens after which a stream breaks; 0 for never.
    paused : bool
        Whether the engine makes no progress.
    down : bool
        Whether the engine has crashed and not restarted.
    """

    def __init__(self) -> None:
        self.slow_factor = 1.0
        self.crash_on: set[str] = set()
        self.drop_after_tokens = 0
        self.paused = False
        self.down = False


class GeneratedToken(NamedTuple):
    """One token of an answer, with the token counts of its prompt."""

    text: str
    index: int
    cached_tokens: int
    prompt_tokens: int


class RunRecord(NamedTuple):
    """One request that the engine began to run; `prefilled_tokens` were not in the cache."""

    request_id: str
    prompt: str
    prefilled_tokens: int


class EngineModel:
    """An engine that admits requests in order of arrival and batches them continuously.

    Attributes
    ----------
    runs : list of RunRecord
        All requests that it began to run.
    running : int
        Occupied batch slots.
    waiting : deque of Event
        One event for each request that waits for a slot.
    cache : OrderedDict of str to int
        Tokens of each cached block, by the prefix that ends with it, least recently used first.
    events : deque of dict
        The latest changes of the cache, at most 1000.
    """

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
        """Run a request and yield its tokens.

        Raises
        ------
        EngineCrash
            If the engine crashes or a fault breaks the stream.
        """
        await self._acquire_slot()
        try:
            prompt_tokens = -(-len(prompt) // CHARS_PER_TOKEN)
            cached = self._count_cached_tokens(prompt)
            self.runs.append(RunRecord(request_id, prompt, prompt_tokens - cached))
            await self._prefill(prompt, prompt_tokens - cached)
            for index in range(output_tokens):
                await self._decode_token()
                if self.faults.drop_after_tokens and index >= self.faults.drop_after_tokens:
                    raise EngineCrash("dropped")
                yield GeneratedToken(f"w{index} ", index, cached, prompt_tokens)
        finally:
            self._release_slot()

    async def _acquire_slot(self) -> None:
        if self.running < self.speed.batch_slots and not self.waiting:
            self.running += 1
            return
        slot_granted = anyio.Event()
        self.waiting.append(slot_granted)
        try:
            await slot_granted.wait()
        except BaseException:
            if slot_granted.is_set():
                # Cancelled after the slot was granted: the slot goes to the next in the queue.
                self._release_slot()
            else:
                self.waiting.remove(slot_granted)
            raise

    def _release_slot(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.running -= 1

    async def _prefill(self, prompt: str, tokens: int) -> None:
        async with self._prefill_lock:
            await self._sleep(tokens / self.speed.prefill_tokens_per_s)
        if any(text in prompt for text in self.faults.crash_on):
            self.crash()
            raise EngineCrash("crashed on a prompt")
        self._store(prompt)

    async def _decode_token(self) -> None:
        load = self.running / self.speed.batch_slots
        await self._sleep((1 + load) / 2 / self.speed.decode_tokens_per_s)
        if self.faults.down:
            raise EngineCrash("down")

    async def _sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds * self.faults.slow_factor)
        while self.faults.paused:
            await anyio.sleep(0.05)

    def crash(self) -> None:
        """Crash: running requests fail, and the cache is lost."""
        self.faults.down = True
        self.cache.clear()
        self.cached_tokens = 0

    def restart(self) -> None:
        """Accept requests again, with an empty cache."""
        self.faults.down = False

    def _blocks(self, prompt: str) -> list[str]:
        ends = range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS)
        return [prompt[:end] for end in ends]

    def _count_cached_tokens(self, prompt: str) -> int:
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
                self._record_cache_event(True, block)
            self.cache.move_to_end(block)
        while self.cached_tokens > self.speed.cache_tokens:
            block, size = self.cache.popitem(last=False)
            self.cached_tokens -= size
            self._record_cache_event(False, block)

    def _record_cache_event(self, stored: bool, block: str) -> None:
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
