"""Connections and datagrams within one process, for stories of gateways in virtual time."""

from contextlib import suppress
from functools import partial

import anyio
from anyio.abc import ByteStream, SocketAttribute

from guavawalk.exception import TargetConnectError

__all__ = ["MemoryNetwork", "MemoryStream"]

HOP_S = 0.001
MOST_DATAGRAMS = 1_000


class _NoSocket:
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
        return {SocketAttribute.raw_socket: _NoSocket}

    @property
    def has_input(self):
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
        """Close now; the other end reads what was sent, then the end."""
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
    def __init__(self, network):
        self._network = network
        self.write, self._read = anyio.create_memory_object_stream(MOST_DATAGRAMS)

    async def sendto(self, data, host, port):
        await anyio.lowlevel.checkpoint()
        hearer = self._network.sockets.get(f"{host}:{port}")
        if hearer is not None:
            with suppress(anyio.WouldBlock, anyio.BrokenResourceError):
                hearer.write.send_nowait((data, (host, port)))

    def __aiter__(self):
        return self._read


class MemoryNetwork:
    """Addresses where something listens, and the connections to each."""

    def __init__(self, tasks):
        self.sockets = {}
        self._tasks = tasks
        self._listeners = {}
        self._served = {}

    def listen(self, address, serve):
        """Serve the connections to an address."""
        self._listeners[address] = serve

    def bind(self, address):
        """Return a socket for datagrams."""
        self.sockets[address] = _MemorySocket(self)
        return self.sockets[address]

    def kill(self, address):
        """Listen no more at an address, and break all connections to it."""
        self._listeners.pop(address, None)
        self.sockets.pop(address, None)
        for scope, stream in self._served.pop(address, ()):
            scope.cancel()
            stream.close()

    async def open_stream(self, address, timeout_s=1.0):
        """Connect, as `connection.streams.open_stream` does."""
        await anyio.sleep(HOP_S)
        serve = self._listeners.get(address)
        if serve is None:
            raise TargetConnectError(f"{address}: refused")
        near, far = MemoryStream(), MemoryStream()
        near.peer, far.peer = far, near
        self._tasks.start_soon(partial(self._serve, address, serve, far))
        return near

    async def _serve(self, address, serve, stream):
        with anyio.CancelScope() as scope:
            served = self._served.setdefault(address, [])
            served.append((scope, stream))
            try:
                await serve(stream)
            finally:
                stream.close()
                if (scope, stream) in served:
                    served.remove((scope, stream))
