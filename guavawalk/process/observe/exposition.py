"""Keeps counters, gauges and histograms, and renders them in the Prometheus text format."""

from bisect import bisect_left
from collections.abc import Callable, Mapping

__all__ = ["MAX_SERIES", "Labels", "MetricSet", "create_metric_set"]

# Upper bounds of histogram buckets, in seconds: from the forwarding of one event to a long answer.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 2.5, 5.0, 10.0, 15.0)
# Maximum number of series of one counter or histogram; further label values are counted under
# "other".
MAX_SERIES = 200
PREFIX = "guavawalk_"
# Names and values of labels.
Labels = tuple[tuple[str, str], ...]


class _Histogram:
    def __init__(self) -> None:
        # One count for each bucket; the last is for values above all bounds.
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum = 0.0

    def record(self, value: float) -> None:
        self.counts[bisect_left(BUCKETS_S, value)] += 1
        self.sum += value


class MetricSet:
    """The metrics of one process.

    Each counter and histogram has at most `MAX_SERIES` series, and one more for "other"; the
    number of series of a gauge is not limited.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, float]] = {}
        self._histograms: dict[str, dict[Labels, _Histogram]] = {}
        self._gauges: dict[str, Callable[[], Mapping[Labels, float]]] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add an amount to a counter."""
        series = self._counters.setdefault(name, {})
        key = _series_key(series, labels)
        series[key] = series.get(key, 0.0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add an observation, in seconds, to a histogram."""
        series = self._histograms.setdefault(name, {})
        key = _series_key(series, labels)
        histogram = series.get(key)
        if histogram is None:
            histogram = series[key] = _Histogram()
        histogram.record(seconds)

    def gauge(self, name: str, read: Callable[[], Mapping[Labels, float]]) -> None:
        """Register a gauge; `read` returns its values by labels whenever metrics are rendered."""
        self._gauges[name] = read

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, series in sorted(self._counters.items()):
            lines.append(f"# TYPE {PREFIX}{name} counter")
            lines += [
                f"{PREFIX}{name}{_format_labels(key)} {value:g}" for key, value in series.items()
            ]
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {PREFIX}{name} gauge")
            lines += [
                f"{PREFIX}{name}{_format_labels(key)} {value:g}" for key, value in read().items()
            ]
        for name, histograms in sorted(self._histograms.items()):
            lines.append(f"# TYPE {PREFIX}{name} histogram")
            for key, histogram in histograms.items():
                lines += _histogram_lines(name, key, histogram)
        return "\n".join(lines) + "\n"


def _series_key(series: Mapping[Labels, object], labels: dict[str, str]) -> Labels:
    key = tuple(labels.items())
    if key in series or len(series) < MAX_SERIES:
        return key
    return tuple((name, "other") for name in labels)


def _histogram_lines(name: str, key: Labels, histogram: _Histogram) -> list[str]:
    lines = []
    total = 0
    for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), histogram.counts):
        total += count
        lines.append(f"{PREFIX}{name}_bucket{_format_labels((*key, ('le', bound)))} {total}")
    lines.append(f"{PREFIX}{name}_sum{_format_labels(key)} {histogram.sum:g}")
    lines.append(f"{PREFIX}{name}_count{_format_labels(key)} {total}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(value)}"' for name, value in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def create_metric_set() -> MetricSet:
    """Create an empty set of metrics."""
    return MetricSet()
