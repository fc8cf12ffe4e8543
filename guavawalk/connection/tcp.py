"""Links over TCP or TLS, whose frames are a 4-byte length and a thrift message."""

import socket
import ssl
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.tls import TLSStream

from guavawalk.connection.address import format_address, split_address
from guavawalk.connection.codec import MAX_FRAME_BYTES, decode_message, encode_message
from guavawalk.connection.link import Link, LinkHandler, Network
from guavawalk.connection.messages import Hello, Message
from guavawalk.connection.socket_stream import create_listener
from guavawalk.connection.streams import has_input
from guavawalk.exception import LinkBroken, LinkRefused

__all__ = ["create_tcp_network"]

# Longest time to open a link, TLS handshake included, in seconds.
CONNECT_TIMEOUT_S = 0.5
# Connections that the kernel holds until they are accepted.
BACKLOG = 1024
# Longest time of a TLS handshake on an accepted link, in seconds.
TLS_HANDSHAKE_TIMEOUT_S = 3.0
# Longest frame that is accepted before the handshake has ended, in bytes.
MAX_HANDSHAKE_FRAME_BYTES = 16 * 1024
# Most accepted links whose handshake has not ended; a new one replaces the oldest.
MAX_OPENING_LINKS = 64
# Delay before links are accepted again after an error, in seconds: while descriptors are short,
# some become free in that time.
ACCEPT_DELAY_S = 0.05
# Age of unacknowledged bytes, in milliseconds, at which the kernel breaks a link.
UNACKNOWLEDGED_LIMIT_MS = 30_000
_LENGTH = struct.Struct(">I")
_SEND_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
_RECEIVE_ERRORS = (*_SEND_ERRORS, anyio.IncompleteRead, anyio.DelimiterNotFound)

AcceptErrorHandler = Callable[[OSError], None]


def _limit_unacknowledged(stream: ByteStream) -> None:
    # The kernel breaks a connection whose peer acknowledges nothing, so sends need no timer.
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


class TcpLink:
    """A link over one byte stream; implements `Link`."""

    def __init__(self, stream: ByteStream, version: Callable[[], int]) -> None:
        self.peer = Hello()
        self.session_id = b""
        self.peer_version = 0
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._version = version

    async def send(self, message: Message) -> None:
        """Send a message as one frame."""
        frame = encode_message(message, self._version())
        if len(frame) > MAX_FRAME_BYTES:
            raise LinkBroken(f"frame of {len(frame)} bytes is over the limit")
        try:
            await self._stream.send(_LENGTH.pack(len(frame)) + frame)
        except _SEND_ERRORS as error:
            raise LinkBroken(f"send failed: {type(error).__name__}") from error

    async def receive(self) -> Message:
        """Receive one frame and return its message."""
        try:
            header = await self._reader.receive_exactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(header)
            if length > (MAX_FRAME_BYTES if self.session_id else MAX_HANDSHAKE_FRAME_BYTES):
                raise LinkBroken(f"frame of {length} bytes is over the limit")
            frame = await self._reader.receive_exactly(length)
        except _RECEIVE_ERRORS as error:
            raise LinkBroken(f"receive failed: {type(error).__name__}") from error
        message, self.peer_version = decode_message(frame)
        return message

    def is_open(self) -> bool:
        """Return whether nothing waits to be read.

        Meant for idle links: the only input that one can have is the end of its stream.
        """
        return not has_input(self._stream)

    async def aclose(self) -> None:
        """Close the stream without waiting for unsent bytes."""
        with anyio.move_on_after(1, shield=True):
            await anyio.aclose_forcefully(self._stream)


