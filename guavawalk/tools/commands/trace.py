"""`guavawalk trace`: the story of one request."""

from pathlib import Path

from rich.console import Console
from rich.text import Text

from guavawalk.process.observe.trace import Trace, read_trace
from guavawalk.tools.commands.documents import printable

__all__ = ["trace"]

NOT_FOUND_EXIT = 1


def trace(trace_id: str, /, *log_files: Path) -> int:
    """Print what the logs say of one request, in the order of time.

    Parameters
    ----------
    trace_id : str
        The request's `X-Request-Id`.
    log_files : Path
        JSON lines of entries and sidecars.
    """
    found = read_trace(trace_id, log_files)
    console = Console()
    if found.lines:
        _print_lines(console, found)
    else:
        console.print(f"no event of {trace_id!r} in {len(log_files)} files", markup=False)
    if found.unreadable_lines:
        console.print(f"{found.unreadable_lines} lines were no JSON and were passed over")
    return 0 if found.lines else NOT_FOUND_EXIT


def _print_lines(console: Console, found: Trace) -> None:
    # Lines are not cut to the terminal's width: what is cut off is what was looked for.
    for line in found.lines:
        text = f"{line.time} {line.instance} {line.event} {line.message}: {line.details}"
        console.print(Text(printable(text)), soft_wrap=True)
