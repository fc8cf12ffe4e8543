"""The callers' connections of a gateway, and whether it takes more of them."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

__all__ = ["CallerTracker", "create_caller_tracker"]


class CallerTracker:
    """Calls under way and idle connections.

    Attributes
    ----------
    is_draining : bool
        Whether the process is ending: answers announce that their connection closes.
    is_refusing : bool
        Whether calls that come now are refused, since they might not end in time.
    calls : int
        Calls under way.
    connections : int
        Callers' connections that are open.
    """

    def __init__(self) -> None:
        self.is_draining = False
        self.is_refusing = False
        self.calls = 0
        self.connections = 0
        self._idle: set[anyio.CancelScope] = set()
        self._changed = anyio.Event()

    @contextmanager
    def connection(self) -> Iterator[None]:
        """Count a connection while it is open."""
        self.connections += 1
        try:
            yield
        finally:
            self.connections -= 1
            self._notify()

    @contextmanager
    def call(self) -> Iterator[None]:
        """Count a call while it is under way."""
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1
            self._notify()

    @contextmanager
    def idle(self) -> Iterator[None]:
        """Let `close_idle` end the wait for a connection's next request."""
        scope = anyio.CancelScope()
        self._idle.add(scope)
        try:
            with scope:
                yield
        finally:
            self._idle.discard(scope)

    def close_idle(self) -> None:
        """End the connections that wait for a request."""
        for scope in self._idle:
            scope.cancel()

    async def wait_for_calls(self) -> None:
        """Wait until no call is under way."""
        while self.calls:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def create_caller_tracker() -> CallerTracker:
    """Create a tracker without connections."""
    return CallerTracker()
