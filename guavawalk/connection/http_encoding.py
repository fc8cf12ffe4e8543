"""Encodes HTTP/1.1 requests, responses and chunks as bytes."""

from collections.abc import Sequence
from http import HTTPStatus

__all__ = [
    "LAST_CHUNK",
    "Header",
    "encode_chunk",
    "encode_request",
    "encode_response",
    "encode_response_head",
]

Header = tuple[bytes, bytes]

LAST_CHUNK = b"0\r\n\r\n"


def encode_request(
    method: str, target: bytes, headers: Sequence[Header], body: bytes = b""
) -> bytes:
    """Return the bytes of a request.

    Parameters
    ----------
    target : bytes
        Request target: path and query.
    body : bytes
        Sent with `Content-Length`; if it is empty, only POST, PUT and PATCH have that header.
    """
    parts = [method.encode("ascii"), b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in ("POST", "PUT", "PATCH"):
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response_head(status: int, headers: Sequence[Header], framing: Header | None) -> bytes:
    """Return the bytes of a status line and headers.

    Parameters
    ----------
    framing : tuple of bytes, optional
        Header that delimits the body; None if the body ends with the connection.
    """
    try:
        reason = HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        reason = b"Unknown"
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    for name, value in (*headers, *((framing,) if framing else ())):
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_response(status: int, headers: Sequence[Header], body: bytes = b"") -> bytes:
    """Return the bytes of a complete response, with `Content-Length`."""
    length = (b"Content-Length", b"%d" % len(body))
    return encode_response_head(status, headers, length) + body


def encode_chunk(part: bytes) -> bytes:
    """Return a part of a body as one chunk; for an empty part it equals `LAST_CHUNK`."""
    return b"%x\r\n%s\r\n" % (len(part), part)
