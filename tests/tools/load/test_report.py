"""Summaries and the HTML page of load runs, and errors of results files."""

from html.parser import HTMLParser

import pytest

from guavawalk.codes import ResultCode
from guavawalk.exception import ResultsError
from guavawalk.tools.commands.app import app
from guavawalk.tools.load.results import format_line, read_results
from guavawalk.tools.load.summary import summarize_results

VOID = {"meta"}


def run_line(run: str = "r1", **changes) -> dict:
    line = {"kind": "run", "run": run, "plan": "steady", "policy": "expected_cost"}
    return {**line, "deployment": "kestrel", "seed": 1, "duration_s": 10.0, **changes}


def request_line(run: str = "r1", **changes) -> dict:
    line = {
        "kind": "request",
        "run": run,
        "at_s": 1.0,
        "workspace": "harbour",
        "tier": "onsite",
        "code": 0,
        "in_time": True,
        "attempts": 1,
        "first_token_ms": 100.0,
        "between_tokens_ms": 20.0,
        "whole_ms": 500.0,
        "prompt_tokens": 50,
        "output_tokens": 20,
        "target": "engine-0",
    }
    return {**line, **changes}


def complete_run(run: str = "r1", **changes) -> list[dict]:
    shed = int(ResultCode.SHED)
    return [
        run_line(run, **changes),
        *(request_line(run, at_s=i / 2, first_token_ms=100.0 + i) for i in range(10)),
        request_line(run, tier="tag", in_time=False, whole_ms=90_000.0),
        request_line(run, tier="tag", code=shed, in_time=False, first_token_ms=0, whole_ms=0),
        {"kind": "waste", "run": run, "cause": "crash", "prompt_tokens": 700},
        {"kind": "fault", "run": run, "at_s": 3.0, "fault": "kill", "node": "sidecar-engine-0"},
        {"kind": "promise", "run": run, "promise": "at most once", "broken": 0, "detail": ""},
    ]


def write(tmp_path, lines: list[dict], name: str = "results.jsonl"):
    file = tmp_path / name
    file.write_text("".join(map(format_line, lines)))
    return file


class TagChecker(HTMLParser):
    """Fails if a closing tag does not match the last open one; records the tags seen."""

    def __init__(self) -> None:
        super().__init__()
        self.open: list[str] = []
        self.seen: list[str] = []

    def handle_starttag(self, tag, attrs) -> None:
        self.seen.append(tag)
        if tag not in VOID:
            self.open.append(tag)

    def handle_startendtag(self, tag, attrs) -> None:
        self.seen.append(tag)

    def handle_endtag(self, tag) -> None:
        assert self.open.pop() == tag


class TestSummary:
    def test_counts_and_percentiles(self, tmp_path):
        (summary,) = summarize_results(read_results([write(tmp_path, complete_run())]))
        onsite, tag = summary.tiers
        assert (onsite.offered, onsite.completed, onsite.in_time) == (10, 10, 10)
        assert (onsite.goodput_per_s, onsite.good_tokens_per_s) == (1.0, 20.0)
        assert (tag.offered, tag.completed, tag.in_time, tag.codes) == (2, 1, 0, (("SHED", 1),))
        assert summary.goodput_by_second == (1, 2, 2, 2, 2, 1)
        (curve,) = [
            c for c in summary.curves if (c.tier, c.measure) == ("onsite", "first_token_ms")
        ]
        assert (curve.count, curve.values_ms[0], curve.values_ms[-1]) == (10, 100.0, 109.0)

    def test_run_without_requests_has_no_figures(self, tmp_path):
        (summary,) = summarize_results(read_results([write(tmp_path, [run_line()])]))
        assert (summary.tiers, summary.curves, summary.goodput_by_second) == ((), (), ())


class TestPage:
    def test_two_runs_give_one_self_contained_page(self, tmp_path, capsys):
        first = write(tmp_path, complete_run("a"), "a")
        second = write(tmp_path, complete_run("b", policy="round_robin"), "b")
        pages = []
        for out in (tmp_path / "one.html", tmp_path / "two.html"):
            words = ["load", "report", str(first), str(second), "--out", str(out)]
            assert app(words, result_action="return_value") == 0
            pages.append(out.read_text())
        assert pages[0] == pages[1]
        checker = TagChecker()
        checker.feed(pages[0])
        assert checker.open == []
        assert checker.seen.count("svg") == 2 + 6 + 2
        for words in ("expected_cost, steady", "round_robin, steady", "crash", "kill of sidecar"):
            assert words in pages[0]
        assert "http" not in pages[0]
        assert "2 runs, 0 broken promises" in capsys.readouterr().out

    def test_page_and_exit_status_report_a_broken_promise(self, tmp_path):
        lines = complete_run()
        lines[-1]["broken"] = 2
        out = tmp_path / "page.html"
        words = ["load", "report", str(write(tmp_path, lines)), "--out", str(out)]
        assert app(words, result_action="return_value") == 1
        assert "BROKEN 2 times" in out.read_text()

    def test_names_are_escaped(self, tmp_path):
        out = tmp_path / "page.html"
        lines = complete_run(policy="<script>", plan='"><b>')
        words = ["load", "report", str(write(tmp_path, lines)), "--out", str(out)]
        app(words, result_action="return_value")
        assert "<script>" not in out.read_text()
        assert "<b>" not in out.read_text()


class TestBadResults:
    @pytest.mark.parametrize(
        ("content", "words"),
        [
            ("not JSON\n", r":1: found no JSON object"),
            ("[1]\n", r":1: found no JSON object"),
            ("\n{}\n", r":2: kind: found None, allowed is one of run, request"),
            ('{"kind":[]}\n', r":1: kind: found \[\]"),
            ('{"kind":"run","run":"a"}\n', r":1: Object missing required field"),
            (format_line(request_line()), r"run 'r1': found a request line before its run line"),
            (format_line(run_line()) * 2, r"run 'r1': has two run lines, allowed is one"),
            (format_line(run_line(seed="x")), r":1: Expected `int`, got `str` - at `\$.seed`"),
            ("", r"contains no run line"),
        ],
    )
    def test_error_names_file_and_line(self, tmp_path, content, words):
        file = tmp_path / "results.jsonl"
        file.write_text(content)
        with pytest.raises(ResultsError, match=words):
            app(["load", "report", str(file)], exit_on_error=False)

    def test_missing_file_raises(self, tmp_path):
        with pytest.raises(ResultsError, match="none: No such file"):
            app(["load", "report", str(tmp_path / "none")], exit_on_error=False)
