"""Tracks the callers' connections of a gateway, and closes them when it shuts down."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

__all__ = ["CallerTracker", "create_caller_tracker"]


class CallerTracker:
    """Counts running calls and open connections.

    Attributes
    ----------
    is_draining : bool
        Whether the process shuts down: answers announce that their connection closes.
    is_refusing : bool
        Whether new calls are refused, since they might not end before the process does.
    calls : int
        Running calls.
    connections : int
        Open connections of callers.
    """

    def __init__(self) -> None:
        self.is_draining = False
        self.is_refusing = False
        self.calls = 0
        self.connections = 0
        self._idle: dict[anyio.CancelScope, Callable[[], bool]] = {}
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
        """Count a call while it runs."""
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1
            self._notify()

    @contextmanager
    def idle(self, is_receiving: Callable[[], bool]) -> Iterator[None]:
        """Mark a connection as waiting for its next request, so that `close_idle` ends the wait.

        Parameters
        ----------
        is_receiving : callable
            Returns whether a part of a request has arrived.
        """
        scope = anyio.CancelScope()
        self._idle[scope] = is_receiving
        try:
            with scope:
                yield
        finally:
            del self._idle[scope]

    def close_idle(self) -> None:
        """End the connections that wait for a request of which nothing has arrived."""
        for scope, is_receiving in self._idle.items():
            if not is_receiving():
                scope.cancel()

    async def wait_for_calls(self) -> None:
        """Wait until no call is running."""
        while self.calls:
            await self._changed.wait()

    async def wait_for_connections(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def create_caller_tracker() -> CallerTracker:
    """Create a tracker without connections."""
    return CallerTracker()
