"""Structured logs that are bounded under load and never block the process.

Lines are encoded when they are emitted, kept in a bounded buffer, and written by a task of their
own. What is dropped is counted and told.
"""

import logging
import os
import time
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import anyio
import msgspec
import msgspec.json

from guavawalk import events
from guavawalk.events import Event

__all__ = ["BoundedLog", "create_bounded_log"]

# Lines that wait for whoever reads the output; at 300 bytes each below 1 MB.
MAX_LINES = 2_000
# Part of the buffer that only lines of level WARNING and above may fill.
KEPT_FOR_WARNINGS = 500
# Lines of one kind in a second, below WARNING; a busy process ends 100 requests a second.
MAX_LINES_PER_S = 300
# Lines are written together at most this often, in seconds.
WRITE_EVERY_S = 0.1
# Time until an output that took nothing is tried again, in seconds.
RETRY_WRITE_S = 0.2
# Time between two accounts of dropped lines, in seconds.
LOG_DROPS_EVERY_S = 1.0
WRITE_BYTES = 65_536


class _Kind:
    """Lines of one kind of event in the current second.

    Attributes
    ----------
    members : bytes
        What all its lines have in common, as members of a JSON object.
    """

    def __init__(self, members: bytes) -> None:
        self.members = members
        self.second = 0
        self.lines = 0
        self.dropped = 0


class BoundedLog:
    """Events as JSON lines on a file descriptor.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, common: dict[str, Any], level: str, now_s: Callable[[], float]) -> None:
        self._common = common
        self._now_s = now_s
        self._lines: deque[bytes] = deque()
        self._kinds: dict[str, _Kind] = {}
        self._encode = msgspec.json.Encoder().encode
        self._waiting = anyio.Event()
        self._drops_reported_s = 0.0
        self._second = 0
        self._second_text = b""
        self._least_level = 0
        self.dropped = 0
        self.level = level

    @property
    def level(self) -> str:
        """Name of the lowest level that is logged."""
        return logging.getLevelName(self._least_level)

    @level.setter
    def level(self, level: str) -> None:
        self._least_level = logging.getLevelName(level)

    def emit(self, event: Event, **fields: Any) -> None:
        """Log one event with its fields, or count it as dropped."""
        if event.level < self._least_level:
            return
        now_s = self._now_s()
        kind = self._kind(event)
        if not self._has_room(event, kind, int(now_s)):
            kind.dropped += 1
            self.dropped += 1
            return
        self._append(kind, now_s, fields)

    def _kind(self, event: Event) -> _Kind:
        kind = self._kinds.get(event.name)
        if kind is None:
            common = {
                "message": event.message,
                "level": logging.getLevelName(event.level),
                "event": event.number,
                "event_name": event.name,
                **self._common,
            }
            kind = self._kinds[event.name] = _Kind(self._encode(common)[1:-1])
        return kind

    def _has_room(self, event: Event, kind: _Kind, second: int) -> bool:
        if event.level >= logging.WARNING:
            return len(self._lines) < MAX_LINES
        if kind.second != second:
            kind.second, kind.lines = second, 0
        kind.lines += 1
        return kind.lines <= MAX_LINES_PER_S and len(self._lines) < MAX_LINES - KEPT_FOR_WARNINGS

    def _append(self, kind: _Kind, now_s: float, fields: dict[str, Any]) -> None:
        own = b"," + self._encode(fields)[1:] if fields else b"}"
        self._lines.append(b'{"time":"%s",%s%s\n' % (self._time(now_s), kind.members, own))
        self._waiting.set()

    def _time(self, now_s: float) -> bytes:
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._second_text = f"{datetime.fromtimestamp(second, UTC):%Y-%m-%dT%H:%M:%S}".encode()
        return b"%s.%03d+00:00" % (self._second_text, int((now_s - second) * 1000))

    async def write(self, descriptor: int) -> None:
        """Write lines to a descriptor for as long as the process lives.

        Notes
        -----
        An output that nobody reads holds up this task only.
        """
        os.set_blocking(descriptor, False)
        while True:
            await self._waiting.wait()
            self._waiting = anyio.Event()
            await anyio.sleep(WRITE_EVERY_S)
            while self.flush(descriptor):
                await anyio.sleep(RETRY_WRITE_S)
            self._log_drops()

    def flush(self, descriptor: int) -> bool:
        """Write what the descriptor takes now; say whether lines are left."""
        while self._lines:
            batch = bytearray()
            while self._lines and len(batch) < WRITE_BYTES:
                batch += self._lines.popleft()
            try:
                written = os.write(descriptor, batch)
            except BlockingIOError:
                written = 0
            if written < len(batch):
                self._lines.appendleft(bytes(batch[written:]))
                return True
        return False

    def _log_drops(self) -> None:
        now_s = self._now_s()
        if now_s - self._drops_reported_s < LOG_DROPS_EVERY_S:
            return
        self._drops_reported_s = now_s
        counts = {name: kind.dropped for name, kind in self._kinds.items() if kind.dropped}
        if counts:
            for kind in self._kinds.values():
                kind.dropped = 0
            self._append(self._kind(events.LOG_LINES_DROPPED), now_s, {"dropped": counts})


def create_bounded_log(
    role: str, instance: str, level: str = "INFO", now_s: Callable[[], float] = time.time
) -> BoundedLog:
    """Create a log without lines; its `write` task must be started."""
    return BoundedLog({"role": role, "instance": instance}, level, now_s)
