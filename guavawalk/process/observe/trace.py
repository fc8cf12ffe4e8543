"""Collects the log events of one request from the log files of several processes."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from guavawalk.exception import LogFileError

__all__ = ["Trace", "TraceLine", "read_trace"]

# Fields that the details of a trace line leave out: it shows them elsewhere, or they are the same
# in all lines of a request or event.
COMMON_FIELDS = ("time", "level", "message", "event", "event_name", "role", "instance", "trace_id")
# Fields by which the lines of a request are found.
ID_FIELDS = ("trace_id", "attempt_id")


class TraceLine(NamedTuple):
    """One log event of a request.

    Attributes
    ----------
    time : str
        Time in the log line; empty if it has none.
    event : int
        Number of the event; 0 if the line has none.
    details : str
        The remaining fields as `name=value`, separated by spaces.
    """

    time: str
    instance: str
    event: int
    message: str
    details: str


class Trace(NamedTuple):
    """The log events of one request.

    Attributes
    ----------
    lines : tuple of TraceLine
        Events in the order of their times.
    unreadable_lines : int
        Number of lines in the log files that are not JSON objects.
    """

    lines: tuple[TraceLine, ...]
    unreadable_lines: int


def read_trace(trace_id: str, files: Iterable[Path]) -> Trace:
    """Find the events of a request by its trace id and the ids of its attempts.

    Raises
    ------
    LogFileError
        If a file can't be read.

    Notes
    -----
    Events are sorted by the times in their lines; the order of events from different machines
    depends on the accuracy of their clocks. The files are read twice: first for the ids of the
    attempts, then for the events.
    """
    files = tuple(files)
    ids = {trace_id}
    unreadable_lines = 0
    for record in _records(files):
        if record is None:
            unreadable_lines += 1
        elif record.get("trace_id") == trace_id and record.get("attempt_id"):
            ids.add(record["attempt_id"])
    events = [
        _line(record)
        for record in _records(files)
        if record and any(str(record.get(field, "")) in ids for field in ID_FIELDS)
    ]
    return Trace(tuple(sorted(events, key=lambda line: line.time)), unreadable_lines)


def _records(files: Iterable[Path]) -> Iterator[dict[str, Any] | None]:
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from map(_record, lines)
        except OSError as error:
            raise LogFileError(f"{file}: {error.strerror or 'unreadable'}") from error


def _record(line: str) -> dict[str, Any] | None:
    # Log collectors may prepend their own time and the host name to the line.
    try:
        record = json.loads(line[max(line.find("{"), 0) :])
    except (ValueError, RecursionError):
        return None
    return record if isinstance(record, dict) else None


def _line(record: dict[str, Any]) -> TraceLine:
    details = {name: value for name, value in record.items() if name not in COMMON_FIELDS}
    return TraceLine(
        time=str(record.get("time", "")),
        instance=str(record.get("instance", "")),
        event=record.get("event", 0),
        message=str(record.get("message", "")),
        details=" ".join(f"{name}={value}" for name, value in details.items()),
    )
