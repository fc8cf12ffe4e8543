"""Avoids a target for a time after failures, then probes it before it is used normally."""

__all__ = ["Quarantine", "create_quarantine"]

FIRST_AVOID_S = 1.0
MAX_AVOID_S = 30.0
# Each further failure in a row multiplies the time for which the target is avoided by this.
AVOID_FACTOR = 2.0


class Quarantine:
    """Failure state of one target: avoided for a time, then probed by one request at a time.

    Attributes
    ----------
    failures : int
        Failures in a row.
    avoided_until_s : float
        Time until which no request is admitted, in seconds of the caller's clock; 0 if the target
        has not failed since its last success.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.avoided_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Avoid the target, twice as long after each failure in a row, up to `MAX_AVOID_S`.

        Notes
        -----
        Failures while the target is avoided are ignored: requests that were running at the same
        time and fail together count as one failure.
        """
        if now_s < self.avoided_until_s:
            return
        self.failures += 1
        avoid_s = FIRST_AVOID_S * AVOID_FACTOR ** min(self.failures - 1, 10)
        self.avoided_until_s = now_s + min(MAX_AVOID_S, avoid_s)

    def record_success(self) -> None:
        """End the quarantine and reset the number of failures."""
        self.failures = 0
        self.avoided_until_s = 0.0

    def admits(self, now_s: float, own_running: int) -> bool:
        """Return whether a request may be sent to the target.

        Parameters
        ----------
        own_running : int
            Attempts of this entry that run at the target.

        Notes
        -----
        After a failure, requests are admitted one at a time until one succeeds.
        """
        if now_s < self.avoided_until_s:
            return False
        return not self.failures or own_running == 0


def create_quarantine() -> Quarantine:
    """Create the state of a target that has not failed."""
    return Quarantine()
