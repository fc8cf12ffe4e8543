"""Limits of each workspace, as one entry keeps them."""

from typing import Protocol

from guavawalk.request.types import Work

__all__ = ["Limiter", "create_no_limiter"]


class Limiter(Protocol):
    """Admission by workspace."""

    def admit(self, work: Work) -> None:
        """Count a request in; `RequestError` with a `LIMIT_*` code if it is over a limit."""
        ...

    def release(self, work: Work) -> None:
        """Count an admitted request out."""
        ...


class NoLimiter:
    """No limits."""

    def admit(self, work: Work) -> None:
        """Admit it."""

    def release(self, work: Work) -> None:
        """Do nothing."""


def create_no_limiter() -> Limiter:
    """Create a limiter that admits everything."""
    return NoLimiter()
