"""Interface through which a request's task answers the caller."""

from typing import Protocol

from guavawalk.request.types import Outcome

__all__ = ["Caller"]


class Caller(Protocol):
    """Destination of the answer to one request.

    Notes
    -----
    A front end for another protocol implements this and calls `process_request`.
    """

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Begin the answer.

        Parameters
        ----------
        status : int
            HTTP status of the target's answer.
        headers : tuple of str
            Alternating names and values.
        """
        ...

    async def send(self, data: bytes) -> None:
        """Forward the next bytes of the answer; calls come in order and without gaps."""
        ...

    async def finish(self, outcome: Outcome) -> None:
        """End the answer; send the error of the outcome if no answer has begun."""
        ...

    async def wait_disconnected(self) -> None:
        """Return once the caller has disconnected or no longer reads."""
        ...
