"""TCP streams that notice a silent peer."""

import select
import socket

import anyio
from anyio.abc import ByteStream, SocketAttribute

from guavawalk.connection.address import split_address
from guavawalk.exception import TargetConnectError

__all__ = [
    "STREAM_ERRORS",
    "close_stream",
    "enable_dead_peer_detection",
    "has_input",
    "open_stream",
    "reset_stream",
]

# What sending and receiving raise on a connection that is broken or was closed here.
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

# Twice the round trip across a region plus a retransmission of a lost opening packet would take
# over a second; a target that far away is better left for another one.
CONNECT_TIMEOUT_S = 0.35
# Unacknowledged bytes older than this end a connection; the kernel retransmits several times.
UNACKNOWLEDGED_LIMIT_MS = 3_000
# Probes on a connection with nothing in flight: the first after a second, two more a second apart.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(stream: ByteStream) -> None:
    """Let the kernel break a connection whose peer answers nothing any more."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def open_stream(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> ByteStream:
    """Connect to `IP:port`.

    Raises
    ------
    TargetConnectError
        If there is no connection within `timeout_s`; nothing has been sent then.
    """
    host, port = split_address(address)
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise TargetConnectError(f"{address}: {type(error).__name__}") from error
    enable_dead_peer_detection(stream)
    return stream


def has_input(stream: ByteStream) -> bool:
    """Say whether bytes or the end of the stream wait to be read; both end an idle connection."""
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return True
    waiting = select.poll()
    waiting.register(raw.fileno(), select.POLLIN)
    return bool(waiting.poll(0))


async def close_stream(stream: ByteStream) -> None:
    """Close after what was sent has left, whatever cancels this task."""
    with anyio.move_on_after(1, shield=True):
        await stream.aclose()


async def reset_stream(stream: ByteStream) -> None:
    """Close at once."""
    with anyio.move_on_after(1, shield=True):
        await anyio.aclose_forcefully(stream)
