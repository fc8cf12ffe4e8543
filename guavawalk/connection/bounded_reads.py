"""Limits the size of the reads of an asyncio protocol."""

import asyncio
from typing import Protocol

__all__ = ["MAX_READ_BYTES", "BoundedReader", "create_bounded_reads"]

MAX_READ_BYTES = 65_536
# All connections read into it: the bytes of one read are copied before the next one.
_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class BoundedReader(Protocol):
    """A protocol that receives bytes and says how many it takes at once."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin a connection."""
        ...

    def data_received(self, data: bytes) -> None:
        """Receive the bytes of one read."""
        ...

    def read_bytes(self) -> int:
        """Return the most bytes of the next read, up to `MAX_READ_BYTES`."""
        ...

    def eof_received(self) -> bool | None:
        """Receive the end of the stream."""
        ...

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection."""
        ...

    def pause_writing(self) -> None:
        """Stop sending."""
        ...

    def resume_writing(self) -> None:
        """Send on."""
        ...


class _BoundedReads(asyncio.BufferedProtocol):
    def __init__(self, reader: BoundedReader) -> None:
        self._reader = reader
        self.connection_made = reader.connection_made
        self.connection_lost = reader.connection_lost
        self.eof_received = reader.eof_received
        self.pause_writing = reader.pause_writing
        self.resume_writing = reader.resume_writing

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER[: self._reader.read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        self._reader.data_received(bytes(_BUFFER[:nbytes]))


def create_bounded_reads(reader: BoundedReader) -> asyncio.BufferedProtocol:
    """Create the protocol of a connection for a reader."""
    return _BoundedReads(reader)
