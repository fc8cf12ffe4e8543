"""Network backend of `httpcore` whose reads set no timer."""

from collections.abc import Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import ByteStream, SocketAttribute

__all__ = ["create_untimed_backend"]

# Most bytes that are read before the head of an answer is complete, interim answers included. The
# read that completes the head may bring content with it; it counts only for further reads.
MAX_HEAD_BYTES = 65_536
_STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class UntimedStream(httpcore.AsyncNetworkStream):
    """A connection whose reads set a timer only if a timeout is given.

    Notes
    -----
    A streamed answer takes one read for each token, and setting and cancelling a timer costs more
    than the read. The reader of a long answer watches its progress instead.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._head_bytes: int | None = 0
        # Whether a write failed: the kernel reports a reset only once, so a read would take it for
        # an orderly end, which may complete an answer without a length.
        self._is_write_broken = False

    def end_head(self) -> None:
        """Tell that the head of the answer is complete, so that what is read is not limited."""
        self._head_bytes = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return available bytes, waiting for the first up to `timeout` seconds; empty at the end.

        Without a timeout it waits without limit; cancelling the task ends the wait.
        """
        if self._head_bytes is not None and self._head_bytes > MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError(f"the head is over {MAX_HEAD_BYTES} bytes")
        try:
            if timeout is None:
                data = await self._stream.receive(max_bytes)
            else:
                with anyio.fail_after(timeout):
                    data = await self._stream.receive(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout(error) from error
        except anyio.EndOfStream:
            if self._is_write_broken:
                raise httpcore.ReadError("connection broken") from None
            return b""
        except _STREAM_ERRORS as error:
            raise httpcore.ReadError(error) from error
        if self._head_bytes is not None:
            self._head_bytes += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of a buffer within `timeout` seconds; None for no limit."""
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(error) from error
        except _STREAM_ERRORS as error:
            self._is_write_broken = True
            raise httpcore.WriteError(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return the raw socket for `socket`, None for any other information."""
        if info == "socket":
            return self._stream.extra(SocketAttribute.raw_socket, None)
        return None


class UntimedBackend(httpcore.AsyncNetworkBackend):
    """Opens the connections of an `httpcore` client."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect within `timeout` seconds; nothing has been sent if it fails.

        `local_address` and `socket_options` are ignored.
        """
        try:
            with anyio.fail_after(timeout):
                return UntimedStream(await anyio.connect_tcp(host, port))
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(error) from error
        except (OSError, anyio.BrokenResourceError) as error:
            raise httpcore.ConnectError(error) from error

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await anyio.sleep(seconds)


def create_untimed_backend() -> httpcore.AsyncNetworkBackend:
    """Create a backend for `httpcore.AsyncConnectionPool`."""
    return UntimedBackend()
