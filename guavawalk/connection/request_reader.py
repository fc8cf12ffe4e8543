"""Reads HTTP/1.1 requests from a caller's connection.

Bytes are received only on demand, so that a slow gateway exerts back pressure on its own callers
only, and only while there is room for them.
"""

import math
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.input_turns import InputTurns, RequestPace, UnlimitedTurns
from guavawalk.connection.request_parser import (
    HeadCheck,
    ReceivedRequest,
    RequestParser,
    accept_all,
)
from guavawalk.connection.streams import STREAM_ERRORS, has_input, has_left
from guavawalk.exception import HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["InputRoom", "RequestReader"]

# Most bytes of one read of a body for which there is room: the size of a usual socket buffer.
READ_BYTES = 65_536
# Most bytes of other reads. What a connection sends before its size is known is bounded by it.
HEAD_READ_BYTES = 8_192
# Cost of a read, in chunks parsed, after which the next one is short.
MAX_READ_COST = 512
# Longest time for a last read after a wait was ended, in seconds; a queue is read at once.
LAST_READ_S = 0.005
# Most requests of one connection that are parsed while an earlier one is answered; later ones
# stay in the socket buffer.
MAX_PARSED_AHEAD = 16
# Most bytes of such requests, as held or announced. A larger one is read once it is its turn.
MAX_AHEAD_BYTES = 65_536
# A body may take this long, in seconds, and as much longer as it takes to arrive at the rate; 4 MiB
# may take 18 minutes. Each byte resets the idle time, so bodies of single bytes never ended.
BODY_GRACE_S = 60.0
BODY_BYTES_PER_S = 4_096
# Interval at which a connection that isn't read is checked for its end, in seconds.
CHECK_EVERY_S = 0.25
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_ROOM_STATUS = 503
NO_ROOM = "no room for the request"


class InputRoom(Protocol):
    """Room for what one connection sends; `InputCharge` documents the members."""

    is_refused: bool
    on_change: Callable[[], None]

    def update(self, kept_bytes: int, partial_bytes: int, now_s: float) -> None:
        """Record what the connection holds."""
        ...

    def set_awaited(self, is_awaited: bool, now_s: float) -> None:
        """Record whether the next request is wanted now."""
        ...

    def may_read(self, expected_bytes: int, now_s: float, max_bytes: float = math.inf) -> bool:
        """Return whether more may be read."""
        ...

    def relieve(self, now_s: float) -> None:
        """Refuse requests, this one's or others', if this one has waited for too long."""
        ...


class _UnlimitedRoom:
    is_refused = False
    on_change: Callable[[], None]

    def update(self, kept_bytes: int, partial_bytes: int, now_s: float) -> None:
        pass

    def set_awaited(self, is_awaited: bool, now_s: float) -> None:
        pass

    def may_read(self, expected_bytes: int, now_s: float, max_bytes: float = math.inf) -> bool:
        return True

    def relieve(self, now_s: float) -> None:
        pass


def _ignore() -> None:
    pass


