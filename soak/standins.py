"""Stand-ins on loopback for the callers and targets of gateways and for the platform's store."""

import base64
import json
from contextlib import suppress

import anyio

from guavawalk.connection.http_encoding import (
    LAST_CHUNK,
    encode_chunk,
    encode_response,
    encode_response_head,
)
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.response_reader import ResponseReader
from guavawalk.version.routes import CallerLimits

__all__ = [
    "CHUNKED",
    "HOST",
    "Caller",
    "EndConnection",
    "StandInStore",
    "StandInTarget",
    "answer_failure",
    "answer_misdirected",
    "answer_not_run",
    "answer_plain",
    "answer_stream",
    "break_stream",
    "close_without_answer",
    "event",
    "listen",
    "signed_headers",
    "stay_silent",
]

HOST = "a.example"
LIMITS = CallerLimits()
CHUNKED = (b"Transfer-Encoding", b"chunked")


def event(number):
    """Return one event of a stream, with its number as id."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


async def listen(serve):
    """Listen on a free port of loopback; return the listener and its address."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return listener, f"127.0.0.1:{port}"


class StandInTarget:
    """A target whose answers are sent by a script.

    Attributes
    ----------
    script : async callable
        Called for each request with the target, the connection and the request; sends the answer.
    received : list
        Requests received, in order.
    disconnected : list
        Requests during which the gateway closed the connection.
    """

    def __init__(self, script):
        self.script = script
        self.received = []
        self.disconnected = []
        self.address = ""

    async def serve(self, stream):
        """Serve one connection."""
        reader = RequestReader(stream, LIMITS)
        async with stream:
            while (request := await reader.next(LIMITS)) is not None:
                self.received.append(request)
                try:
                    await self.script(self, stream, request)
                except anyio.BrokenResourceError:
                    self.disconnected.append(request)
                    return
                except EndConnection:
                    return

    def header(self, index, name):
        """Return a header of a received request; None if it has none of that name."""
        return dict(self.received[index].headers).get(name)


class EndConnection(Exception):
    """Raised by a script to close its connection."""


def signed_headers(request, *headers):
    """Return the request id and stamp that a target's own answer has, followed by `headers`."""
    request_id = dict(request.headers)[b"Request-Id"]
    return ((b"Request-Id", request_id), (b"Server-Stamp", b"stamp"), *headers)


async def answer_plain(target, stream, request):
    """Send a complete answer."""
    await stream.send(encode_response(200, signed_headers(request), b"served " + request.body))


async def answer_stream(target, stream, request, last=5):
    """Stream the events after the request's `Last-Event-Id` (from 1 without it) up to `last`."""
    first = int(dict(request.headers).get(b"Last-Event-Id", b"0")) + 1
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(first, last + 1):
        await stream.send(encode_chunk(event(number)))
    await stream.send(LAST_CHUNK)


async def break_stream(target, stream, request, after=2):
    """Stream `after` events and an incomplete one, then close the connection."""
    await stream.send(encode_response_head(200, signed_headers(request), CHUNKED))
    for number in range(1, after + 1):
        await stream.send(encode_chunk(event(number)))
    await stream.send(encode_chunk(b"id: 9\nda"))
    raise EndConnection


async def answer_not_run(target, stream, request):
    """Reject a request as a full target does."""
    await stream.send(encode_response(503, ((b"Not-Executed", b"1"),)))


async def answer_misdirected(target, stream, request):
    """Reject a request as a different target that has taken over the address does."""
    await stream.send(encode_response(421, ((b"Instance-Id", b"i-other"),)))


async def answer_failure(target, stream, request, status=500):
    """Answer as a target that ran the request and failed."""
    await stream.send(encode_response(status, signed_headers(request), b"sorry"))


async def close_without_answer(target, stream, request):
    """Close the connection without an answer."""
    raise EndConnection


async def stay_silent(target, stream, request):
    """Send nothing until the gateway closes the connection."""
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        target.disconnected.append(request)
    raise EndConnection


