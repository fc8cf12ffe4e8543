"""Connections to targets, and those kept for another request."""

from collections import deque

from anyio.abc import ByteStream

from guavawalk.connection.response_reader import ResponseReader
from guavawalk.connection.streams import has_input, open_stream, reset_stream

__all__ = ["ConnectionPool", "TargetConnection", "create_connection_pool"]

# Idle time, in seconds, after which a target may have closed where it states no limit of its own.
DEFAULT_IDLE_S = 1.0
# A kept connection is left alone for this long before the target's own limit, in seconds.
IDLE_MARGIN_S = 0.5
# Connections kept for one target; more would hold places that other gateways need.
MAX_IDLE_PER_TARGET = 8


class TargetConnection:
    """One connection to a target.

    Attributes
    ----------
    idle_since_s : float
        When it was kept.
    idle_limit_s : float
        How long the target leaves it open.
    """

    def __init__(self, target_id: str, stream: ByteStream) -> None:
        self.target_id = target_id
        self.stream = stream
        self.reader = ResponseReader(stream)
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S

    async def aclose(self) -> None:
        """Close at once, which cancels what runs there."""
        await reset_stream(self.stream)


class ConnectionPool:
    """Kept connections by target.

    Attributes
    ----------
    opened : int
        Connections opened since the start.
    """

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[str, deque[TargetConnection]] = {}

    async def acquire(
        self, target_id: str, address: str, max_idle_s: float, now_s: float
    ) -> TargetConnection:
        """Return a kept connection that has been idle for less, or a new one.

        Raises
        ------
        TargetConnectError
            If the target takes no connection.
        """
        idle = self._idle.get(target_id)
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            if idle_s < min(max_idle_s, connection.idle_limit_s) and not has_input(
                connection.stream
            ):
                return connection
            await connection.aclose()
        self.opened += 1
        return TargetConnection(target_id, await open_stream(address))

    async def release(
        self, connection: TargetConnection, stated_idle_s: float | None, now_s: float
    ) -> None:
        """Keep a connection whose last answer was whole.

        Parameters
        ----------
        stated_idle_s : float, optional
            How long the target said that it leaves the connection open.
        """
        if stated_idle_s is not None:
            connection.idle_limit_s = max(stated_idle_s - IDLE_MARGIN_S, 0.0)
        connection.idle_since_s = now_s
        idle = self._idle.setdefault(connection.target_id, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_TARGET:
            await idle.popleft().aclose()

    async def close_expired(self, now_s: float) -> None:
        """Close the connections whose time is over."""
        for target_id, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= idle[0].idle_limit_s:
                await idle.popleft().aclose()
            if not idle:
                self._idle.pop(target_id, None)

    async def discard_target(self, target_id: str) -> None:
        """Close the kept connections of a target that is gone."""
        for connection in self._idle.pop(target_id, ()):
            await connection.aclose()


def create_connection_pool() -> ConnectionPool:
    """Create a pool without connections."""
    return ConnectionPool()
