"""Estimates which prompt prefixes are cached at which targets."""

from collections import OrderedDict
from collections.abc import Sequence

from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.request.types import Usage

__all__ = ["BLOCK_TOKENS", "CacheView", "create_cache_view"]

BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
# Targets that the index keeps for each block: those that were sent it last.
MAX_TARGETS_PER_BLOCK = 6
# Weight of one answer in the moving average of a target's hit ratio, and the ratio's lower bound.
HIT_RATIO_STEP = 0.1
MIN_HIT_RATIO = 0.05


class CacheView:
    """An LRU index of prefix blocks, with the targets that were last sent each block.

    Notes
    -----
    A block is expected to be cached at the targets to which this entry has sent it. The hit ratio
    of a target is the share of the expected tokens that its engine then reported as cached,
    averaged over its answers; it is 1 before the first answer. Estimates for the target are
    multiplied by it. The least recently sent block is evicted first.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._targets_by_block: OrderedDict[int, dict[str, None]] = OrderedDict()
        self._hit_ratios: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of blocks in the index."""
        return len(self._targets_by_block)

    def record_sent(self, name: str, prefix_hashes: Sequence[int]) -> None:
        """Record that a target was sent a prompt with these prefix blocks."""
        for block in prefix_hashes:
            targets = self._targets_by_block.setdefault(block, {})
            targets.pop(name, None)
            targets[name] = None
            if len(targets) > MAX_TARGETS_PER_BLOCK:
                del targets[next(iter(targets))]
            self._targets_by_block.move_to_end(block)
        while len(self._targets_by_block) > self._max_blocks:
            self._targets_by_block.popitem(last=False)

    def record_usage(self, name: str, expected_tokens: int, usage: Usage) -> None:
        """Update a target's hit ratio with the cached tokens that its engine reported.

        Parameters
        ----------
        expected_tokens : int
            Tokens that were expected to be cached; nothing is recorded if it is 0.
        usage : Usage
            Token counts of the answer; nothing is recorded if it has no prompt tokens.
        """
        if expected_tokens <= 0 or usage.prompt_tokens <= 0:
            return
        found = min(1.0, usage.cached_tokens / expected_tokens)
        hit_ratio = self._hit_ratios.get(name, 1.0)
        self._hit_ratios[name] = max(
            MIN_HIT_RATIO, hit_ratio + HIT_RATIO_STEP * (found - hit_ratio)
        )

    def forget_target(self, name: str) -> None:
        """Remove a target from all blocks, since its cache is lost; its hit ratio stays."""
        for targets in self._targets_by_block.values():
            targets.pop(name, None)

    def cached_tokens(self, prefix_hashes: Sequence[int]) -> dict[str, int]:
        """Return the expected length of the cached prefix by target, in tokens.

        Parameters
        ----------
        prefix_hashes : sequence of int
            Hashes of the prompt's blocks; each covers the whole prefix up to its block.

        Returns
        -------
        dict of str to int
            Ordered by the number of cached blocks, most first; targets without any are left out.
            Shorter prefixes are not looked up once `MAX_TARGETS_PER_BLOCK` targets are found.
        """
        found: dict[str, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            targets = self._targets_by_block.get(prefix_hashes[index], ())
            # Targets that were sent a longer prefix were sent this one too, so they are among
            # `targets`; it has new ones only if it has more.
            if len(targets) <= len(found):
                continue
            for name in targets:
                if name not in found:
                    found[name] = int((index + 1) * BLOCK_TOKENS * self._hit_ratios.get(name, 1.0))
            if len(found) >= MAX_TARGETS_PER_BLOCK:
                break
        return found


def create_cache_view(max_blocks: int = 50_000) -> CacheView:
    """Create an empty view that holds at most `max_blocks` prefix blocks."""
    return CacheView(max_blocks)
