"""Opens connections to targets and pools idle ones for further requests."""

from collections import deque

from anyio.abc import ByteStream

from guavawalk.connection.response_reader import ResponseReader
from guavawalk.connection.streams import (
    CONNECT_TIMEOUT_S,
    has_input,
    open_stream,
    reset_stream,
)

__all__ = ["ConnectionPool", "TargetConnection", "create_connection_pool"]

# Idle time, in seconds, after which a connection is closed if its target states no time-out.
DEFAULT_IDLE_S = 1.0
# Time before the end of a target's stated idle time-out, in seconds, from which a connection is no
# longer reused: the target may close it while the request is on its way.
IDLE_MARGIN_S = 0.5
# Most idle connections that are kept for one target. A target limits the number of its connections,
# and the other gateways need some of them.
MAX_IDLE_PER_TARGET = 8
# Number of the last requests on a connection whose ids are kept: a late answer is to one of them.
MAX_REQUEST_IDS = 16


class TargetConnection:
    """One connection to a target.

    Attributes
    ----------
    idle_since_s : float
        When it became idle, on the process's monotonic clock; 0 before its first answer.
    idle_limit_s : float
        Idle time after which it is not reused, in seconds.
    is_reused : bool
        Whether an earlier request was sent on it.
    request_ids : deque of str
        Ids of the last requests that were sent on it.
    """

    def __init__(self, target_id: str, stream: ByteStream) -> None:
        self.target_id = target_id
        self.stream = stream
        self.reader = ResponseReader(stream)
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.is_reused = False
        self.request_ids: deque[str] = deque(maxlen=MAX_REQUEST_IDS)

    async def aclose(self) -> None:
        """Reset the connection, which cancels a request that runs at the target."""
        await reset_stream(self.stream)


class ConnectionPool:
    """Idle connections by target.

    Attributes
    ----------
    opened : int
        Attempts to open a connection since the process started, failed ones included.
    """

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[str, deque[TargetConnection]] = {}

    async def acquire(
        self,
        target_id: str,
        address: str,
        max_idle_s: float,
        now_s: float,
        request_id: str,
    ) -> TargetConnection:
        """Return an idle connection to a target, or a new one, for a request.

        Idle connections are closed instead if they are too old, if the target has closed them or
        sent bytes on them, or if a request of the same id was sent on them: an answer to that one
        could not be told from the answer to this one.

        Parameters
        ----------
        address : str
            `IP:port` of the target.
        max_idle_s : float
            Idle time from which a connection is closed rather than reused, in seconds; with 0 a
            new one is always opened.

        Raises
        ------
        TargetConnectError
            If the target does not accept a connection.
        """
        idle = self._idle.get(target_id)
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            if (
                idle_s < min(max_idle_s, connection.idle_limit_s)
                and request_id not in connection.request_ids
                and not has_input(connection.stream)
            ):
                connection.is_reused = True
                break
            await connection.aclose()
        else:
            connection = await self.open(target_id, address)
        connection.request_ids.append(request_id)
        return connection

    async def open(
        self, target_id: str, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Open a connection to a target.

        Raises
        ------
        TargetConnectError
            If the target does not accept it within `timeout_s` seconds.
        """
        self.opened += 1
        return TargetConnection(target_id, await open_stream(address, timeout_s))

    async def release(
        self, connection: TargetConnection, stated_idle_s: float | None, now_s: float
    ) -> None:
        """Return a connection to the pool after a complete answer.

        Parameters
        ----------
        stated_idle_s : float, optional
            Idle time-out that the target stated, in seconds; None if it stated none.
        """
        if stated_idle_s is not None:
            connection.idle_limit_s = max(stated_idle_s - IDLE_MARGIN_S, 0.0)
        connection.idle_since_s = now_s
        idle = self._idle.setdefault(connection.target_id, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_TARGET:
            await idle.popleft().aclose()

    async def close_expired(self, now_s: float) -> None:
        """Close the connections that have been idle for their limit."""
        for target_id, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= idle[0].idle_limit_s:
                await idle.popleft().aclose()
            if not idle:
                self._idle.pop(target_id, None)

    async def discard_target(self, target_id: str) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self._idle.pop(target_id, ()):
            await connection.aclose()


def create_connection_pool() -> ConnectionPool:
    """Create a pool without connections."""
    return ConnectionPool()
