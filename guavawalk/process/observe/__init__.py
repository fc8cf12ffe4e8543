"""Logs, metrics and histograms of a process."""

from guavawalk.lazy import attach_exports

_EXPORTS = {
    "bounded_log": ["BoundedLog", "LineEncoder", "create_bounded_log", "write_log"],
    "exposition": ["MAX_SERIES", "Labels", "MetricSet", "create_metric_set"],
    "gauges": ["GaugeValues", "InputGauges", "report_gauges"],
    "heaviest": ["HeaviestKeys", "KeyWeight", "create_heaviest_keys"],
    "histograms": [
        "HistogramKey",
        "HistogramSummary",
        "Histograms",
        "Measure",
        "create_histograms",
        "create_null_histograms",
    ],
    "json_log": ["create_event_log"],
    "log": ["LOG_LEVELS", "EventLog", "create_null_log"],
    "memory": ["resident_bytes"],
    "metrics": ["Metrics", "create_null_metrics", "create_statsd_metrics"],
    "names": ["METRICS", "MetricName", "sanitize_metric_part"],
    "observations": ["Observations", "create_observations"],
    "refusals": ["Refusal", "Refusals", "create_refusals"],
    "trace": ["Trace", "TraceLine", "read_trace"],
}

__getattr__, __dir__, __all__ = attach_exports(__name__, _EXPORTS)
