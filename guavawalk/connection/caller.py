"""The connection to a caller, as the carrying task sees it."""

from typing import Protocol

from guavawalk.request.types import Outcome

__all__ = ["Caller"]


class Caller(Protocol):
    """Where the answer of one request goes.

    Notes
    -----
    Another front end implements this and calls `process_request`.
    """

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Begin the answer."""
        ...

    async def send(self, data: bytes) -> None:
        """Pass bytes of the answer on; they come whole and in order."""
        ...

    async def finish(self, outcome: Outcome) -> None:
        """End the answer, or give the error if it never began."""
        ...

    async def wait_disconnected(self) -> None:
        """Return when the caller has left."""
        ...
