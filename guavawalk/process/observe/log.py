"""Where numbered events go."""

from typing import Any, Protocol

from guavawalk.events import Event

__all__ = ["LOG_LEVELS", "EventLog", "create_null_log"]


LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class EventLog(Protocol):
    """Where events go.

    Attributes
    ----------
    level : str
        Events below it are dropped, one of `LOG_LEVELS`; those of level AUDIT never are.
    """

    level: str

    def emit(self, event: Event, **fields: Any) -> None:
        """Log one event with its fields."""
        ...


class NullLog:
    """Nowhere."""

    def __init__(self) -> None:
        self.level = "ERROR"

    def emit(self, event: Event, **fields: Any) -> None:
        """Drop the event."""


def create_null_log() -> EventLog:
    """Create a log that drops all events."""
    return NullLog()