class _OpeningLinks:
    """Accepted links whose handshake has not ended, that of TLS included."""

    def __init__(self) -> None:
        # By the scope of the task that serves it: the link, None until TLS is in place.
        self._links: dict[anyio.CancelScope, TcpLink | None] = {}

    @contextmanager
    def opening(self) -> Iterator[Callable[[TcpLink], None]]:
        """Serve a link within the block, until it is replaced; yields a function that names it."""
        opened = [scope for scope, link in self._links.items() if link and link.session_id]
        for scope in opened:
            del self._links[scope]
        if len(self._links) >= MAX_OPENING_LINKS:
            oldest = next(iter(self._links))
            del self._links[oldest]
            oldest.cancel()
        with anyio.CancelScope() as scope:
            self._links[scope] = None
            try:
                yield partial(self._links.__setitem__, scope)
            finally:
                self._links.pop(scope, None)


def _ignore(error: OSError) -> None:
    pass


class TcpNetwork:
    """Opens and accepts links over TCP, with TLS if contexts are given; implements `Network`."""

    def __init__(
        self,
        version: Callable[[], int],
        server_tls: ssl.SSLContext | None,
        client_tls: ssl.SSLContext | None,
        on_accept_error: AcceptErrorHandler,
    ) -> None:
        self._version = version
        self._on_accept_error = on_accept_error
        self._server_tls = server_tls
        self._client_tls = client_tls

    async def connect(self, address: str) -> Link:
        """Open a link."""
        host, port = split_address(address)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream: ByteStream = await anyio.connect_tcp(host, port)
                if self._client_tls is not None:
                    stream = await TLSStream.wrap(
                        stream, hostname=host, ssl_context=self._client_tls
                    )
            _limit_unacknowledged(stream)
        except (OSError, TimeoutError, ssl.SSLError, anyio.EndOfStream) as error:
            raise LinkRefused(f"{address}: {type(error).__name__}") from error
        return TcpLink(stream, self._version)

    async def serve(
        self, address: str, handler: LinkHandler, *, task_status: TaskStatus[str]
    ) -> None:
        """Listen at an address and run `handler` in a task for each link."""
        host, port = split_address(address)
        listener = create_listener(host, port, BACKLOG)
        bound_port = listener.extra(SocketAttribute.local_port)
        opening = _OpeningLinks()

        async def serve_stream(raw: ByteStream) -> None:
            try:
                with opening.opening() as set_link:
                    link = TcpLink(await self._secure(raw), self._version)
                    set_link(link)
                    await handler(link)
            finally:
                with anyio.move_on_after(1, shield=True):
                    await anyio.aclose_forcefully(raw)

        async with listener, anyio.create_task_group() as links:
            task_status.started(format_address(host, bound_port))
            while True:
                try:
                    await listener.serve(serve_stream, links)
                except OSError as error:
                    self._on_accept_error(error)
                    await anyio.sleep(ACCEPT_DELAY_S)

    async def _secure(self, stream: ByteStream) -> ByteStream:
        """Return an accepted stream, with TLS if it is used; a closed one if that fails."""
        try:
            _limit_unacknowledged(stream)
            if self._server_tls is None:
                return stream
            with anyio.fail_after(TLS_HANDSHAKE_TIMEOUT_S):
                return await TLSStream.wrap(stream, server_side=True, ssl_context=self._server_tls)
        except (*_SEND_ERRORS, TimeoutError):
            await anyio.aclose_forcefully(stream)
            return stream


def create_tcp_network(
    version: Callable[[], int],
    server_tls: ssl.SSLContext | None = None,
    client_tls: ssl.SSLContext | None = None,
    on_accept_error: AcceptErrorHandler = _ignore,
) -> Network:
    """Create a network of TCP links.

    Parameters
    ----------
    version : callable
        Returns the configuration version that each sent message carries.
    server_tls, client_tls : ssl.SSLContext, optional
        TLS contexts of accepted and of opened links; None for links without TLS.
    on_accept_error : callable
        Called with each error of accepting a link, such as a lack of file descriptors; links are
        accepted again after it.
    """
    return TcpNetwork(version, server_tls, client_tls, on_accept_error)
