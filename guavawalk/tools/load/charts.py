"""Draws charts as SVG, which a browser shows without scripts or other files."""

from collections.abc import Sequence
from typing import NamedTuple
from xml.sax.saxutils import escape

__all__ = ["COLOURS", "BarGroup", "Line", "bar_chart", "line_chart"]

COLOURS = ("#3b6fb6", "#d9822b", "#4f9d69", "#b3475d", "#7a5ea8", "#5b8c99", "#a08a2c", "#666666")
# Size and margins of a chart, in units of its SVG view box.
WIDTH = 640
HEIGHT = 240
LEFT = 60
BOTTOM = 40
TOP = 12
# Intervals between the horizontal grid lines.
TICKS = 4
# Longer labels are cut.
LABEL_CHARS = 14


class BarGroup(NamedTuple):
    """Adjacent bars under one label, one for each series."""

    label: str
    values: tuple[float, ...]


class Line(NamedTuple):
    """A line through points that are evenly spaced on the horizontal axis."""

    name: str
    values: tuple[float, ...]


def bar_chart(title: str, series: Sequence[str], groups: Sequence[BarGroup], unit: str) -> str:
    """Return a chart of grouped bars; each group has one value for each series."""
    highest = max((value for group in groups for value in group.values), default=0.0) or 1.0
    parts = _axes(highest, unit)
    step = (WIDTH - LEFT) / max(len(groups), 1)
    width = step * 0.8 / max(len(series), 1)
    for position, group in enumerate(groups):
        start = LEFT + step * position + step * 0.1
        for index, value in enumerate(group.values):
            parts.append(_bar(start + width * index, width, value / highest, index, value, unit))
        parts.append(_label(start + step * 0.4, group.label))
    return _figure(title, parts, series)


def line_chart(
    title: str, lines: Sequence[Line], labels: Sequence[str], unit: str, marks: Sequence[float] = ()
) -> str:
    """Return a chart of lines.

    `marks` are the positions of vertical marks on the horizontal axis, from 0 to 1; positions
    outside are moved to the nearer end.
    """
    highest = max((value for line in lines for value in line.values), default=0.0) or 1.0
    parts = _axes(highest, unit)
    for mark in marks:
        x = LEFT + (WIDTH - LEFT) * min(max(mark, 0.0), 1.0)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP}" y2="{HEIGHT - BOTTOM}" class="mark"/>'
        )
    for index, line in enumerate(lines):
        points = " ".join(_points(line.values, highest))
        colour = COLOURS[index % len(COLOURS)]
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
    for position, label in enumerate(labels):
        parts.append(_label(_x_at(position, len(labels)), label))
    return _figure(title, parts, [line.name for line in lines])


def _points(values: Sequence[float], highest: float) -> list[str]:
    return [
        f"{_x_at(position, len(values)):.1f},{_y_at(value / highest):.1f}"
        for position, value in enumerate(values)
    ]


def _x_at(position: int, count: int) -> float:
    return LEFT + (WIDTH - LEFT) * position / max(count - 1, 1)


def _y_at(share: float) -> float:
    return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share


def _bar(x: float, width: float, share: float, index: int, value: float, unit: str) -> str:
    y = _y_at(share)
    colour = COLOURS[index % len(COLOURS)]
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" height="{HEIGHT - BOTTOM - y:.1f}" '
        f'fill="{colour}"><title>{value:,.6g} {escape(unit)}</title></rect>'
    )


def _axes(highest: float, unit: str) -> list[str]:
    parts = []
    for tick in range(TICKS + 1):
        y = _y_at(tick / TICKS)
        parts.append(f'<line x1="{LEFT}" x2="{WIDTH}" y1="{y:.1f}" y2="{y:.1f}" class="grid"/>')
        text = f"{highest * tick / TICKS:,.4g}"
        parts.append(f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{text}</text>')
    parts.append(f'<text x="4" y="{HEIGHT - 6}">{escape(unit)}</text>')
    return parts


def _label(x: float, text: str) -> str:
    y = HEIGHT - BOTTOM + 16
    return f'<text x="{x:.1f}" y="{y}" text-anchor="middle">{escape(text[:LABEL_CHARS])}</text>'


def _figure(title: str, parts: Sequence[str], names: Sequence[str]) -> str:
    legend = "".join(
        f'<li><span style="background:{COLOURS[index % len(COLOURS)]}"></span>{escape(name)}</li>'
        for index, name in enumerate(names)
    )
    drawn = "".join(parts)
    return (
        f"<figure><figcaption>{escape(title)}</figcaption>"
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">{drawn}</svg>'
        f'<ul class="legend">{legend}</ul></figure>'
    )
