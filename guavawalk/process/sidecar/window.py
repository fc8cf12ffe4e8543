"""Bounds how many attempts a sidecar has dispatched at once."""

from typing import Protocol

from guavawalk.request.attempt import Attempt

__all__ = ["DEFAULT_WINDOW", "WINDOWS", "DispatchWindow", "create_fixed_window"]

# Kinds of dispatch window that the settings may name.
WINDOWS = ("adaptive", "fixed")
DEFAULT_WINDOW = "adaptive"


class DispatchWindow(Protocol):
    """Bound on the attempts that run at the target.

    Attributes
    ----------
    size : int
        Number of attempts that may run at once.
    first_token_ms : float
        Recent time from dispatch to first token; 0.0 if not known.
    decode_tokens_per_s : float
        Recent token rate of one stream; 0.0 if not known.
    prefill_tokens_per_s : float
        Recent rate at which the engine computes prompts; 0.0 if not known.
    """

    size: int
    first_token_ms: float
    decode_tokens_per_s: float
    prefill_tokens_per_s: float

    def admits(self, attempt: Attempt, running: int) -> bool:
        """Return whether an attempt may be dispatched while `running` others run."""
        ...

    def has_long_slot(self) -> bool:
        """Return whether the limit on long attempts leaves room for one more."""
        ...

    def record_dispatch(self, attempt: Attempt) -> None:
        """Record the dispatch of an attempt."""
        ...

    def record_end(self, attempt: Attempt) -> None:
        """Record that a dispatched attempt no longer runs."""
        ...

    def observe_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Record the time from dispatch to first token, after which the window may admit more."""
        ...

    def observe_tokens(self, attempt: Attempt, tokens: int, elapsed_ms: float) -> bool:
        """Record tokens that came `elapsed_ms` after the last; return whether the window grew."""
        ...


class FixedWindow:
    """Dispatch window of constant size, without a limit on long attempts."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.first_token_ms = 0.0
        self.decode_tokens_per_s = 0.0
        self.prefill_tokens_per_s = 0.0

    def admits(self, attempt: Attempt, running: int) -> bool:
        """Return whether fewer attempts run than the size."""
        return running < self.size

    def has_long_slot(self) -> bool:
        """Return True, since long attempts are not limited."""
        return True

    def record_dispatch(self, attempt: Attempt) -> None:
        """Do nothing."""

    def record_end(self, attempt: Attempt) -> None:
        """Do nothing."""

    def observe_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Keep the last value."""
        self.first_token_ms = elapsed_ms

    def observe_tokens(self, attempt: Attempt, tokens: int, elapsed_ms: float) -> bool:
        """Keep the last rate; return False."""
        if elapsed_ms > 0:
            self.decode_tokens_per_s = tokens * 1000 / elapsed_ms
        return False


def create_fixed_window(size: int) -> DispatchWindow:
    """Create a window of constant size."""
    return FixedWindow(size)
