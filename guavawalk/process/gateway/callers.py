"""Tracks the callers' connections of a gateway, and closes them when it shuts down."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.streams import reset_stream

__all__ = ["CallerTracker", "create_caller_tracker", "max_caller_connections"]

# Time after which `close_idle` ends a wait, in seconds. The event loop runs a task that a timer has
# cancelled before it reads from sockets, but one that another task has cancelled only after that:
# what it has read for it would be lost.
IDLE_END_DELAY_S = 0.001
# File descriptors reserved for the registry, peers, HTTP pages and files.
RESERVED_DESCRIPTORS = 220
# Time after which a connection without a request is idle rather than new, in seconds.
MIN_IDLE_S = 0.25


class _IdleWait(NamedTuple):
    """A connection's wait for its next request.

    Attributes
    ----------
    has_arrived : callable
        Returns whether a part of the request has arrived, read or not.
    began_s : float
        When it began, on the event loop's clock.
    """

    stream: ByteStream
    has_arrived: Callable[[], bool]
    began_s: float


class CallerTracker:
    """Counts running calls and open connections.

    Attributes
    ----------
    is_draining : bool
        Whether the process shuts down: answers announce that their connection closes.
    is_refusing : bool
        Whether new calls are refused, since they might not end before the process does.
    is_ending : bool
        Whether the calls under way are ended, since the process is about to be killed.
    ends_s : float
        When calls under way will be ended, on the process's monotonic clock; infinity until the
        process shuts down.
    calls : int
        Running calls.
    """

    def __init__(self) -> None:
        self.is_draining = False
        self.is_refusing = False
        self.is_ending = False
        self.ends_s = math.inf
        self.calls = 0
        self._streams: set[ByteStream] = set()
        self._forwarding: set[anyio.CancelScope] = set()
        # By the scope of the wait.
        self._idle: dict[anyio.CancelScope, _IdleWait] = {}
        # Connections of which `close_longest_idle` has ended the wait, and that haven't closed yet.
        self._closing: set[ByteStream] = set()
        self._changed = anyio.Event()

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._streams)

    @property
    def is_closing_idle(self) -> bool:
        """Whether a connection is about to close, or to go on, after `close_longest_idle`."""
        return bool(self._closing)

    @contextmanager
    def connection(self, stream: ByteStream) -> Iterator[None]:
        """Count a connection while it is open."""
        self._streams.add(stream)
        try:
            yield
        finally:
            self._streams.remove(stream)
            self._closing.discard(stream)
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
    def forwarding(self, scope: anyio.CancelScope) -> Iterator[None]:
        """Let `end_calls` cancel a scope, in which a call is forwarded to targets."""
        self._forwarding.add(scope)
        try:
            yield
        finally:
            self._forwarding.remove(scope)

    @contextmanager
    def idle(self, stream: ByteStream, has_arrived: Callable[[], bool]) -> Iterator[None]:
        """Mark a connection as waiting for its next request, so that `close_idle` ends the wait.

        Parameters
        ----------
        stream : ByteStream
            The connection.
        has_arrived : callable
            Returns whether a part of a request has arrived, read or not.
        """
        self._closing.discard(stream)
        scope = anyio.CancelScope()
        self._idle[scope] = _IdleWait(stream, has_arrived, anyio.current_time())
        try:
            with scope:
                yield
        finally:
            del self._idle[scope]
            if not scope.cancelled_caught:
                self._closing.discard(stream)

    def end_calls(self) -> None:
        """End the forwarding of all calls, and refuse new ones; each call is still answered."""
        self.is_draining = self.is_refusing = self.is_ending = True
        for scope in self._forwarding:
            scope.cancel()

    def close_idle(self) -> int:
        """End the connections that wait for a request of which nothing has arrived.

        Returns
        -------
        int
            Number of these connections.
        """
        closed = 0
        ends_at_s = anyio.current_time() + IDLE_END_DELAY_S
        for scope, wait in self._idle.items():
            if not wait.has_arrived():
                scope.deadline = ends_at_s
                closed += 1
        return closed

    def close_longest_idle(self, min_idle_s: float = 0.0) -> bool:
        """End the longest wait for a request of which nothing has arrived, if there is one.

        Parameters
        ----------
        min_idle_s : float
            Shortest time, in seconds, for which it has lasted.
        """
        now_s = anyio.current_time()
        for scope, wait in self._idle.items():
            if now_s - wait.began_s < min_idle_s:
                break
            if scope.deadline == math.inf and not wait.has_arrived():
                scope.deadline = now_s + IDLE_END_DELAY_S
                self._closing.add(wait.stream)
                return True
        return False

    async def wait_for_calls(self) -> None:
        """Wait until no call is running."""
        while self.calls:
            await self._changed.wait()

    async def wait_for_connections(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            await self._changed.wait()

    async def wait_connection_closed(self) -> None:
        """Wait until a connection closes or a call ends."""
        await self._changed.wait()

    async def reset_connections(self) -> None:
        """Close the open connections at once; answers that callers are slow to read are lost."""
        for stream in tuple(self._streams):
            await reset_stream(stream)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def max_caller_connections(max_descriptors: int) -> int:
    """Return how many connections of callers a process may have with a limit on descriptors.

    Each may need two: its own and one to a target.
    """
    return max((max_descriptors - RESERVED_DESCRIPTORS) // 2, 1)


def create_caller_tracker() -> CallerTracker:
    """Create a tracker without connections."""
    return CallerTracker()
