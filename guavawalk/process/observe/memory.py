"""Memory of this process."""

import resource
from pathlib import Path

__all__ = ["resident_bytes"]

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident memory now; 0 where the system does not say."""
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