class Caller:
    """A caller with one connection to a gateway."""

    def __init__(self, stream):
        self.stream = stream
        self.reader = ResponseReader(stream)

    async def ask(self, path=b"/x/1", body=b"", headers=(), request_id=b"r1", method="POST"):
        """Send a request and return its complete answer: status, headers, body.

        Raises
        ------
        TargetLost
            If the connection ended before the answer was complete.
        """
        await self.send(path, body, headers, request_id, method)
        return await self.answer()

    async def send(self, path=b"/x/1", body=b"", headers=(), request_id=b"r1", method="POST"):
        """Send a request."""
        lines = [
            b"%s %s HTTP/1.1" % (method.encode(), path),
            b"Host: " + HOST.encode(),
            b"Request-Id: " + request_id,
            b"Authorization: Bearer k1",
            b"Deadline-Ms: 5000",
            b"Content-Length: %d" % len(body),
            *(b"%s: %s" % header for header in headers),
        ]
        await self.stream.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    async def answer(self):
        """Read a complete answer and return its status, headers and body."""
        head = await self.reader.read_head()
        body = b""
        while part := await self.reader.read_part():
            body += part
        return head.status, dict(head.headers), body


class StandInStore:
    """The platform's store: revisions of items, pages, watches, and failures on demand.

    Attributes
    ----------
    failure_status : int
        Status of the answer to every call; 0 for normal answers.
    loses_answer : callable
        Called for each answer; returns whether it is lost. Nothing further is sent on a connection
        on which an answer was lost.
    delay_s : float
        Time from a result to its answer, in seconds.
    calls : list of bytes
        Paths and queries of all calls, in order.
    era : int
        Stated in every answer; no header while it is 0.
    oldest : int
        Revision up to which the history was dropped; a watch after an older revision gets 410.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.oldest = 0
        self.era = 0
        self.failure_status = 0
        self.loses_answer = lambda: False
        self.delay_s = 0.0
        self.calls = []
        self.address = ""
        self._changed = anyio.Event()

    def put(self, key, document):
        """Write a document as JSON, or bytes unchanged."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.revision += 3
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._notify(item)

    def remove(self, key):
        """Remove an item; `KeyError` if there is none."""
        self.revision += 3
        del self.items[key]
        self._notify({"key": key, "revision": self.revision, "removed": True})

    def forget_history(self):
        """Drop the history of all changes so far, as the store does when it compacts."""
        self.oldest = self.revision
        self._changed.set()
        self._changed = anyio.Event()

    def roll_back(self, items, revision):
        """Begin a new era with an older copy: its items, and the revision that it was made at."""
        self.items = dict(items)
        self.history = []
        self.revision = self.oldest = revision
        self.era += 1
        self._changed.set()
        self._changed = anyio.Event()

    def _notify(self, change):
        self.history.append(change)
        self._changed.set()
        self._changed = anyio.Event()

    async def serve(self, stream):
        """Serve one connection."""
        reader = RequestReader(stream, LIMITS)
        async with stream:
            while (request := await reader.next(LIMITS)) is not None:
                self.calls.append(request.target)
                status, document = await self._answer(request.target.decode())
                era = ((b"Store-Era", b"%d" % self.era),) if self.era else ()
                if self.failure_status:
                    status, document = self.failure_status, {"error": "down"}
                body = json.dumps(document).encode()
                await anyio.sleep(self.delay_s)
                try:
                    if self.loses_answer():
                        await _wait_until_closed(stream)
                        return
                    await stream.send(encode_response(status, era, body))
                except anyio.BrokenResourceError:
                    return

    async def _answer(self, target):
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&"))
        if path == "/kv-range":
            return 200, self._page(options["prefix"], options.get("after", ""))
        return await self._watch(options["prefix"], int(options["after"]), options["waitMs"])

    def _page(self, prefix, after, page_size=2):
        found = [
            self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after
        ]
        return {
            "items": found[:page_size],
            "truncated": len(found) > page_size,
            "asOf": self.revision,
        }

    async def _watch(self, prefix, after, wait_ms):
        with anyio.move_on_after(int(wait_ms) / 1000):
            while True:
                if after < self.oldest or after > self.revision:
                    return 410, {}
                found = [
                    change
                    for change in self.history
                    if change["revision"] > after and change["key"].startswith(prefix)
                ]
                if found:
                    return 200, {"events": found, "asOf": self.revision}
                await self._changed.wait()
        return 200, {"events": [], "asOf": self.revision}


async def _wait_until_closed(stream):
    with suppress(anyio.EndOfStream):
        while True:
            await stream.receive()
