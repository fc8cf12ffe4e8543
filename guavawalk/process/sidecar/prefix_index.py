"""Estimates which prompt prefixes the engine has cached, from computed prompts and cache events."""

from collections import OrderedDict
from collections.abc import Sequence

from guavawalk.connection.target import CacheEvents
from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.version.types import Configuration

__all__ = ["BLOCK_TOKENS", "PrefixIndex", "cache_capacity_blocks", "create_prefix_index"]

# Tokens of one block of a prompt, the unit of prefix hashes.
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
# Capacity assumed for an engine's cache where the configuration gives none.
DEFAULT_BLOCKS = 1_024
# Bound on the capacity of the index, also for engines with larger caches.
MAX_INDEX_BLOCKS = 16_384
# Length of the list of sent prefixes, as a multiple of the cache's capacity.
SENT_FACTOR = 4


class PrefixIndex:
    """Prefix hashes of the prompts sent to the engine, least recently used first.

    Attributes
    ----------
    last_sequence : int
        Sequence number of the last cache event applied; 0 before the first.
    gaps : int
        How often cache events were missing between two replies of the engine.

    Notes
    -----
    The prompts sent by this sidecar are the main source. Cache events come late and with gaps, so
    they only add or remove single blocks. A second, larger list holds the prefixes sent recently,
    whether still cached or not. It distinguishes a prefix that is computed again from a new one.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self.last_sequence = 0
        self.gaps = 0
        self._capacity = capacity_blocks
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._sent: OrderedDict[int, None] = OrderedDict()

    @property
    def total_cached_tokens(self) -> int:
        """Number of tokens expected to be in the engine's cache."""
        return len(self._cached) * BLOCK_TOKENS

    def set_capacity(self, capacity_blocks: int) -> None:
        """Set the capacity of the engine's cache, and evict the blocks beyond it."""
        self._capacity = capacity_blocks
        self._trim()

    def cached_tokens(self, prefix_hashes: Sequence[int]) -> int:
        """Return the tokens of the longest prefix that is expected to be in the engine's cache."""
        return _leading_blocks(self._cached, prefix_hashes) * BLOCK_TOKENS

    def seen_tokens(self, prefix_hashes: Sequence[int]) -> int:
        """Return the tokens of the longest prefix that was sent to the engine recently."""
        return _leading_blocks(self._sent, prefix_hashes) * BLOCK_TOKENS

    def record_computed(self, prefix_hashes: Sequence[int]) -> None:
        """Record that the engine has computed a prompt."""
        for prefix_hash in prefix_hashes:
            for blocks in (self._cached, self._sent):
                blocks[prefix_hash] = None
                blocks.move_to_end(prefix_hash)
        self._trim()

    def apply_events(self, received: CacheEvents) -> None:
        """Apply cache events of the engine, except those up to `last_sequence`."""
        if received.oldest > self.last_sequence + 1:
            self.gaps += 1
        for event in received.events:
            if event.sequence <= self.last_sequence:
                continue
            self.last_sequence = event.sequence
            if event.stored:
                self._cached.setdefault(event.prefix_hash)
            else:
                self._cached.pop(event.prefix_hash, None)
        self._trim()

    def clear(self) -> None:
        """Remove all cached prefixes after the engine has lost its cache; keep the sent ones."""
        self._cached.clear()

    def _trim(self) -> None:
        while len(self._cached) > self._capacity:
            self._cached.popitem(last=False)
        while len(self._sent) > self._capacity * SENT_FACTOR:
            self._sent.popitem(last=False)


def _leading_blocks(blocks: OrderedDict[int, None], prefix_hashes: Sequence[int]) -> int:
    for index, prefix_hash in enumerate(prefix_hashes):
        if prefix_hash not in blocks:
            return index
    return len(prefix_hashes)


def cache_capacity_blocks(configuration: Configuration | None, target_name: str) -> int:
    """Return how many blocks the cache of a target's generation holds.

    Notes
    -----
    At least 1 and at most `MAX_INDEX_BLOCKS`; `DEFAULT_BLOCKS` where the configuration is None or
    gives no capacity.
    """
    if configuration is None:
        return DEFAULT_BLOCKS
    target = configuration.targets.get(target_name)
    generation = configuration.generations.get(target.generation) if target else None
    if generation is None or generation.cache_tokens <= 0:
        return DEFAULT_BLOCKS
    return min(max(generation.cache_tokens // BLOCK_TOKENS, 1), MAX_INDEX_BLOCKS)


def create_prefix_index(capacity_blocks: int = DEFAULT_BLOCKS) -> PrefixIndex:
    """Create an empty index."""
    return PrefixIndex(capacity_blocks)
