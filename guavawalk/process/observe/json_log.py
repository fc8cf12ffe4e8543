"""Writes structured logs: one JSON line for each numbered event."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from guavawalk.events import Event
from guavawalk.process.observe.log import EventLog

__all__ = ["create_event_log"]


class JsonEventLog:
    """Event log that writes JSON lines through a standard logger."""

    def __init__(self, logger: logging.Logger, common: dict[str, Any]) -> None:
        self._logger = logger
        self._common = common

    @property
    def level(self) -> str:
        """Name of the lowest level that is logged, one of `LOG_LEVELS`."""
        return logging.getLevelName(self._logger.level)

    @level.setter
    def level(self, level: str) -> None:
        self._logger.setLevel(level)

    def emit(self, event: Event, **fields: Any) -> None:
        """Write a line for an event with its fields, unless its level is too low."""
        if not self._logger.isEnabledFor(event.level):
            return
        extra = {"event": event.number, "event_name": event.name, **self._common, **fields}
        self._logger.log(event.level, event.message, extra=extra)


def create_event_log(
    role: str, instance: str, level: str = "INFO", stream: TextIO | None = None
) -> EventLog:
    """Create a log that writes JSON lines to a stream; None for standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(levelname)s %(message)s", timestamp="time", rename_fields={"levelname": "level"}
    )
    handler.setFormatter(formatter)
    logger = logging.Logger(f"guavawalk.{role}.{instance}", level)
    logger.addHandler(handler)
    return JsonEventLog(logger, {"role": role, "instance": instance})
