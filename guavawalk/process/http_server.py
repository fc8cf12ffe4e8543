"""Serving an ASGI application inside a process that handles its own signals."""

import logging
from collections.abc import Callable
from contextlib import contextmanager

import anyio
import uvicorn
from anyio.abc import TaskStatus

from guavawalk.codes import ResultCode
from guavawalk.connection.http_listener import HEAD_TIMEOUT_S, create_h11_protocol
from guavawalk.connection.tcp import format_address, split_address

__all__ = ["serve_asgi"]

HEADER_LIMIT_BYTES = 64 * 1024

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
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the bound address as started.

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
    )
    sock = config.bind_socket()
    task_status.started(format_address(host, sock.getsockname()[1]))
    try:
        await _QuietServer(config).serve([sock])
    finally:
        sock.close()
