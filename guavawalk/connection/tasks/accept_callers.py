"""The task that accepts callers' connections at a gateway, while there is room for them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import ByteStream, Listener, TaskGroup

from guavawalk import events
from guavawalk.connection.socket_stream import TcpListener, TcpStream
from guavawalk.connection.tasks.serve_caller import serve_caller
from guavawalk.process.gateway.callers import MIN_IDLE_S, max_caller_connections
from guavawalk.process.supervise import serve_guarded

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["accept_callers"]

# Longest time for which a new connection waits until others have closed, in seconds.
ROOM_WAIT_S = 1.0
# Interval at which a further connection closes meanwhile, in seconds.
CLOSE_EVERY_S = 0.01
# Most requests that are refused at a time in favour of new connections. Those whose callers go on
# sending stay open for some time after it.
MAX_REFUSED_OPEN = 32


async def accept_callers(gateway: Gateway, listener: TcpListener) -> None:
    """Accept and serve callers until the listener is closed and their connections have ended.

    While all connections are in use, the kernel holds new ones until others have closed in their
    favour. One for which none closes in time is closed unread.
    """
    max_callers = max_caller_connections(gateway.settings.max_descriptors)

    async def serve(stream: ByteStream) -> None:
        if gateway.callers.connections < max_callers:
            await serve_caller(gateway, stream)
            return
        gateway.metrics.count("callers_turned_away_total")
        gateway.log.emit(events.CALLER_TURNED_AWAY, connections=gateway.callers.connections)
        await anyio.aclose_forcefully(stream)

    async def wait_for_room() -> None:
        with anyio.move_on_after(ROOM_WAIT_S):
            while gateway.callers.connections >= max_callers and _close_another(gateway):
                with anyio.move_on_after(CLOSE_EVERY_S):
                    await gateway.callers.wait_connection_closed()

    await serve_guarded(gateway.log, "caller", _PatientListener(listener, wait_for_room), serve)


def _close_another(gateway: Gateway) -> bool:
    """Close the connection that has waited longest without a request, if there is one.

    Otherwise one is closed whose request makes no progress, or waits for room or for processor
    time, or else one that is new. It closes shortly after.

    Returns
    -------
    bool
        Whether a connection is about to close.
    """
    callers = gateway.callers
    return (
        callers.is_closing_idle
        or gateway.input.refused_open >= MAX_REFUSED_OPEN
        or callers.close_longest_idle(MIN_IDLE_S)
        or gateway.input.refuse_inactive(anyio.current_time())
        or gateway.read_turns.refuse_costliest()
        or callers.close_longest_idle()
    )


class _PatientListener(Listener[TcpStream]):
    """A listener that accepts a connection once there is room for it."""

    def __init__(self, listener: TcpListener, wait_for_room: Callable[[], Awaitable[None]]) -> None:
        self._listener = listener
        self._wait_for_room = wait_for_room

    async def serve(
        self,
        handler: Callable[[TcpStream], Awaitable[Any]],
        task_group: TaskGroup | None = None,
    ) -> None:
        """Accept connections, and serve each in a task of the group; without one, of its own."""
        if task_group is None:
            async with anyio.create_task_group() as own:
                await self.serve(handler, own)
        while True:
            await self._listener.wait_connection()
            await self._wait_for_room()
            task_group.start_soon(handler, await self._listener.accept())

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()
