"""Which targets are avoided after errors, for how long, and how they are tried again."""

__all__ = ["Quarantine", "create_quarantine"]

FIRST_AVOID_S = 1.0
MAX_AVOID_S = 30.0
AVOID_FACTOR = 2.0


class Quarantine:
    """The state of one target: avoided until a time, then probed by one request at a time."""

    def __init__(self) -> None:
        self.failures = 0
        self.avoided_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Avoid the target, twice as long for each failure in a row.

        Notes
        -----
        Failures of requests that were under way together count once.
        """
        if now_s < self.avoided_until_s:
            return
        self.failures += 1
        avoid_s = FIRST_AVOID_S * AVOID_FACTOR ** min(self.failures - 1, 10)
        self.avoided_until_s = now_s + min(MAX_AVOID_S, avoid_s)

    def record_success(self) -> None:
        """Trust the target again."""
        self.failures = 0
        self.avoided_until_s = 0.0

    def admits(self, now_s: float, own_running: int) -> bool:
        """Say whether a request may be sent; on probation only one at a time."""
        if now_s < self.avoided_until_s:
            return False
        return not self.failures or own_running == 0


def create_quarantine() -> Quarantine:
    """Create the state of a target without failures."""
    return Quarantine()
