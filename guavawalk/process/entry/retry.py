"""Retry budgets: how often an entry may offer a request again."""

from typing import Protocol

__all__ = ["RetryBudget", "create_attempt_cap"]


class RetryBudget(Protocol):
    """Permission to offer again after `NOT_RUN`."""

    def note_request(self, workspace: str) -> None:
        """Count a request's first attempt."""
        ...

    def take(self, workspace: str, attempts: int) -> bool:
        """Say whether a request with `attempts` made may make another."""
        ...

    def backoff_s(self, attempts: int) -> float:
        """Return how long to wait before the next attempt."""
        ...


class AttemptCap:
    """A bound on the attempts of each request."""

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts

    def note_request(self, workspace: str) -> None:
        """Do nothing."""

    def take(self, workspace: str, attempts: int) -> bool:
        """Allow below the cap."""
        return attempts < self._max_attempts

    def backoff_s(self, attempts: int) -> float:
        """Wait nothing."""
        return 0.0


def create_attempt_cap(max_attempts: int = 4) -> RetryBudget:
    """Create a budget that only caps the attempts of each request."""
    return AttemptCap(max_attempts)
