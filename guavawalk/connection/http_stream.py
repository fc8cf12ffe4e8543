"""Connections of the HTTP client whose reads set no timer."""

from collections.abc import Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import ByteStream, SocketAttribute

__all__ = ["create_untimed_backend"]

_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class UntimedStream(httpcore.AsyncNetworkStream):
    """A connection that waits for bytes as long as its task lives.

    Notes
    -----
    A token costs a read, and a timer set and cancelled costs more than the read. Whoever reads a
    long answer watches its progress instead.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what is there, or wait for it; `timeout` counts only where it is given."""
        try:
            if timeout is None:
                return await self._stream.receive(max_bytes)
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout(error) from error
        except anyio.EndOfStream:
            return b""
        except _BROKEN as error:
            raise httpcore.ReadError(error) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of a buffer."""
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(error) from error
        except _BROKEN as error:
            raise httpcore.WriteError(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the client asks about its socket."""
        if info == "socket":
            return self._stream.extra(SocketAttribute.raw_socket, None)
        return None


class UntimedBackend(httpcore.AsyncNetworkBackend):
    """Where the HTTP client gets its connections from."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; a failure here means that nothing was sent."""
        try:
            with anyio.fail_after(timeout):
                return UntimedStream(await anyio.connect_tcp(host, port))
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(error) from error
        except (OSError, anyio.BrokenResourceError) as error:
            raise httpcore.ConnectError(error) from error

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await anyio.sleep(seconds)


def create_untimed_backend() -> httpcore.AsyncNetworkBackend:
    """Create a backend for `httpcore.AsyncConnectionPool`."""
    return UntimedBackend()
