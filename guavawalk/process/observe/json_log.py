"""Structured logs of entries and sidecars: one JSON line for each numbered event."""

import logging
import time
from collections.abc import Callable
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from guavawalk.events import Event
from guavawalk.process.observe.bounded_log import BoundedLog

__all__ = ["create_event_log"]


class _FormatterEncoder:
    """Encodes events with the formatter of `python-json-logger`."""

    def __init__(self, common: dict[str, Any]) -> None:
        self._common = common
        self._formatter = JsonFormatter(
            "%(levelname)s %(message)s", timestamp="time", rename_fields={"levelname": "level"}
        )

    def __call__(self, event: Event, now_s: float, fields: dict[str, Any]) -> bytes:
        members = {
            "message": event.message,
            "event": event.number,
            "event_name": event.name,
            **self._common,
            **fields,
        }
        # As a message, unlike attributes of the record, they may have any names.
        level = logging.getLevelName(event.level)
        record = logging.makeLogRecord({"levelname": level, "msg": members, "created": now_s})
        return self._formatter.format(record).encode() + b"\n"


def create_event_log(
    role: str, instance: str, level: str = "INFO", now_s: Callable[[], float] = time.time
) -> BoundedLog:
    """Create an empty log; run its `write` method as a task to write the lines.

    `now_s` returns seconds since the Unix epoch.
    """
    return BoundedLog(_FormatterEncoder({"role": role, "instance": instance}), level, now_s)
