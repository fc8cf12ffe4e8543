"""Serves ASGI applications with uvicorn in a process that handles its own signals."""

import logging
from collections.abc import Callable
from contextlib import contextmanager

import anyio
import uvicorn
from anyio.abc import TaskStatus

from guavawalk.codes import ResultCode
from guavawalk.connection.address import format_address, split_address
from guavawalk.connection.http_listener import (
    HEAD_TIMEOUT_S,
    MAX_CONNECTIONS,
    create_h11_protocol,
)

__all__ = ["serve_asgi"]

HEADER_LIMIT_BYTES = 64 * 1024
# Time at shutdown for callers that read slowly to receive the rest of their answers, in seconds.
GRACEFUL_SHUTDOWN_S = 30

# The applications log numbered events of their own; uvicorn's log lines are dropped.
_SERVER_LOG = logging.getLogger("uvicorn.error")
_SERVER_LOG.addHandler(logging.NullHandler())
_SERVER_LOG.propagate = False


class _SignalFreeServer(uvicorn.Server):
    @contextmanager
    def capture_signals(self):
        # `watch_signals` handles signals: it drains the process before it stops the server.
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
    max_connections: int = MAX_CONNECTIONS,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled or stopped.

    The bound address, `IP:port`, is reported through `task_status`.

    Parameters
    ----------
    app : ASGI application
    address : str
        Address to bind, `IP:port`; port 0 binds a free port.
    header_limit_bytes : int
        Maximum size of a request head, in bytes.
    head_timeout_s : float
        Time within which a connection must send a complete request head, in seconds.
    on_rejected : callable
        Called with a result code for each connection that did not send a readable request.
    stop : anyio.Event, optional
        Once set, the listener closes, and the call returns after the answers in progress have
        been sent.
    max_connections : int
        Most connections; beyond, new ones replace others or are closed.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=create_h11_protocol(on_rejected, head_timeout_s, max_connections),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        h11_max_incomplete_event_size=header_limit_bytes,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
    )
    sock = config.bind_socket()
    task_status.started(format_address(host, sock.getsockname()[1]))
    server = _SignalFreeServer(config)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_event, server, stop or anyio.Event())
            await server.serve([sock])
            tasks.cancel_scope.cancel()
    finally:
        sock.close()


async def _stop_on_event(server: uvicorn.Server, stop: anyio.Event) -> None:
    await stop.wait()
    server.should_exit = True