class RequestReader:
    """Reader of the requests on one caller's connection, in order.

    Parameters
    ----------
    room : InputRoom, optional
        Room for what the caller sends; by default as much as the limits allow.
    check : HeadCheck, optional
        Called for each request with a body once its head is complete; by default none is refused.
    turns : InputTurns, optional
        Turns in which bodies are read; by default they are not waited for.
    """

    def __init__(
        self,
        stream: ByteStream,
        limits: CallerLimits,
        room: InputRoom | None = None,
        check: HeadCheck = accept_all,
        turns: InputTurns | None = None,
    ) -> None:
        self._stream = stream
        self._parser = RequestParser(limits, check)
        self._room = room or _UnlimitedRoom()
        self._room.on_change = self._wake
        self._pace = RequestPace(turns or UnlimitedTurns())
        self._changed = anyio.Event()
        self._receiving: anyio.CancelScope | None = None
        self._failure: HttpInvalid | None = None
        # Bytes of a further request that wait for room to be parsed in.
        self._unparsed = b""
        # Size of the request that was returned last, which is held until the next one is wanted.
        self._returned_bytes = 0
        # The head or body that is being received: the number of its request and whether it is the
        # body, when it began on the event loop's clock, and for how long it was not read.
        self._part = (0, False)
        self._began_s = self._paused_s = 0.0

    def close(self) -> None:
        """Free the memory of what was received; nothing can be read any more."""
        self._parser.close()
        self._unparsed = b""
        self._room.on_change = _ignore

    def is_receiving(self) -> bool:
        """Return whether a part of the next request has been read, also of one that is refused."""
        parser = self._parser
        is_failed = self._failure is not None
        return is_failed or parser.is_in_message or bool(parser.received or self._unparsed)

    def has_arrived(self) -> bool:
        """Return whether a part of the next request has been read, or waits to be read.

        While the process is short of processor time, a request may have waited for long.
        """
        return self.is_receiving() or has_input(self._stream)

    async def look_again(self) -> bool:
        """Return whether a part of the next request has arrived, once a wait for it was ended.

        Notes
        -----
        Of bytes that a stream has read ahead, unlike `TcpStream`, nothing but a further read tells.
        """
        with anyio.move_on_after(LAST_READ_S):
            if not self.is_receiving():
                await self._advance()
        return self.has_arrived()

    async def next(self, limits: CallerLimits) -> ReceivedRequest | None:
        """Return the next request; None if the caller closes or sends none in the idle timeout.

        Parameters
        ----------
        limits : CallerLimits
            Limits in force now; they hold for all bytes that arrive before the next call.

        Raises
        ------
        HttpInvalid
            If the bytes are no valid request, or the request exceeds a limit, arrives too slowly or
            is refused for lack of room.
        """
        self._parser.limits = limits
        self._returned_bytes = 0
        # The time of a request that was read ahead begins now.
        self._began_s, self._paused_s = anyio.current_time(), 0.0
        self._room.set_awaited(True, self._began_s)
        self._count_held()
        try:
            return await self._next()
        finally:
            self._room.set_awaited(False, anyio.current_time())

    async def _next(self) -> ReceivedRequest | None:
        parser = self._parser
        while not parser.received:
            if self._failure is not None:
                raise self._failure
            try:
                if not await self._advance(is_awaited=True):
                    return None
            except TimeoutError as error:
                if not parser.is_in_message:
                    return None
                raise HttpInvalid(408, "the request did not arrive whole in time") from error
        request = parser.received.popleft()
        self._returned_bytes = request.held_bytes
        parser.received_held_bytes -= request.held_bytes
        return request

    async def wait_closed(self) -> None:
        """Return once the caller closes; requests that arrive meanwhile are kept for `next`.

        After an invalid request, `MAX_PARSED_AHEAD` requests or `MAX_AHEAD_BYTES`, or without room,
        it reads no more, and returns only if the caller has closed and the kernel has received all
        that it sent.
        """
        while self._may_read_ahead():
            if not await self._advance():
                return
        while not has_left(self._stream):
            await anyio.sleep(CHECK_EVERY_S)

    def _may_read_ahead(self) -> bool:
        parser = self._parser
        if self._failure is not None or self._unparsed or len(parser.received) >= MAX_PARSED_AHEAD:
            return False
        partial_bytes = max(parser.partial_held_bytes, parser.expected_bytes)
        is_small = parser.received_held_bytes + partial_bytes <= MAX_AHEAD_BYTES
        return is_small and self._room.may_read(parser.expected_bytes, anyio.current_time())

    async def _advance(self, is_awaited: bool = False) -> bool:
        """Receive and parse some bytes, once there is room; return whether the caller is there.

        For a request that isn't awaited, bytes for which there is no room are kept unparsed.

        Raises
        ------
        TimeoutError
            If nothing arrives in time for a request that is awaited.
        """
        parser = self._parser
        if not self._unparsed:
            # The size of a further request isn't known yet, so that it is received first.
            if is_awaited and parser.is_in_message and not await self._wait_for_room():
                return False
            if self._failure is not None:
                return True
            if is_awaited and parser.expects_continue and not await self._send_continue():
                return False
            wait_s = self._wait_s() if is_awaited else math.inf
            is_large = max(parser.expected_bytes, parser.body_bytes) > HEAD_READ_BYTES
            is_costly = self._pace.last_cost > MAX_READ_COST
            is_long = parser.is_in_message and is_large and not is_costly
            size = READ_BYTES if is_long else HEAD_READ_BYTES
            try:
                with anyio.CancelScope(deadline=anyio.current_time() + wait_s) as self._receiving:
                    self._unparsed = await self._stream.receive(size)
            except (anyio.EndOfStream, *STREAM_ERRORS):
                return False
            finally:
                self._receiving = None
            if not self._unparsed and self._failure is None:
                raise TimeoutError
        if not parser.is_in_message:
            if not is_awaited and not self._room.may_read(0, anyio.current_time()):
                return True
            if is_awaited and not await self._wait_for_room():
                return False
        if self._failure is None:
            self._parse()
        is_in_body = parser.is_in_message and parser.is_head_complete
        return not is_in_body or await self._wait_for_turn(is_awaited)

    async def _wait_for_turn(self, is_awaited: bool) -> bool:
        """Wait until the body may be read on, or is refused; False if the caller left."""
        if self._failure is None and not await self._pace.wait_turn(is_awaited):
            self._refuse("no processor time for the request")
        # Of a caller that has closed, the bytes before the end would be parsed for nothing.
        return not (self._pace.is_contended and has_left(self._stream))

    def _parse(self) -> None:
        parser = self._parser
        data, self._unparsed = self._unparsed, b""
        number, chunks = parser.number, parser.chunks
        try:
            parser.feed(data)
        except HttpInvalid as error:
            parser.drop()
            self._failure = error
        if parser.number != number:
            self._pace.begin()
            chunks = 0
        self._pace.count_read(len(data), parser.chunks - chunks)
        if self._part != (parser.number, parser.is_head_complete):
            self._part = (parser.number, parser.is_head_complete)
            self._began_s, self._paused_s = anyio.current_time(), 0.0
        self._count_held()

    def _wait_s(self) -> float:
        """Return the longest time to wait for the next bytes, in seconds."""
        parser = self._parser
        if not parser.is_in_message:
            return parser.limits.idle_timeout_s
        passed_s = anyio.current_time() - self._began_s - self._paused_s
        if not parser.is_head_complete:
            # Of the whole head: single bytes would hold a connection for hours.
            return parser.limits.head_timeout_s - passed_s
        left_s = BODY_GRACE_S + parser.body_bytes / BODY_BYTES_PER_S - passed_s
        return min(parser.limits.idle_timeout_s, left_s)

    async def _send_continue(self) -> bool:
        self._parser.expects_continue = False
        try:
            await self._stream.send(CONTINUE)
        except STREAM_ERRORS:
            return False
        self._began_s, self._paused_s = anyio.current_time(), 0.0
        return True

    async def _wait_for_room(self) -> bool:
        """Wait until more may be read, or the request is refused; False if the caller left."""
        began_s = anyio.current_time()
        while self._failure is None:
            now_s = anyio.current_time()
            parser = self._parser
            if self._room.may_read(parser.expected_bytes, now_s, parser.max_held_bytes):
                self._paused_s += now_s - began_s
                break
            if self._room.is_refused:
                self._refuse(NO_ROOM)
                break
            if has_left(self._stream):
                return False
            self._changed = anyio.Event()
            with anyio.move_on_after(CHECK_EVERY_S):
                await self._changed.wait()
            self._room.relieve(anyio.current_time())
        return True

    def _wake(self) -> None:
        self._changed.set()
        if self._room.is_refused:
            self._refuse(NO_ROOM)

    def _refuse(self, problem: str) -> None:
        if self._failure is not None:
            return
        self._failure = HttpInvalid(NO_ROOM_STATUS, problem)
        self._unparsed = b""
        self._parser.drop()
        self._count_held()
        if self._receiving is not None:
            self._receiving.cancel()

    def _count_held(self) -> None:
        parser = self._parser
        kept_bytes = self._returned_bytes + parser.received_held_bytes
        self._room.update(kept_bytes, parser.partial_held_bytes, anyio.current_time())
