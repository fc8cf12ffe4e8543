"""TCP streams on which the kernel detects dead peers."""

import ctypes
import errno
import os
import select
import socket
import struct
from contextlib import suppress

import anyio
from anyio.abc import ByteStream, Listener, SocketAttribute

from guavawalk.connection.address import split_address
from guavawalk.connection.socket_stream import create_stream
from guavawalk.exception import TargetConnectError

__all__ = [
    "CONNECT_TIMEOUT_S",
    "STREAM_ERRORS",
    "close_stream",
    "enable_dead_peer_detection",
    "has_input",
    "has_left",
    "ignore_new_connections",
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
# Socket option of Linux, which Python doesn't name, and a packet filter that accepts nothing: a
# `struct sock_filter` with the instruction "return 0".
SO_ATTACH_FILTER = 26
_DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))


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
        If no connection is made within `timeout_s`, no file descriptor is left or the address is
        none; nothing has been sent then.
    """
    try:
        host, port = split_address(address)
        raw = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    except (OSError, ValueError) as error:
        raise TargetConnectError(f"{address:.80}: {error}") from error
    try:
        await _connect(raw, host, port, timeout_s)
        stream = create_stream(raw)
        enable_dead_peer_detection(stream)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # A port out of range raises OverflowError.
        raw.close()
        is_refused = isinstance(error, ConnectionRefusedError)
        raise TargetConnectError(f"{address}: {type(error).__name__}", is_refused) from error
    except BaseException:
        raw.close()
        raise
    return stream


async def _connect(raw: socket.socket, host: str, port: int, timeout_s: float) -> None:
    raw.setblocking(False)
    error = raw.connect_ex((host, port))
    if error not in (0, errno.EINPROGRESS):
        raise OSError(error, os.strerror(error))
    with anyio.move_on_after(timeout_s):
        await anyio.wait_writable(raw)
    # After a time in which this process did not run, the time-out may end the wait although the
    # kernel has made the connection. The socket's own state decides.
    if not _polls(raw, select.POLLOUT):
        raise TimeoutError
    if error := raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(error, os.strerror(error))


def _polls(raw: socket.socket, event: int) -> bool:
    poller = select.poll()
    poller.register(raw.fileno(), event)
    return bool(poller.poll(0))


def has_input(stream: ByteStream) -> bool:
    """Return whether bytes or the end of the stream wait to be read, or the stream is closed.

    An idle connection for which this holds can't be used for another request.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return True
    return _polls(raw, select.POLLIN)


def has_left(stream: ByteStream) -> bool:
    """Return whether the peer has closed its side, though bytes before that may not be read yet.

    Of a peer that has closed, but whose last bytes this end has no buffer for, it is not known.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    return raw.fileno() < 0 or _polls(raw, select.POLLRDHUP)


def ignore_new_connections(listener: Listener[ByteStream]) -> None:
    """Have the kernel accept no more connections for a listener that is about to be closed.

    To close a listener resets the connections that the kernel has accepted and this process has
    not. Peers that connect now send their first packet again later, and are refused then. Without
    the kernel's support, nothing changes.
    """
    raw = listener.extra(SocketAttribute.raw_socket)
    program = struct.pack("HP", 1, ctypes.addressof(_DROP_ALL))
    with suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


async def close_stream(stream: ByteStream) -> None:
    """Close gracefully, within a second, even if the task is cancelled."""
    with anyio.move_on_after(1, shield=True):
        await stream.aclose()


async def reset_stream(stream: ByteStream) -> None:
    """Close without waiting for unsent bytes, even if the task is cancelled."""
    with anyio.move_on_after(1, shield=True):
        await anyio.aclose_forcefully(stream)
