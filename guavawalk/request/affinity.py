"""Rendezvous hashing of prompt prefixes: entries agree on a target without talking."""

import heapq
from collections.abc import Sequence
from functools import lru_cache
from math import log

import xxhash

__all__ = ["AFFINITY_LEVELS", "affinity_key", "affinity_order", "affinity_tokens"]

AFFINITY_LEVELS = (32, 8, 2)
AFFINITY_TARGETS = 4
ORDERS_KEPT = 8_192
NAMES_KEPT = 8_192
_MASK = (1 << 64) - 1
_FIRST_FACTOR = 0x9E3779B97F4A7C15
_SECOND_FACTOR = 0xC2B2AE3D27D4EB4F


def affinity_key(prefix_hashes: Sequence[int]) -> int:
    """Return the hash of the longest prefix that is a level, or 0 for a prompt without one.

    Notes
    -----
    The end of a prompt is its own; a level is short enough to be shared by many.
    """
    return next((prefix_hashes[n - 1] for n in AFFINITY_LEVELS if n <= len(prefix_hashes)), 0)


def affinity_tokens(prefix_hashes: Sequence[int], block_tokens: int) -> int:
    """Return the length of the prefix behind `affinity_key`."""
    level = next((n for n in AFFINITY_LEVELS if n <= len(prefix_hashes)), 0)
    return level * block_tokens


@lru_cache(maxsize=ORDERS_KEPT)
def affinity_order(key: int, names: tuple[str, ...], weights: tuple[float, ...]) -> tuple[str, ...]:
    """Return the first targets for a key by weighted rendezvous hashing.

    Parameters
    ----------
    weights : tuple of float
        A target is first for a share of the keys that is in proportion to its weight.

    Notes
    -----
    A target that goes moves only the keys that were its own. Every entry that knows the same
    names and weights gets the same order.

    Examples
    --------
    >>> order = affinity_order(7, ("a", "b", "c"), (1.0, 1.0, 1.0))
    >>> rest = tuple(name for name in ("a", "b", "c") if name != order[0])
    >>> affinity_order(7, rest, (1.0, 1.0)) == order[1:]
    True
    """
    scores = [weight / -log(_uniform(name, key)) for name, weight in zip(names, weights)]
    places = heapq.nlargest(AFFINITY_TARGETS, range(len(names)), key=scores.__getitem__)
    return tuple(names[place] for place in places)


def _uniform(name: str, key: int) -> float:
    """Return a number between 0 and 1, both excluded."""
    mixed = ((_seed(name) ^ key) * _FIRST_FACTOR) & _MASK
    mixed = ((mixed ^ (mixed >> 29)) * _SECOND_FACTOR) & _MASK
    return ((mixed >> 12) + 0.5) / (1 << 52)


@lru_cache(maxsize=NAMES_KEPT)
def _seed(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
