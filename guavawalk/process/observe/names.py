"""The names of all metrics; docs/METRICS.md is their list."""

import re
from typing import NamedTuple

__all__ = ["METRICS", "MetricName", "metric_part"]

UNSAFE = re.compile("[^A-Za-z0-9_-]")


class MetricName(NamedTuple):
    """A metric, as statsd gets it.

    Attributes
    ----------
    pattern : str
        Name below the prefix; parts in braces vary.
    kind : str
        `count`, `time` or `gauge`.
    """

    pattern: str
    kind: str
    role: str
    meaning: str


METRICS = (
    MetricName("request.{tier}.{code}", "count", "entry", "requests that ended with a code"),
    MetricName("request.{tier}.first_token_ms", "time", "entry", "arrival to first byte"),
    MetricName("request.{tier}.whole_ms", "time", "entry", "arrival to last byte"),
    MetricName(
        "request.invalid.{code}", "count", "entry", "requests refused before they were read"
    ),
    MetricName("attempt.{tier}.{code}", "count", "sidecar", "attempts that ended with a code"),
    MetricName("attempt.{tier}.queue_ms", "time", "sidecar", "offer to dispatch"),
    MetricName("attempt.{tier}.first_token_ms", "time", "sidecar", "offer to first token"),
    MetricName(
        "attempt.{tier}.wasted_prompt_tokens",
        "count",
        "sidecar",
        "prompt tokens computed for attempts that did not complete",
    ),
    MetricName("running", "gauge", "both", "requests or attempts under way"),
    MetricName("queued", "gauge", "sidecar", "attempts that wait for dispatch"),
    MetricName("window", "gauge", "sidecar", "attempts that may run at once"),
    MetricName("version", "gauge", "both", "number of the configuration in force"),
    MetricName("resident_bytes", "gauge", "both", "memory of the process"),
)


def metric_part(text: str) -> str:
    """Return a part of a name in characters that statsd takes.

    Examples
    --------
    >>> metric_part("on.site:1")
    'on_site_1'
    """
    return UNSAFE.sub("_", text)
