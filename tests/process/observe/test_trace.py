"""Tests the collection of a request's events from log files."""

import json

import anyio
import httpcore
import pytest

from guavawalk.exception import LogFileError
from guavawalk.process.observe.json_log import create_event_log
from guavawalk.process.observe.trace import read_trace
from guavawalk.tools.commands.app import app
from guavawalk.tools.embedded import run_embedded
from guavawalk.tools.plan import kestrel_lane_plan


def line(time: str, **fields) -> str:
    return json.dumps({"time": time, "event": 1, "message": "m", "instance": "i", **fields})


class TestReading:
    def test_events_of_all_files_are_sorted_by_time(self, tmp_path):
        (tmp_path / "entry").write_text(
            line("2026-01-01T00:00:03", trace_id="t") + "\nnot JSON\n[1]\n"
        )
        (tmp_path / "sidecar").write_text(
            "\n".join(
                (
                    line("2026-01-01T00:00:02", attempt_id="a"),
                    line("2026-01-01T00:00:01", trace_id="t", attempt_id="a"),
                    line("2026-01-01T00:00:01", trace_id="other", attempt_id="b"),
                )
            )
        )
        found = read_trace("t", [tmp_path / "entry", tmp_path / "sidecar"])
        assert [part.time[-1] for part in found.lines] == ["1", "2", "3"]
        assert found.unreadable_lines == 2

    def test_unreadable_file_is_named(self, tmp_path):
        with pytest.raises(LogFileError, match=f"{tmp_path}/none: No such file"):
            read_trace("t", [tmp_path / "none"])


class TestDeployment:
    def test_entry_and_sidecar_share_the_trace_id(self, tmp_path, capsys):
        file = tmp_path / "log"
        log = create_event_log("test", "test")
        anyio.run(self._send_two, log)
        with file.open("w") as stream:
            assert not log.flush(stream.fileno())
        events = [part.event for part in read_trace("story-1", [file]).lines]
        assert events == [2003, 2001]
        assert [part.event for part in read_trace("story-2", [file]).lines] == [2002]
        done = app(["trace", "story-1", str(file)], result_action="return_value")
        assert done == 0
        assert "2001 a request has ended: workspace=harbour" in capsys.readouterr().out

    @staticmethod
    async def _send_two(log) -> None:
        async with run_embedded(kestrel_lane_plan(), log) as deployment:
            url = f"http://{deployment.entry_addresses['victoria']}/booking/jobs"
            async with httpcore.AsyncConnectionPool() as pool:
                for key, trace_id in (("key-harbour", "story-1"), ("wrong", "story-2")):
                    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": trace_id}
                    await pool.request("GET", url, headers=headers)
