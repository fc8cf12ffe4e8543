"""Generates the tables of docs/CODES.md, docs/EVENTS.md and docs/METRICS.md from the code."""

import logging

from guavawalk.codes import CODES, code_class
from guavawalk.events import EVENTS
from guavawalk.process.observe.names import METRICS

__all__ = ["codes_table", "events_table", "metrics_table"]


def codes_table() -> str:
    """Return the result codes as a Markdown table."""
    lines = ["| number | name | class | HTTP | meaning |", "|---|---|---|---|---|"]
    for number, row in sorted(CODES.items()):
        group = code_class(number).name
        lines.append(
            f"| {number} | {row.code.name} | {group} | {row.http_status} | {row.message} |"
        )
    return "\n".join(lines) + "\n"


def events_table() -> str:
    """Return the log events as a Markdown table."""
    lines = ["| number | name | level | meaning |", "|---|---|---|---|"]
    for event in sorted(EVENTS.values()):
        level = logging.getLevelName(event.level)
        lines.append(f"| {event.number} | {event.name} | {level} | {event.message} |")
    return "\n".join(lines) + "\n"


def metrics_table() -> str:
    """Return the metrics as a Markdown table."""
    lines = ["| name | kind | sent by | meaning |", "|---|---|---|---|"]
    for metric in METRICS:
        lines.append(f"| `{metric.pattern}` | {metric.kind} | {metric.role} | {metric.meaning} |")
    return "\n".join(lines) + "\n"
