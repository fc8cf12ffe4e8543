"""Interface of event logs."""

from typing import Any, Protocol

from guavawalk.events import Event

__all__ = ["LOG_LEVELS", "EventLog", "create_null_log"]


LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class EventLog(Protocol):
    """Log of numbered events.

    Attributes
    ----------
    level : str
        Lowest level that is logged, one of `LOG_LEVELS`; events of level AUDIT are always
        logged.
    dropped : int
        Lines dropped since the start, since they were too many.
    """

    level: str
    dropped: int

    def emit(self, event: Event, **fields: Any) -> None:
        """Log an event with its fields."""
        ...


class NullLog:
    """Event log that drops all events."""

    def __init__(self) -> None:
        self.level = "ERROR"
        self.dropped = 0

    def emit(self, event: Event, **fields: Any) -> None:
        """Drop the event."""


def create_null_log() -> EventLog:
    """Create a log that drops all events."""
    return NullLog()
