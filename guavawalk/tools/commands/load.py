"""`guavawalk load`: runs load plans and reports their results."""

from collections.abc import Sequence
from pathlib import Path

from cyclopts import App
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from guavawalk.exception import ResultsError
from guavawalk.tools.bench.policy import bench_plan
from guavawalk.tools.load.faults import check_faults
from guavawalk.tools.load.page import render_page
from guavawalk.tools.load.plan_file import read_load_plan
from guavawalk.tools.load.results import format_line, read_results
from guavawalk.tools.load.run import FinishedRun, lines_of_run, run_policy_of_plan
from guavawalk.tools.load.summary import RunSummary, summarize_results

__all__ = ["load_app"]

# Exit status if a check found a broken promise.
BROKEN_EXIT = 1

load_app = App(name="load", help="Run load plans and report their results.")


@load_app.command
def report(*results: Path, out: Path = Path("report.html")) -> int:
    """Write one HTML page that shows the runs of results files side by side.

    Parameters
    ----------
    results : Path
        Files of JSON lines that `guavawalk load run` wrote.
    out : Path
        File to which the page is written.
    """
    summaries = summarize_results(read_results(results))
    if not summaries:
        raise ResultsError(", ".join(map(str, results)) or "results", "contains no run line")
    try:
        out.write_text(render_page(summaries), encoding="utf-8")
    except OSError as error:
        raise ResultsError(str(out), error.strerror or "can't be written") from error
    broken = sum(line["broken"] for summary in summaries for line in summary.promises)
    print(f"{out}: {len(summaries)} runs, {broken} broken promises")
    return BROKEN_EXIT if broken else 0


@load_app.command
def run(plan: Path, out: Path | None = None) -> int:
    """Run a load plan in virtual time, one policy after the other.

    Parameters
    ----------
    plan : Path
        File of JSON with comments; see plans/ for examples.
    out : Path, optional
        File to which results are appended as JSON lines, for `guavawalk load report`.
    """
    experiment = read_load_plan(plan)
    check_faults(str(plan), experiment, bench_plan(experiment.deployment))
    console = Console()
    finished = []
    with Progress(console=console, transient=True) as progress:
        for policy in experiment.policies:
            task = progress.add_task(policy, total=experiment.duration_s)

            def report_progress(at_s: float, task=task) -> None:
                progress.update(task, completed=at_s)

            finished.append(run_policy_of_plan(experiment, policy, report_progress))
            if out is not None:
                _append(out, finished[-1])
    summaries = summarize_results(line for run in finished for line in lines_of_run(run))
    console.print(_tier_table(summaries))
    broken = [line for run in finished for line in run.promises if line["broken"]]
    for line in broken:
        console.print(f"{line['promise']}: broken {line['broken']} times ({line['detail']})")
    return BROKEN_EXIT if broken else 0


def _append(out: Path, finished: FinishedRun) -> None:
    try:
        with out.open("a", encoding="utf-8") as file:
            file.writelines(map(format_line, lines_of_run(finished)))
    except OSError as error:
        raise ResultsError(str(out), error.strerror or "can't be written") from error


def _tier_table(summaries: Sequence[RunSummary]) -> Table:
    table = Table("policy", "tier", "offered", "in time", "share", "others", "wasted tokens")
    for summary in summaries:
        wasted = " ".join(f"{line['cause']} {line['prompt_tokens']:,}" for line in summary.waste)
        for tier in summary.tiers:
            others = " ".join(f"{name} {count}" for name, count in tier.codes)
            share = f"{tier.in_time / max(tier.offered, 1):.1%}"
            cells = (str(tier.offered), str(tier.in_time), share, others, wasted)
            table.add_row(summary.run["policy"], tier.tier, *cells)
            wasted = ""
    return table
