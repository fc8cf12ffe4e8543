"""Tests the list of metric names against the calls in the code and against docs/METRICS.md."""

import ast
from pathlib import Path

import guavawalk
from guavawalk.process.observe.names import METRICS
from guavawalk.tools.commands.catalogue import metrics_table

SOURCES = Path(guavawalk.__file__).parent
DOCS = SOURCES.parent / "docs"
KINDS = {"count", "time", "gauge", "observe"}


def names_in_code() -> set[tuple[str, str]]:
    found = set()
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _is_metric_call(node):
                found.add((_pattern(node.args[0]), node.func.attr))
    return found


def _is_metric_call(node: ast.Call) -> bool:
    if not isinstance(node.func, ast.Attribute) or node.func.attr not in KINDS:
        return False
    owner = node.func.value
    name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")
    return name == "metrics"


def _pattern(node: ast.expr) -> str:
    if isinstance(node, ast.Constant):
        return node.value
    assert isinstance(node, ast.JoinedStr), "name a metric by a literal or an f-string"
    return "".join(p.value if isinstance(p, ast.Constant) else "{}" for p in node.values)


def without_names(pattern: str) -> str:
    parts = [("{}" if part.startswith("{") else part) for part in pattern.split(".")]
    return ".".join(parts)


def without_labels(pattern: str) -> str:
    return pattern.partition("{")[0]


class TestMetricNames:
    def test_listed_names_equal_those_in_the_code(self):
        listed = {
            (
                (
                    without_labels(metric.pattern)
                    if metric.role == "gateway"
                    else without_names(metric.pattern)
                ),
                metric.kind,
            )
            for metric in METRICS
        }
        assert names_in_code() == listed

    def test_table_in_the_docs_equals_the_list(self):
        assert (DOCS / "METRICS.md").read_text().endswith("\n\n" + metrics_table())
