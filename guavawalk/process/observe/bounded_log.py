"""Writes structured logs in bounded memory without blocking the process.

Events are encoded as JSON lines when they are emitted, kept in a bounded buffer, and written by a
separate task. Dropped lines are counted, and the counts are logged.
"""

import logging
import os
import time
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import UTC, datetime
from typing import Any, Protocol

import anyio
import msgspec
import msgspec.json

from guavawalk import events
from guavawalk.events import Event

__all__ = ["BoundedLog", "LineEncoder", "create_bounded_log", "write_log"]

# Capacity of the buffer in lines, and in bytes: a line may hold what a caller sent in its head.
MAX_LINES = 2_000
MAX_BYTES = 1_000_000
# Share of the buffer that is reserved for levels WARNING and above.
SHARE_FOR_WARNINGS = 0.25
# Maximum number of lines a second for each event below level AUDIT. A busy process completes 100
# requests a second and logs a line for each.
MAX_LINES_PER_S = 300
# Time over which lines are collected before they are written together, in seconds.
WRITE_EVERY_S = 0.1
# Delay before writing again to an output that is full, in seconds.
RETRY_WRITE_S = 0.2
# Shortest time between two log lines that count the dropped ones, in seconds.
REPORT_DROPS_EVERY_S = 1.0
# Lines are collected into one write until they reach this size, in bytes.
BATCH_BYTES = 65_536


class LineEncoder(Protocol):
    """Encodes an event as a line of a log."""

    def __call__(self, event: Event, now_s: float, fields: dict[str, Any]) -> bytes:
        """Return the line with its end; `now_s` is in seconds since the Unix epoch."""
        ...


class _CompactEncoder:
    """Encodes JSON lines, and the members that all lines of an event share only once."""

    def __init__(self, common: dict[str, Any]) -> None:
        self._common = common
        # JSON members that all lines of an event share, by its name, without the braces.
        self._members: dict[str, bytes] = {}
        self._encode = msgspec.json.Encoder().encode
        self._second = 0
        self._second_text = b""

    def __call__(self, event: Event, now_s: float, fields: dict[str, Any]) -> bytes:
        members = self._members.get(event.name)
        if members is None:
            common = {
                "message": event.message,
                "level": logging.getLevelName(event.level),
                "event": event.number,
                "event_name": event.name,
                **self._common,
            }
            members = self._members[event.name] = self._encode(common)[1:-1]
        rest = b"," + self._encode(fields)[1:] if fields else b"}"
        return b'{"time":"%s",%s%s\n' % (self._time(now_s), members, rest)

    def _time(self, now_s: float) -> bytes:
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._second_text = f"{datetime.fromtimestamp(second, UTC):%Y-%m-%dT%H:%M:%S}".encode()
        return b"%s.%03d+00:00" % (self._second_text, int((now_s - second) * 1000))


class _EventLimiter:
    """Rate limit and drop count of one event.

    Attributes
    ----------
    second : int
        The second, since the Unix epoch, in which `lines` were counted.
    lines : int
        Lines emitted in that second, dropped ones included.
    dropped : int
        Lines dropped since drops were last reported.
    """

    def __init__(self) -> None:
        self.second = 0
        self.lines = 0
        self.dropped = 0


class BoundedLog:
    """Events as lines on a file descriptor.

    Parameters
    ----------
    encode : LineEncoder
        Encodes the lines.
    now_s : callable
        Returns seconds since the Unix epoch.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.

    Notes
    -----
    A line is dropped if the buffer is full, or if its event exceeds `MAX_LINES_PER_S`, which does
    not apply to level AUDIT.
    """

    def __init__(self, encode: LineEncoder, level: str, now_s: Callable[[], float]) -> None:
        self._encode = encode
        self._now_s = now_s
        self._lines: deque[bytes] = deque()
        self._held_bytes = 0
        self._limiters: defaultdict[str, _EventLimiter] = defaultdict(_EventLimiter)
        self._has_lines = anyio.Event()
        self._drops_reported_s = 0.0
        self._min_level = 0
        self.dropped = 0
        self.level = level

    @property
    def level(self) -> str:
        """Name of the lowest level that is logged, one of `LOG_LEVELS`."""
        return logging.getLevelName(self._min_level)

    @level.setter
    def level(self, level: str) -> None:
        self._min_level = logging.getLevelName(level)

    def emit(self, event: Event, **fields: Any) -> None:
        """Buffer a line for an event with its fields, or count it as dropped."""
        if event.level < self._min_level:
            return
        now_s = self._now_s()
        limiter = self._limiters[event.name]
        if not self._has_room(event, limiter, int(now_s)):
            limiter.dropped += 1
            self.dropped += 1
            return
        self._append(event, now_s, fields)

    def _has_room(self, event: Event, limiter: _EventLimiter, second: int) -> bool:
        if limiter.second != second:
            limiter.second, limiter.lines = second, 0
        limiter.lines += 1
        if event.level < events.AUDIT and limiter.lines > MAX_LINES_PER_S:
            return False
        share = 1.0 if event.level >= logging.WARNING else 1.0 - SHARE_FOR_WARNINGS
        return len(self._lines) < share * MAX_LINES and self._held_bytes < share * MAX_BYTES

    def _append(self, event: Event, now_s: float, fields: dict[str, Any]) -> None:
        line = self._encode(event, now_s, fields)
        self._lines.append(line)
        self._held_bytes += len(line)
        self._has_lines.set()

    async def write(self, descriptor: int) -> None:
        """Write buffered lines to a file descriptor until cancelled.

        The descriptor is made non-blocking, so an output that is not read delays only this task.
        """
        os.set_blocking(descriptor, False)
        while True:
            await self._has_lines.wait()
            self._has_lines = anyio.Event()
            await anyio.sleep(WRITE_EVERY_S)
            while self.flush(descriptor):
                await anyio.sleep(RETRY_WRITE_S)
            self._log_drops()

    def flush(self, descriptor: int) -> bool:
        """Write what a descriptor accepts without blocking; return whether lines are left."""
        while self._lines:
            batch = bytearray()
            while self._lines and len(batch) < BATCH_BYTES:
                batch += self._lines.popleft()
            try:
                written = os.write(descriptor, batch)
            except OSError:
                # It is full, or its reader has closed.
                written = 0
            self._held_bytes -= written
            if written < len(batch):
                self._lines.appendleft(bytes(batch[written:]))
                return True
        return False

    def _log_drops(self) -> None:
        now_s = self._now_s()
        if now_s - self._drops_reported_s < REPORT_DROPS_EVERY_S:
            return
        self._drops_reported_s = now_s
        counts = {
            name: limiter.dropped for name, limiter in self._limiters.items() if limiter.dropped
        }
        if counts:
            for limiter in self._limiters.values():
                limiter.dropped = 0
            self._append(events.LOG_LINES_DROPPED, now_s, {"dropped": counts})


@asynccontextmanager
async def write_log(log: BoundedLog, descriptor: int) -> AsyncIterator[None]:
    """Write a log to a file descriptor while the block runs, and what is left at its end."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log.write, descriptor)
        try:
            yield
        finally:
            tasks.cancel_scope.cancel()
            log.flush(descriptor)


def create_bounded_log(
    role: str, instance: str, level: str = "INFO", now_s: Callable[[], float] = time.time
) -> BoundedLog:
    """Create an empty log; run its `write` method as a task to write the lines.

    `now_s` returns seconds since the Unix epoch.
    """
    return BoundedLog(_CompactEncoder({"role": role, "instance": instance}), level, now_s)
