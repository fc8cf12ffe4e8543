"""How ends of targets are named, timed and counted, wherever suspects are kept."""

import math
from collections.abc import Iterable

import xxhash

__all__ = [
    "COMMON_CAUSE_S",
    "EARLY_RUN_S",
    "SUSPECT_RETENTION_S",
    "age_ms",
    "age_s",
    "count_moments",
    "hash_target",
]

SUSPECT_RETENTION_S = 600.0
# Time within which the ends of several targets have a common cause, in seconds, unless one request
# was in flight at all of them.
COMMON_CAUSE_S = 0.3
# Time after its first event for which a run counts as having just begun, in seconds.
EARLY_RUN_S = 0.25
# Hashes keep 63 bits, so that they fit a signed 64-bit field.
_MASK = (1 << 63) - 1


def count_moments(ends_s: Iterable[float]) -> int:
    """Return the number of moments at which targets ended, `COMMON_CAUSE_S` apart or more."""
    count, since_s = 0, -math.inf
    for end_s in sorted(ends_s):
        if end_s - since_s >= COMMON_CAUSE_S:
            count, since_s = count + 1, end_s
    return count


def hash_target(name: str) -> int:
    """Return the 63-bit hash that stands for a target in messages to peers."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _MASK


def age_ms(now_s: float, at_s: float) -> int:
    """Return the age of a moment in whole milliseconds, as peers are told it; 0 at least."""
    return max(int((now_s - at_s) * 1000), 0)


def age_s(told_ms: int) -> float:
    """Return an age that a peer told, in seconds, from 0 to `SUSPECT_RETENTION_S`."""
    return min(max(told_ms / 1000, 0.0), SUSPECT_RETENTION_S)
