"""Reads the memory usage of this process."""

import resource
from pathlib import Path

__all__ = ["resident_bytes"]

# The second field of this file is the resident set size in pages.
STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident set size in bytes; 0 where the system does not provide it."""
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
