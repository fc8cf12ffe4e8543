"""Weighted rendezvous hashing of prompt prefixes.

Entries that know the same targets compute the same order for a prefix without exchanging messages.
"""

import heapq
from collections.abc import Sequence
from functools import lru_cache
from math import log

import xxhash

__all__ = ["AFFINITY_LEVELS", "affinity_key", "affinity_order", "affinity_tokens"]

# Prefix lengths that are hashed to targets, in blocks, longest first.
AFFINITY_LEVELS = (32, 8, 2)
# Largest number of targets that are returned for a key.
AFFINITY_TARGETS = 4
# Sizes of the caches of orders and of hashed names, in entries; the least recently used is evicted.
ORDER_CACHE_ENTRIES = 8_192
NAME_CACHE_ENTRIES = 8_192
_MASK = (1 << 64) - 1
_FIRST_MULTIPLIER = 0x9E3779B97F4A7C15
_SECOND_MULTIPLIER = 0xC2B2AE3D27D4EB4F


def affinity_key(prefix_hashes: Sequence[int]) -> int:
    """Return the hash of the longest prefix of a prompt that has a length of `AFFINITY_LEVELS`.

    Parameters
    ----------
    prefix_hashes : sequence of int
        Hashes of the block prefixes, shortest first.

    Returns
    -------
    int
        0 if the prompt is shorter than the shortest of these lengths.

    Notes
    -----
    The whole prompt is not used: its end is usually unique, while a prefix of one of these lengths
    is shared by many prompts.
    """
    return next((prefix_hashes[n - 1] for n in AFFINITY_LEVELS if n <= len(prefix_hashes)), 0)


def affinity_tokens(prefix_hashes: Sequence[int], block_tokens: int) -> int:
    """Return the length in tokens of the prefix that `affinity_key` hashes, or 0 without one."""
    level = next((n for n in AFFINITY_LEVELS if n <= len(prefix_hashes)), 0)
    return level * block_tokens


@lru_cache(maxsize=ORDER_CACHE_ENTRIES)
def affinity_order(key: int, names: tuple[str, ...], weights: tuple[float, ...]) -> tuple[str, ...]:
    """Return the names of the best targets for a key, at most `AFFINITY_TARGETS`, best first.

    Parameters
    ----------
    weights : tuple of float
        Weight of each name, above 0. A target is first for a share of the keys in proportion to
        its weight.

    Notes
    -----
    Removing a target reassigns only the keys for which it was first. Every entry with the same
    names and weights gets the same order.

    Examples
    --------
    >>> order = affinity_order(7, ("a", "b", "c"), (1.0, 1.0, 1.0))
    >>> rest = tuple(name for name in ("a", "b", "c") if name != order[0])
    >>> affinity_order(7, rest, (1.0, 1.0)) == order[1:]
    True
    """
    scores = [weight / -log(_uniform(name, key)) for name, weight in zip(names, weights)]
    best = heapq.nlargest(AFFINITY_TARGETS, range(len(names)), key=scores.__getitem__)
    return tuple(names[position] for position in best)


def _uniform(name: str, key: int) -> float:
    """Return a hash of a name and a key as a number between 0 and 1, both excluded."""
    bits = ((_name_hash(name) ^ key) * _FIRST_MULTIPLIER) & _MASK
    bits = ((bits ^ (bits >> 29)) * _SECOND_MULTIPLIER) & _MASK
    return ((bits >> 12) + 0.5) / (1 << 52)


@lru_cache(maxsize=NAME_CACHE_ENTRIES)
def _name_hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
