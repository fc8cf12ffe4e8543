import json
import os

import pytest

from guavawalk import events
from guavawalk.process.observe.bounded_log import (
    MAX_BYTES,
    MAX_LINES,
    MAX_LINES_PER_S,
    create_bounded_log,
)
from guavawalk.process.observe.json_log import create_event_log
from tests.virtual import run_virtually


class PipedLog:
    """A bounded log that writes to a pipe, with a clock set by the test."""

    def __init__(self, level="INFO"):
        self.now_s = 100.0
        self.log = create_bounded_log("gateway", "g-1", level, lambda: self.now_s)
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def lines(self):
        has_more = True
        data = b""
        while has_more:
            has_more = self.log.flush(self.writer)
            try:
                while part := os.read(self.reader, 65536):
                    data += part
            except BlockingIOError:
                pass
        return [json.loads(line) for line in data.splitlines()]


class TestBoundedLog:
    def test_line_holds_event_and_fields(self):
        piped = PipedLog()
        piped.log.emit(events.CALL_SENT, trace_id="r1", target="i-1")
        (line,) = piped.lines()
        assert (line["event"], line["event_name"]) == (events.CALL_SENT.number, "call_sent")
        assert (line["role"], line["instance"], line["trace_id"]) == ("gateway", "g-1", "r1")

    def test_events_below_the_level_are_not_logged(self):
        piped = PipedLog("WARNING")
        piped.log.emit(events.CALL_SENT)
        piped.log.emit(events.REGISTRY_LOST)
        assert [line["event_name"] for line in piped.lines()] == ["registry_lost"]

    @pytest.mark.parametrize("event", [events.CALL_SENT, events.REQUEST_INVALID])
    def test_limit_of_one_event_leaves_room_for_others(self, event):
        piped = PipedLog()
        for _ in range(10 * MAX_LINES_PER_S):
            piped.log.emit(event)
        piped.log.emit(events.CALL_ENDED)
        names = [line["event_name"] for line in piped.lines()]
        assert names.count(event.name) == MAX_LINES_PER_S
        assert names[-1] == "call_ended"
        assert piped.log.dropped == 9 * MAX_LINES_PER_S

    def test_buffer_is_bounded_and_keeps_room_for_warnings(self):
        piped = PipedLog()
        for second in range(100):
            piped.now_s = 100.0 + second
            for _ in range(MAX_LINES_PER_S):
                piped.log.emit(events.CALL_SENT)
        piped.log.emit(events.REGISTRY_LOST)
        lines = piped.lines()
        assert len(lines) < MAX_LINES
        assert lines[-1]["event_name"] == "registry_lost"

    def test_buffer_of_long_lines_is_bounded(self):
        piped = PipedLog()
        for second in range(10):
            piped.now_s = 100.0 + second
            for _ in range(MAX_LINES_PER_S):
                piped.log.emit(events.CALL_SENT, trace_id="x" * 16_000)
        piped.log.emit(events.REGISTRY_LOST)
        lines = piped.lines()
        assert 16_000 * len(lines) < MAX_BYTES
        assert lines[-1]["event_name"] == "registry_lost"
        piped.log.emit(events.CALL_ENDED)
        assert len(piped.lines()) == 1

    def test_lines_are_complete_after_a_partial_write(self):
        piped = PipedLog()
        for second in range(5):
            piped.now_s = 100.0 + second
            for number in range(MAX_LINES_PER_S):
                piped.log.emit(events.CALL_SENT, number=number, filler="x" * 300)
        assert piped.log.flush(piped.writer)
        assert [line["number"] for line in piped.lines()] == 5 * list(range(MAX_LINES_PER_S))

    def test_closed_reader_raises_no_error(self):
        piped = PipedLog()
        os.close(piped.reader)
        piped.log.emit(events.CALL_SENT)
        assert piped.log.flush(piped.writer)

    def test_drops_are_logged_by_event(self):
        async def write(piped):
            import anyio

            with anyio.move_on_after(5):
                await piped.log.write(piped.writer)

        piped = PipedLog()
        for _ in range(MAX_LINES_PER_S + 7):
            piped.log.emit(events.CALL_SENT)
        run_virtually(write, piped)
        reports = [line for line in piped.lines() if line["event_name"] == "log_lines_dropped"]
        assert [line["dropped"] for line in reports] == [{"call_sent": 7}]


class TestEventLog:
    def test_fields_may_have_the_names_of_attributes_of_log_records(self, tmp_path):
        log = create_event_log("sidecar", "s-1")
        log.emit(events.ORDER_GIVEN, name="swap", args=(1,))
        with (tmp_path / "log").open("wb") as file:
            assert not log.flush(file.fileno())
        line = json.loads((tmp_path / "log").read_text())
        assert (line["event_name"], line["level"]) == ("order_given", "INFO")
        assert (line["role"], line["name"], line["args"]) == ("sidecar", "swap", [1])
