"""HTTP/1.1 client for GET requests with short answers, one at a time on a persistent connection."""

from collections.abc import Sequence
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.http_encoding import Header, encode_request
from guavawalk.connection.response_reader import ResponseReader
from guavawalk.connection.streams import has_input, open_stream, reset_stream
from guavawalk.exception import TargetLost

__all__ = ["HttpAnswer", "HttpClient", "create_http_client"]

# Largest body of an answer accepted, in bytes: a page of the registry with its values as text.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class HttpAnswer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes
    headers: Sequence[Header] = ()


class HttpClient:
    """A client of one address; a failed request closes its connection.

    Requests must not overlap.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: ByteStream | None = None
        self._reader: ResponseReader | None = None
        # Whether the last answer is complete and the server keeps the connection open.
        self._is_reusable = False

    async def get(self, path: str, timeout_s: float, headers: Sequence[Header] = ()) -> HttpAnswer:
        """Send a GET request and return its answer, of whatever status.

        Raises
        ------
        TargetConnectError
            If no connection could be made.
        TargetLost
            If no complete and valid answer arrives within `timeout_s`.
        """
        try:
            with anyio.fail_after(timeout_s):
                return await self._get(path, headers)
        except TimeoutError as error:
            raise TargetLost(f"no answer within {timeout_s:g} s") from error
        finally:
            if not self._is_reusable:
                await self.aclose()

    async def aclose(self) -> None:
        """Close the connection, if one is open; the next request opens a new one."""
        stream, self._stream, self._reader = self._stream, None, None
        if stream is not None:
            await reset_stream(stream)

    async def _get(self, path: str, headers: Sequence[Header]) -> HttpAnswer:
        if self._stream is not None and has_input(self._stream):
            await self.aclose()
        if self._stream is None or self._reader is None:
            self._stream = await open_stream(self._address)
            self._reader = ResponseReader(self._stream)
        reader = self._reader
        self._is_reusable = False
        host = (b"Host", self._address.encode("ascii"))
        try:
            await self._stream.send(encode_request("GET", path.encode("ascii"), (host, *headers)))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise TargetLost("connection broken while sending the request") from error
        head = await reader.read_head()
        body = await reader.read_body(MAX_ANSWER_BYTES)
        self._is_reusable = head.keep_alive and not reader.must_close
        return HttpAnswer(head.status, body, head.headers)


def create_http_client(address: str) -> HttpClient:
    """Create a client of `IP:port`; it connects at its first request."""
    return HttpClient(address)
