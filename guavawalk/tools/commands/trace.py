"""`guavawalk trace`: prints the log lines of one request."""

from pathlib import Path

from rich.console import Console
from rich.text import Text

from guavawalk.process.observe.trace import Trace, read_trace
from guavawalk.tools.commands.documents import printable

__all__ = ["trace"]

NOT_FOUND_EXIT = 1


def trace(trace_id: str, /, *log_files: Path) -> int:
    """Print the log lines of one request, in order of time.

    Parameters
    ----------
    trace_id : str
        The request's `X-Request-Id`.
    log_files : Path
        Log files of entries and sidecars, as JSON lines.
    """
    found = read_trace(trace_id, log_files)
    console = Console()
    if found.lines:
        _print_lines(console, found)
    else:
        console.print(f"no event of {trace_id!r} in {len(log_files)} files", markup=False)
    if found.unreadable_lines:
        console.print(f"{found.unreadable_lines} lines were not JSON and were skipped")
    return 0 if found.lines else NOT_FOUND_EXIT


def _print_lines(console: Console, found: Trace) -> None:
    # Lines are not cut to the width of the terminal: the details that matter are at their ends.
    for line in found.lines:
        text = f"{line.time} {line.instance} {line.event} {line.message}: {line.details}"
        console.print(Text(printable(text)), soft_wrap=True)
