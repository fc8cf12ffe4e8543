"""TCP streams on which the kernel detects dead peers."""

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

# Exceptions of sending and receiving on a connection that is broken or was closed by this process.
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

# Longest time to connect, in seconds. It leaves no time for the retransmission of a lost SYN: with
# twice the round trip across a region that takes over a second; trying another target is faster.
CONNECT_TIMEOUT_S = 0.35
# Age of unacknowledged bytes, in milliseconds, at which the kernel breaks a connection; it has
# retransmitted them several times by then.
UNACKNOWLEDGED_LIMIT_MS = 3_000
# Keepalive probes on a connection with no bytes in flight: the first after a second without
# traffic, further ones a second apart; the kernel breaks the connection after two unanswered ones.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(stream: ByteStream) -> None:
    """Let the kernel break the connection if its peer acknowledges nothing for about 3 seconds."""
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
        If no connection is made within `timeout_s`; nothing has been sent then.
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
    """Return whether bytes or the end of the stream wait to be read, or the stream is closed.

    An idle connection for which this holds can't be used for another request.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLIN)
    return bool(poller.poll(0))


async def close_stream(stream: ByteStream) -> None:
    """Close gracefully, within a second, even if the task is cancelled."""
    with anyio.move_on_after(1, shield=True):
        await stream.aclose()


async def reset_stream(stream: ByteStream) -> None:
    """Close without waiting for unsent bytes, even if the task is cancelled."""
    with anyio.move_on_after(1, shield=True):
        await anyio.aclose_forcefully(stream)
