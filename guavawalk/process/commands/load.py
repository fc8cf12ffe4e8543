"""`guavawalk load`: the load tool."""

from pathlib import Path

from cyclopts import App

from guavawalk.exception import ResultsError
from guavawalk.process.load.page import render_page
from guavawalk.process.load.results import read_results
from guavawalk.process.load.summary import summarize_results

__all__ = ["load_app"]

BROKEN_EXIT = 1

load_app = App(name="load", help="Load and experiments.")


@load_app.command
def report(*results: Path, out: Path = Path("report.html")) -> int:
    """Make one HTML page of results files, run by run side by side.

    Parameters
    ----------
    results : Path
        JSON lines that load runs wrote.
    out : Path
        File of the page.
    """
    summaries = summarize_results(read_results(results))
    if not summaries:
        raise ResultsError(", ".join(map(str, results)) or "results", "there is no run in it")
    try:
        out.write_text(render_page(summaries), encoding="utf-8")
    except OSError as error:
        raise ResultsError(str(out), error.strerror or "can't be written") from error
    broken = sum(line["broken"] for summary in summaries for line in summary.promises)
    print(f"{out}: {len(summaries)} runs, {broken} broken promises")
    return BROKEN_EXIT if broken else 0
