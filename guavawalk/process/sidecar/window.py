"""How many attempts a sidecar has dispatched at once."""

from typing import Protocol

from guavawalk.request.attempt import Attempt

__all__ = ["DEFAULT_WINDOW", "WINDOWS", "DispatchWindow", "create_fixed_window"]

WINDOWS = ("adaptive", "fixed")
DEFAULT_WINDOW = "adaptive"


class DispatchWindow(Protocol):
    """The bound on attempts at the target.

    Attributes
    ----------
    size : int
        Attempts that may run at once.
    first_token_ms : float
        Recent time from dispatch to first token.
    decode_tokens_per_s : float
        Recent rate of one stream.
    prefill_tokens_per_s : float
        Recent rate of computing prompts; 0.0 if not known.
    """

    size: int
    first_token_ms: float
    decode_tokens_per_s: float
    prefill_tokens_per_s: float

    def admits(self, attempt: Attempt, running: int) -> bool:
        """Say whether an attempt may go out while `running` others run."""
        ...

    def has_long_slot(self) -> bool:
        """Say whether one more long attempt may go out, as far as long ones are bounded."""
        ...

    def record_dispatch(self, attempt: Attempt) -> None:
        """Note that an attempt goes out."""
        ...

    def record_end(self, attempt: Attempt) -> None:
        """Note that a dispatched attempt runs no more."""
        ...

    def observe_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Note the time from dispatch to first token; more may go out then."""
        ...

    def observe_tokens(self, attempt: Attempt, tokens: int, elapsed_ms: float) -> bool:
        """Note tokens that came `elapsed_ms` after the ones before; say if the window grew."""
        ...


class FixedWindow:
    """A window of one size."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.first_token_ms = 0.0
        self.decode_tokens_per_s = 0.0
        self.prefill_tokens_per_s = 0.0

    def admits(self, attempt: Attempt, running: int) -> bool:
        """Admit below the size."""
        return running < self.size

    def has_long_slot(self) -> bool:
        """Put no bound on long attempts."""
        return True

    def record_dispatch(self, attempt: Attempt) -> None:
        """Do nothing."""

    def record_end(self, attempt: Attempt) -> None:
        """Do nothing."""

    def observe_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Keep the last value."""
        self.first_token_ms = elapsed_ms

    def observe_tokens(self, attempt: Attempt, tokens: int, elapsed_ms: float) -> bool:
        """Keep the last rate."""
        if elapsed_ms > 0:
            self.decode_tokens_per_s = tokens * 1000 / elapsed_ms
        return False


def create_fixed_window(size: int) -> DispatchWindow:
    """Create a window that never changes."""
    return FixedWindow(size)
