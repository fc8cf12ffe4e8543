"""In-memory connections and datagrams for scenarios of gateways in virtual time."""

from contextlib import suppress
from functools import partial

import anyio
from anyio.abc import ByteStream, SocketAttribute

from guavawalk.exception import TargetConnectError

__all__ = ["MemoryNetwork", "MemoryStream"]

CONNECT_DELAY_S = 0.001
MAX_QUEUED_DATAGRAMS = 1_000


class _FakeSocket:
    def setsockopt(self, *option):
        return None


class MemoryStream(ByteStream):
    """One end of a connection."""

    def __init__(self):
        self.peer = None
        self.is_closed = False
        self._data = bytearray()
        self._has_ended = False
        self._changed = anyio.Event()

    @property
    def extra_attributes(self):
        return {SocketAttribute.raw_socket: _FakeSocket}

    @property
    def has_input(self):
        """Whether `receive` returns or raises at once."""
        return bool(self._data) or self._has_ended or self.is_closed

    async def receive(self, max_bytes=65_536):
        await anyio.lowlevel.checkpoint()
        while not self._data:
            if self.is_closed:
                raise anyio.ClosedResourceError
            if self._has_ended:
                raise anyio.EndOfStream
            await self._changed.wait()
        data = bytes(self._data[:max_bytes])
        del self._data[:max_bytes]
        return data

    async def send(self, item):
        await anyio.lowlevel.checkpoint()
        if self.is_closed:
            raise anyio.ClosedResourceError
        if self.peer.is_closed:
            raise anyio.BrokenResourceError
        self.peer._data += item
        self.peer._wake()

    async def send_eof(self):
        self.peer._has_ended = True
        self.peer._wake()

    def close(self):
        """Close at once; the other end reads the data already sent, then the end of the stream."""
        self.is_closed = True
        self.peer._has_ended = True
        self._wake()
        self.peer._wake()

    async def aclose(self):
        self.close()
        await anyio.lowlevel.checkpoint()

    def _wake(self):
        self._changed.set()
        self._changed = anyio.Event()


class _MemorySocket:
    def __init__(self, network, address):
        host, port = address.split(":")
        self._network = network
        self._address = host, int(port)
        self.write, self._read = anyio.create_memory_object_stream(MAX_QUEUED_DATAGRAMS)

    async def sendto(self, data, host, port):
        await anyio.lowlevel.checkpoint()
        receiver = self._network.sockets.get(f"{host}:{port}")
        if receiver is not None:
            with suppress(anyio.WouldBlock, anyio.BrokenResourceError):
                receiver.write.send_nowait((data, self._address))

    def __aiter__(self):
        return self._read


class MemoryNetwork:
    """Listeners and datagram sockets by address, and the open connections to each."""

    def __init__(self, tasks):
        self.sockets = {}
        # Listener and socket at the addresses that are cut off.
        self._cut = {}
        self._tasks = tasks
        self._listeners = {}
        self._connections = {}

    def listen(self, address, serve):
        """Accept connections to an address and serve each by `serve`."""
        self._listeners[address] = serve

    def bind(self, address):
        """Return a datagram socket at an address; it replaces the one bound there before."""
        self.sockets[address] = _MemorySocket(self, address)
        return self.sockets[address]

    def kill(self, address):
        """Stop listening at an address, remove its datagram socket, and close its connections."""
        self._listeners.pop(address, None)
        self.sockets.pop(address, None)
        for scope, stream in self._connections.pop(address, ()):
            scope.cancel()
            stream.close()

    def cut(self, address):
        """Refuse connections and drop datagrams to an address until `heal`."""
        self._cut[address] = self._listeners[address], self.sockets[address]
        self.kill(address)

    def heal(self, address):
        """Accept connections and datagrams to an address again."""
        self._listeners[address], self.sockets[address] = self._cut.pop(address)

    async def open_stream(self, address, timeout_s=1.0):
        """Connect to an address; stand-in for `connection.streams.open_stream`.

        `timeout_s` has no effect: the connection is accepted or refused after `CONNECT_DELAY_S`.

        Raises
        ------
        TargetConnectError
            If nothing listens at the address.
        """
        await anyio.sleep(CONNECT_DELAY_S)
        serve = self._listeners.get(address)
        if serve is None:
            raise TargetConnectError(f"{address}: refused")
        near, far = MemoryStream(), MemoryStream()
        near.peer, far.peer = far, near
        self._tasks.start_soon(partial(self._serve, address, serve, far))
        return near

    async def _serve(self, address, serve, stream):
        with anyio.CancelScope() as scope:
            connections = self._connections.setdefault(address, [])
            connections.append((scope, stream))
            try:
                await serve(stream)
            finally:
                stream.close()
                if (scope, stream) in connections:
                    connections.remove((scope, stream))
