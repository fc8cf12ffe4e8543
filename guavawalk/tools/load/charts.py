"""Charts as SVG, without any library on the reader's side."""

from collections.abc import Sequence
from typing import NamedTuple
from xml.sax.saxutils import escape

__all__ = ["COLOURS", "BarGroup", "Line", "bar_chart", "line_chart"]

COLOURS = ("#3b6fb6", "#d9822b", "#4f9d69", "#b3475d", "#7a5ea8", "#5b8c99", "#a08a2c", "#666666")
WIDTH = 640
HEIGHT = 240
LEFT = 60
BOTTOM = 40
TOP = 12
TICKS = 4
LABEL_CHARS = 14


class BarGroup(NamedTuple):
    """Bars that stand together, one for each series."""

    label: str
    values: tuple[float, ...]


class Line(NamedTuple):
    """A line through points at evenly spaced places."""

    name: str
    values: tuple[float, ...]


def bar_chart(title: str, series: Sequence[str], groups: Sequence[BarGroup], unit: str) -> str:
    """Return a chart of grouped bars."""
    highest = max((value for group in groups for value in group.values), default=0.0) or 1.0
    parts = _axes(highest, unit)
    step = (WIDTH - LEFT) / max(len(groups), 1)
    width = step * 0.8 / max(len(series), 1)
    for place, group in enumerate(groups):
        start = LEFT + step * place + step * 0.1
        for index, value in enumerate(group.values):
            parts.append(_bar(start + width * index, width, value / highest, index, value, unit))
        parts.append(_label(start + step * 0.4, group.label))
    return _figure(title, parts, series)


def line_chart(
    title: str, lines: Sequence[Line], labels: Sequence[str], unit: str, marks: Sequence[float] = ()
) -> str:
    """Return a chart of lines; `marks` are places on the horizontal axis, from 0 to 1."""
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
    for place, label in enumerate(labels):
        parts.append(_label(_x(place, len(labels)), label))
    return _figure(title, parts, [line.name for line in lines])


def _points(values: Sequence[float], highest: float) -> list[str]:
    return [
        f"{_x(place, len(values)):.1f},{_y(value / highest):.1f}"
        for place, value in enumerate(values)
    ]


def _x(place: int, count: int) -> float:
    return LEFT + (WIDTH - LEFT) * place / max(count - 1, 1)


def _y(share: float) -> float:
    return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share


def _bar(x: float, width: float, share: float, index: int, value: float, unit: str) -> str:
    y = _y(share)
    colour = COLOURS[index % len(COLOURS)]
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" height="{HEIGHT - BOTTOM - y:.1f}" '
        f'fill="{colour}"><title>{value:,.6g} {escape(unit)}</title></rect>'
    )


def _axes(highest: float, unit: str) -> list[str]:
    parts = []
    for tick in range(TICKS + 1):
        y = _y(tick / TICKS)
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
