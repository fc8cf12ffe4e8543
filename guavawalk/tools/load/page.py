"""Renders load runs side by side on one self-contained HTML page."""

from collections.abc import Iterable, Sequence
from xml.sax.saxutils import escape

from guavawalk.tools.load.charts import BarGroup, Line, bar_chart, line_chart
from guavawalk.tools.load.summary import PERCENTILES, RunSummary

__all__ = ["render_page"]

# Number of labels on the time axis.
TIME_LABELS = 5
STYLE = """
:root { color-scheme: light dark; }
body { font: 15px/1.5 system-ui, sans-serif; max-width: 76rem; margin: 2rem auto; padding: 0 1rem; }
main { display: grid; grid-template-columns: repeat(auto-fit, minmax(30rem, 1fr)); gap: 1.5rem; }
section { grid-column: 1 / -1; overflow-x: auto; }
figure { margin: 0; }
figcaption { font-weight: 600; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: currentColor; }
svg .grid { stroke: currentColor; stroke-opacity: 0.15; }
svg .mark { stroke: #b3475d; stroke-dasharray: 3 3; }
svg polyline { stroke-width: 2; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: 0.2rem 0.8rem; border-bottom: 1px solid #8884; }
td { font-variant-numeric: tabular-nums; }
.legend { list-style: none; padding: 0; display: flex; flex-wrap: wrap; gap: 0 1rem; margin: 0; }
.legend span { display: inline-block; width: 0.8em; height: 0.8em; margin-right: 0.4em; }
.broken { color: #b3475d; font-weight: 600; }
"""


def render_page(summaries: Sequence[RunSummary], title: str = "guavawalk load report") -> str:
    """Return the page; the same runs give the same bytes."""
    names = [run_name(summary) for summary in summaries]
    parts = [
        _runs_table(summaries, names),
        _promises_table(summaries, names),
        _goodput_chart(summaries, names),
        _waste_chart(summaries, names),
        *_latency_charts(summaries, names),
        *(_time_chart(summary, name) for summary, name in zip(summaries, names)),
        _tiers_table(summaries, names),
    ]
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{escape(title)}</title><style>{STYLE}</style></head>"
        f"<body><h1>{escape(title)}</h1>"
        f"<main>{''.join(parts)}</main></body></html>\n"
    )


def run_name(summary: RunSummary) -> str:
    """Return the name of a run on the page."""
    run = summary.run
    return f"{run['policy']}, {run['plan']}, seed {run['seed']}"


def _goodput_chart(summaries: Sequence[RunSummary], names: Sequence[str]) -> str:
    tiers = sorted({figures.tier for summary in summaries for figures in summary.tiers})
    by_run = [{figures.tier: figures.goodput_per_s for figures in s.tiers} for s in summaries]
    groups = [BarGroup(tier, tuple(run.get(tier, 0.0) for run in by_run)) for tier in tiers]
    return bar_chart("Goodput by tier", names, groups, "requests/s in time")


def _waste_chart(summaries: Sequence[RunSummary], names: Sequence[str]) -> str:
    causes = sorted({line["cause"] for summary in summaries for line in summary.waste})
    groups = [
        BarGroup(cause, tuple(_wasted_tokens(summary, cause) for summary in summaries))
        for cause in causes
    ]
    return bar_chart("Wasted prefill by cause", names, groups, "prompt tokens")


def _wasted_tokens(summary: RunSummary, cause: str) -> int:
    return sum(line["prompt_tokens"] for line in summary.waste if line["cause"] == cause)


def _latency_charts(summaries: Sequence[RunSummary], names: Sequence[str]) -> list[str]:
    subjects = sorted({(c.measure, c.tier) for summary in summaries for c in summary.curves})
    labels = [f"{percentile:g}%" for percentile in PERCENTILES]
    charts = []
    for measure, tier in subjects:
        lines = [
            Line(f"{name} ({curve.count})", curve.values_ms)
            for summary, name in zip(summaries, names)
            for curve in summary.curves
            if (curve.measure, curve.tier) == (measure, tier)
        ]
        charts.append(line_chart(f"{measure} of {tier}, by percentile", lines, labels, "ms"))
    return charts


def _time_chart(summary: RunSummary, name: str) -> str:
    values = summary.goodput_by_second
    last_s = max(len(values) - 1, 1)
    labels = [f"{last_s * index / (TIME_LABELS - 1):.0f} s" for index in range(TIME_LABELS)]
    marks = [fault["at_s"] / last_s for fault in summary.faults]
    lines = [Line("completed in time in each second", tuple(map(float, values)))]
    faults = ", ".join(f"{f['fault']} of {f['node']} at {f['at_s']:g} s" for f in summary.faults)
    title = f"{name}: over time" + (f"; dashed: {faults}" if faults else "")
    return line_chart(title, lines, labels, "requests/s", marks)


def _runs_table(summaries: Sequence[RunSummary], names: Sequence[str]) -> str:
    rows = [
        (
            name,
            summary.run["deployment"],
            f"{summary.run['duration_s']:g} s",
            sum(figures.offered for figures in summary.tiers),
            sum(figures.in_time for figures in summary.tiers),
            f"{sum(line['prompt_tokens'] for line in summary.waste):,}",
        )
        for summary, name in zip(summaries, names)
    ]
    head = ("run", "deployment", "duration", "requests", "in time", "wasted prompt tokens")
    return _table("Runs", head, rows)


def _promises_table(summaries: Sequence[RunSummary], names: Sequence[str]) -> str:
    rows = [
        (name, line["promise"], "kept" if not line["broken"] else f"BROKEN {line['broken']} times")
        + (line["detail"],)
        for summary, name in zip(summaries, names)
        for line in summary.promises
    ]
    return _table("Promises checked", ("run", "promise", "", "detail"), rows)


def _tiers_table(summaries: Sequence[RunSummary], names: Sequence[str]) -> str:
    rows = [
        (
            name,
            figures.tier,
            figures.offered,
            figures.completed,
            figures.in_time,
            f"{figures.goodput_per_s:.2f}",
            f"{figures.good_tokens_per_s:.1f}",
            ", ".join(f"{code} {count}" for code, count in figures.codes),
        )
        for summary, name in zip(summaries, names)
        for figures in summary.tiers
    ]
    head = (
        "run",
        "tier",
        "offered",
        "completed",
        "in time",
        "in time/s",
        "good tokens/s",
        "others",
    )
    return _table("Tiers", head, rows)


def _table(title: str, head: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    columns = "".join(f"<th>{escape(name)}</th>" for name in head)
    body = "".join(f"<tr>{''.join(map(_cell, row))}</tr>" for row in rows)
    table = f"<table><thead><tr>{columns}</tr></thead><tbody>{body}</tbody></table>"
    return f"<section><h2>{escape(title)}</h2>{table}</section>"


def _cell(value: object) -> str:
    text = str(value)
    kind = ' class="broken"' if text.startswith("BROKEN") else ""
    return f"<td{kind}>{escape(text)}</td>"
