"""Adapts the size of a dispatch window to the time between the tokens of the engine's streams."""

__all__ = ["WindowController", "create_window_controller"]

# Size at the start and least size of the window, as shares of its maximum.
START_SHARE = 0.5
MIN_SHARE = 0.5
# Factor by which the window shrinks.
SHRINK_FACTOR = 0.8
# Multiples of the wanted token gap: the window shrinks above the first, may grow below the second.
SHRINK_ABOVE = 1.15
GROW_BELOW = 0.95
# Least duration and least number of tokens of a control period.
PERIOD_S = 0.25
MIN_TOKENS = 8
# Number of late first tokens in one period for which the window shrinks.
LATE_FIRST_TOKENS = 2


class WindowController:
    """Additive-increase, multiplicative-decrease control of a window's size, with a dead band.

    Attributes
    ----------
    max_size : int
        Upper bound of the size.
    size : int
        Between `MIN_SHARE` of the maximum, at least 1, and the maximum; less after a higher maximum
        was set.
    gap_ms : float
        Mean time between two tokens of a stream over the last whole period; 0.0 before the first.

    Notes
    -----
    A period ends after `PERIOD_S` seconds and `MIN_TOKENS` tokens. The window then shrinks if the
    mean gap was above `SHRINK_ABOVE` times its target, or if `LATE_FIRST_TOKENS` first tokens were
    late. It grows by one if the gap was below `GROW_BELOW` times the target and an attempt waited
    for a slot. In between, the size stays as it is.
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
        """Least size that shrinking leaves; at least 1."""
        return max(round(self.max_size * MIN_SHARE), 1)

    def set_max_size(self, max_size: int) -> None:
        """Set the maximum, and reduce the size to it if it is larger."""
        self.max_size = max_size
        self.size = min(self.size, max_size)

    def record_full(self) -> None:
        """Record that an attempt was not admitted for lack of a slot."""
        self._was_full = True

    def record_late_first_token(self) -> None:
        """Record a first token that came much later than its prompt explains."""
        self._late_first_tokens += 1

    def record_tokens(self, tokens: int, elapsed_ms: float, target_ms: float, now_s: float) -> bool:
        """Record tokens of one stream; return whether the window grew.

        Parameters
        ----------
        elapsed_ms : float
            Time since the previous tokens of the same stream.
        target_ms : float
            Wanted time between two tokens of a stream.
        """
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
    """Create the controller of a window that may grow to `max_size`."""
    return WindowController(max_size)
