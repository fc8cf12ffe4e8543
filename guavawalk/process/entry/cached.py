"""Which prompt prefixes an entry believes to be cached at which target."""

from collections import OrderedDict
from collections.abc import Sequence

from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.request.types import Usage

__all__ = ["BLOCK_TOKENS", "CacheView", "create_cache_view"]

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
TARGETS_EACH = 6
TRUST_STEP = 0.1
MIN_TRUST = 0.05


class CacheView:
    """Prefix blocks by hash, each with the targets that were last sent it.

    Notes
    -----
    What this entry sent is the evidence; what the engine then found cached corrects it. The block
    used longest ago is forgotten first, and each block remembers the last few targets.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._targets_of: OrderedDict[int, dict[str, None]] = OrderedDict()
        self._trust: dict[str, float] = {}

    def __len__(self) -> int:
        """Count the blocks."""
        return len(self._targets_of)

    def record_sent(self, name: str, prefix_hashes: Sequence[int]) -> None:
        """Note that a target was given a prompt."""
        for block in prefix_hashes:
            targets = self._targets_of.setdefault(block, {})
            targets.pop(name, None)
            targets[name] = None
            if len(targets) > TARGETS_EACH:
                del targets[next(iter(targets))]
            self._targets_of.move_to_end(block)
        while len(self._targets_of) > self._max_blocks:
            self._targets_of.popitem(last=False)

    def record_usage(self, name: str, expected_tokens: int, usage: Usage) -> None:
        """Correct the trust in a target's cache by what the engine found there."""
        if expected_tokens <= 0 or usage.prompt_tokens <= 0:
            return
        found = min(1.0, usage.cached_tokens / expected_tokens)
        trust = self._trust.get(name, 1.0)
        self._trust[name] = max(MIN_TRUST, trust + TRUST_STEP * (found - trust))

    def forget_target(self, name: str) -> None:
        """Drop what was believed of a target whose cache is lost."""
        for targets in self._targets_of.values():
            targets.pop(name, None)

    def cached_tokens(self, prefix_hashes: Sequence[int]) -> dict[str, int]:
        """Return the expected length of the cached prefix at each target that has any."""
        found: dict[str, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            targets = self._targets_of.get(prefix_hashes[index], ())
            # Who was sent a longer prefix was sent this one too.
            if len(targets) <= len(found):
                continue
            for name in targets:
                if name not in found:
                    found[name] = int((index + 1) * BLOCK_TOKENS * self._trust.get(name, 1.0))
            if len(found) >= TARGETS_EACH:
                break
        return found


def create_cache_view(max_blocks: int = 50_000) -> CacheView:
    """Create a view of at most `max_blocks` prefix blocks."""
    return CacheView(max_blocks)
