"""TCP connections that read from their socket only what is asked for.

The stream of anyio reads ahead: while bytes are in its queue that arrived before they were asked
for, its transport goes on reading, without a limit. Bytes that were read for a cancelled `receive`
are in that queue as well. Here both stay in the socket's buffer, so that a sender waits for its
receiver, and a cancelled `receive` loses nothing.
"""

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, Listener, SocketAttribute, TaskGroup

__all__ = ["TcpListener", "TcpStream", "create_listener", "create_stream"]

# Most bytes of one read if the caller names no number: the size of a usual socket buffer.
READ_BYTES = 65_536


class TcpStream(ByteStream):
    """A connected socket as a byte stream; one task may receive while another one sends."""

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The socket itself, its family, and the addresses of both ends."""
        return {
            SocketAttribute.raw_socket: lambda: self._raw,
            SocketAttribute.family: lambda: self._raw.family,
            SocketAttribute.local_address: self._raw.getsockname,
            SocketAttribute.local_port: lambda: self._raw.getsockname()[1],
            SocketAttribute.remote_address: self._raw.getpeername,
            SocketAttribute.remote_port: lambda: self._raw.getpeername()[1],
        }

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Wait for bytes and return up to `max_bytes`; a cancelled call has taken none.

        Raises
        ------
        EndOfStream
            If the other end has closed its side.
        BrokenResourceError
            If the connection is broken; its cause is the error of the socket.
        ClosedResourceError
            If this end was closed.
        """
        while True:
            self._check_open()
            try:
                # Waiting first lets other tasks run, however fast the other end sends. There is no
                # point of cancellation between the read and the return.
                await anyio.wait_readable(self._raw)
                data = self._raw.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as error:
                self._check_open()
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, item: bytes) -> None:
        """Send all bytes; a cancelled call may have sent a part of them.

        Raises
        ------
        BrokenResourceError
            If the connection is broken; its cause is the error of the socket.
        ClosedResourceError
            If this end was closed.
        """
        await anyio.lowlevel.checkpoint()
        rest = memoryview(item)
        while rest:
            self._check_open()
            try:
                rest = rest[self._raw.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self._raw)
            except OSError as error:
                self._check_open()
                raise anyio.BrokenResourceError from error

    async def send_eof(self) -> None:
        """Close the sending side; no effect if the connection is broken."""
        await anyio.lowlevel.checkpoint()
        try:
            self._raw.shutdown(socket.SHUT_WR)
        except OSError:
            # A broken connection sends nothing more; receiving on it raises the error.
            return

    async def aclose(self) -> None:
        """Close at once; the kernel still sends what it has taken."""
        if self._raw.fileno() >= 0:
            anyio.notify_closing(self._raw)
            self._raw.close()
        await anyio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._raw.fileno() < 0:
            raise anyio.ClosedResourceError


class TcpListener(Listener[TcpStream]):
    """A listening socket."""

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The socket itself, its family and its own address."""
        return {
            SocketAttribute.raw_socket: lambda: self._raw,
            SocketAttribute.family: lambda: self._raw.family,
            SocketAttribute.local_address: self._raw.getsockname,
            SocketAttribute.local_port: lambda: self._raw.getsockname()[1],
        }

    async def serve(
        self,
        handler: Callable[[TcpStream], Awaitable[Any]],
        task_group: TaskGroup | None = None,
    ) -> None:
        """Accept connections, and serve each in a task of the group; without one, of its own.

        Raises
        ------
        ClosedResourceError
            If the listener was closed.
        OSError
            If a connection can't be accepted, such as for lack of a file descriptor.
        """
        if task_group is None:
            async with anyio.create_task_group() as own:
                await self.serve(handler, own)
        while True:
            task_group.start_soon(handler, await self.accept())

    async def wait_connection(self) -> None:
        """Wait until a connection can be accepted. Raises as `serve` does."""
        if self._raw.fileno() < 0:
            raise anyio.ClosedResourceError
        await anyio.wait_readable(self._raw)

    async def accept(self) -> TcpStream:
        """Return the next connection; a cancelled call has taken none. Raises as `serve` does."""
        while True:
            await self.wait_connection()
            try:
                raw, _ = self._raw.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError:
                if self._raw.fileno() < 0:
                    raise anyio.ClosedResourceError from None
                raise
            try:
                return create_stream(raw)
            except OSError:
                # The peer has already reset the connection.
                raw.close()

    async def aclose(self) -> None:
        """Stop listening; connections that the kernel holds for `accept` are reset."""
        if self._raw.fileno() >= 0:
            anyio.notify_closing(self._raw)
            self._raw.close()
        await anyio.lowlevel.checkpoint()


def create_stream(raw: socket.socket) -> TcpStream:
    """Create the stream of a connected socket; it sends without Nagle's delay.

    Raises
    ------
    OSError
        If the connection is broken.
    """
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return TcpStream(raw)


def create_listener(host: str, port: int, backlog: int) -> TcpListener:
    """Listen on an IP address.

    Parameters
    ----------
    port : int
        0 for a free one.
    backlog : int
        Connections that the kernel holds until they are accepted.

    Raises
    ------
    OSError
        If the address is taken or isn't this machine's.
    """
    raw = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        # A restarted process may listen while connections of the old one linger.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.setblocking(False)
        raw.bind((host, port))
        raw.listen(backlog)
    except BaseException:
        raw.close()
        raise
    return TcpListener(raw)
