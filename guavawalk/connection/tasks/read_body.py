"""Reads the body of a request that an ASGI server has received the head of."""

from __future__ import annotations

import anyio
from starlette.requests import Request

from guavawalk.codes import ResultCode
from guavawalk.connection.input_turns import InputTurns, RequestPace, UnlimitedTurns
from guavawalk.connection.request_reader import CHECK_EVERY_S, InputRoom
from guavawalk.exception import RequestError

__all__ = ["read_body"]

# Size of a request beside its body, in memory.
REQUEST_BYTES = 4_096
# Time after which a caller may retry a request for which there was no room, in milliseconds.
NO_ROOM_RETRY_MS = 1_000
# A shorter part of a body counts as one that cost much to parse: the server reads some KB at a
# time, and does not tell in how many chunks they came.
COSTLY_PART_BYTES = 2_048
COSTLY_PART_CHUNKS = 1_024


async def read_body(
    request: Request,
    room: InputRoom,
    limit_bytes: int,
    timeout_s: float,
    turns: InputTurns | None = None,
) -> bytearray:
    """Return the body of a request; it counts in `room` from the first byte on.

    Parameters
    ----------
    turns : InputTurns, optional
        Turns in which bodies are read; by default they are not waited for.

    Raises
    ------
    RequestError
        `BODY_TOO_LARGE` if it is over `limit_bytes`, at once if that is announced;
        `REQUEST_TIMEOUT` if it doesn't arrive in `timeout_s`; `QUEUE_FULL` if there is no room, or
        no processor time to read it.
    ClientDisconnect
        If the caller leaves.
    """
    announced = request.headers.get("content-length", "")
    expected_bytes = int(announced) if announced.isdecimal() and len(announced) < 20 else 0
    _check_size(expected_bytes, limit_bytes)
    max_bytes = REQUEST_BYTES + limit_bytes
    body, changed = bytearray(), anyio.Event()
    pace = RequestPace(turns or UnlimitedTurns())

    def wake() -> None:
        changed.set()
        if room.is_refused:
            scope.cancel()

    with anyio.CancelScope(deadline=anyio.current_time() + timeout_s) as scope:
        room.on_change = wake
        room.update(0, REQUEST_BYTES, anyio.current_time())
        parts = request.stream()
        while True:
            while not room.may_read(expected_bytes, anyio.current_time(), max_bytes):
                changed = anyio.Event()
                with anyio.move_on_after(CHECK_EVERY_S):
                    await changed.wait()
                room.relieve(anyio.current_time())
            part = await anext(parts, None)
            if part is None:
                room.update(REQUEST_BYTES + len(body), 0, anyio.current_time())
                return body
            body += part
            _check_size(len(body), limit_bytes)
            room.update(0, REQUEST_BYTES + len(body), anyio.current_time())
            pace.count_read(len(part), COSTLY_PART_CHUNKS if len(part) < COSTLY_PART_BYTES else 0)
            if not await pace.wait_turn():
                detail = "no processor time for the body"
                raise RequestError(ResultCode.QUEUE_FULL, detail, NO_ROOM_RETRY_MS)
    if room.is_refused:
        raise RequestError(ResultCode.QUEUE_FULL, "no room for the body", NO_ROOM_RETRY_MS)
    raise RequestError(ResultCode.REQUEST_TIMEOUT)


def _check_size(size: int, limit_bytes: int) -> None:
    if size > limit_bytes:
        raise RequestError(ResultCode.BODY_TOO_LARGE, f"allowed are {limit_bytes} bytes")
