"""The size of a dispatch window, from how fast the engine's streams go."""

__all__ = ["WindowController", "create_window_controller"]

START_SHARE = 0.5
MIN_SHARE = 0.5
SHRINK_FACTOR = 0.8
SHRINK_ABOVE = 1.15
GROW_BELOW = 0.95
PERIOD_S = 0.25
MIN_TOKENS = 8
LATE_FIRST_TOKENS = 2


class WindowController:
    """Additive growth, multiplicative shrinking, and a band between in which nothing changes.

    Attributes
    ----------
    size : int
        Between `MIN_SHARE` of the maximum, at least 1, and the maximum.
    gap_ms : float
        Mean time between two tokens of a stream over the last whole period.

    Notes
    -----
    A period ends after `PERIOD_S` and `MIN_TOKENS` tokens. It shrinks the window if the gap was
    past the target or first tokens came late; it grows it by one if the gap was well under the
    target and something waited for a slot.
    """

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = max(round(max_size * START_SHARE), 1)
        self.gap_ms = 0.0
        self._period_start_s = 0.0
        self._tokens = 0
        self._elapsed_ms = 0.0
        self._late_first_tokens = 0
        self._was_full = False

    @property
    def min_size(self) -> int:
        """Least size."""
        return max(round(self.max_size * MIN_SHARE), 1)

    def set_max_size(self, max_size: int) -> None:
        """Set another maximum."""
        self.max_size = max_size
        self.size = min(self.size, max_size)

    def record_full(self) -> None:
        """Note that an attempt was held back for want of a slot."""
        self._was_full = True

    def record_late_first_token(self) -> None:
        """Note a first token that came far later than its prompt explains."""
        self._late_first_tokens += 1

    def record_tokens(self, tokens: int, elapsed_ms: float, target_ms: float, now_s: float) -> bool:
        """Note tokens of one stream; return whether the window grew."""
        self._tokens += tokens
        self._elapsed_ms += elapsed_ms
        if self._tokens < MIN_TOKENS or now_s - self._period_start_s < PERIOD_S:
            return False
        before = self.size
        self.gap_ms = self._elapsed_ms / self._tokens
        self._adjust_size(target_ms)
        self._start_period(now_s)
        return self.size > before

    def _adjust_size(self, target_ms: float) -> None:
        if self.gap_ms > target_ms * SHRINK_ABOVE or self._late_first_tokens >= LATE_FIRST_TOKENS:
            shrunk = min(int(self.size * SHRINK_FACTOR), self.size - 1)
            self.size = max(shrunk, self.min_size)
        elif self.gap_ms < target_ms * GROW_BELOW and self._was_full:
            self.size = min(self.size + 1, self.max_size)

    def _start_period(self, now_s: float) -> None:
        self._period_start_s = now_s
        self._tokens = 0
        self._elapsed_ms = 0.0
        self._late_first_tokens = 0
        self._was_full = False


def create_window_controller(max_size: int) -> WindowController:
    """Create the pace of a window that may grow to `max_size`."""
    return WindowController(max_size)
