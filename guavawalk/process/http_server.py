"""Serving an ASGI application inside a process that handles its own signals."""

import logging
from collections.abc import Callable
from contextlib import contextmanager

import anyio
import uvicorn
from anyio.abc import TaskStatus

from guavawalk.codes import ResultCode
from guavawalk.connection.address import format_address, split_address
from guavawalk.connection.http_listener import HEAD_TIMEOUT_S, create_h11_protocol

__all__ = ["serve_asgi"]

HEADER_LIMIT_BYTES = 64 * 1024
# A caller that reads slowly has this long for what is left of its answer at a shutdown.
SEND_OUT_S = 30

# The applications log their own numbered events; uvicorn's unnumbered lines are dropped.
_SERVER_LOG = logging.getLogger("uvicorn.error")
_SERVER_LOG.addHandler(logging.NullHandler())
_SERVER_LOG.propagate = False


class _QuietServer(uvicorn.Server):
    @contextmanager
    def capture_signals(self):
        # Signals belong to `watch_signals`, which drains before it stops the server.
        yield


def _ignore(code: ResultCode) -> None:
    pass


async def serve_asgi(
    app,
    address: str,
    header_limit_bytes: int = HEADER_LIMIT_BYTES,
    head_timeout_s: float = HEAD_TIMEOUT_S,
    on_rejected: Callable[[ResultCode], None] = _ignore,
    stop: anyio.Event | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled or stopped; report the bound address as started.

    Parameters
    ----------
    app : ASGI application
    address : str
        `IP:port`; port 0 takes a free one.
    header_limit_bytes : int
        Longest request head taken.
    head_timeout_s : float
        How long a connection may take to send a whole request head.
    on_rejected : callable
        Called with the code of each connection that brought no readable request.
    stop : anyio.Event, optional
        When it is set, the listener closes and answers under way are sent to their end.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=create_h11_protocol(on_rejected, head_timeout_s),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        h11_max_incomplete_event_size=header_limit_bytes,
        timeout_graceful_shutdown=SEND_OUT_S,
    )
    sock = config.bind_socket()
    task_status.started(format_address(host, sock.getsockname()[1]))
    server = _QuietServer(config)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_when_told, server, stop or anyio.Event())
            await server.serve([sock])
            tasks.cancel_scope.cancel()
    finally:
        sock.close()


async def _stop_when_told(server: uvicorn.Server, stop: anyio.Event) -> None:
    await stop.wait()
    server.should_exit = True
