import json
import os

from guavawalk import events
from guavawalk.process.observe.bounded_log import MAX_LINES, MAX_LINES_PER_S, create_bounded_log
from tests.virtual import run_virtually


class Story:
    """A log on a pipe, with a clock that a test moves."""

    def __init__(self, level="INFO"):
        self.now_s = 100.0
        self.log = create_bounded_log("gateway", "g-1", level, lambda: self.now_s)
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def lines(self):
        left = True
        data = b""
        while left:
            left = self.log.flush(self.writer)
            try:
                while part := os.read(self.reader, 65536):
                    data += part
            except BlockingIOError:
                pass
        return [json.loads(line) for line in data.splitlines()]


class TestBoundedLog:
    def test_line(self):
        story = Story()
        story.log.emit(events.CALL_SENT, trace_id="r1", target="i-1")
        (line,) = story.lines()
        assert (line["event"], line["event_name"]) == (events.CALL_SENT.number, "call_sent")
        assert (line["role"], line["instance"], line["trace_id"]) == ("gateway", "g-1", "r1")

    def test_level(self):
        story = Story("WARNING")
        story.log.emit(events.CALL_SENT)
        story.log.emit(events.REGISTRY_LOST)
        assert [line["event_name"] for line in story.lines()] == ["registry_lost"]

    def test_flood_of_one_kind_leaves_room_for_others(self):
        story = Story()
        for _ in range(10 * MAX_LINES_PER_S):
            story.log.emit(events.CALL_SENT)
        story.log.emit(events.CALL_ENDED)
        names = [line["event_name"] for line in story.lines()]
        assert names.count("call_sent") == MAX_LINES_PER_S
        assert names[-1] == "call_ended"
        assert story.log.dropped == 9 * MAX_LINES_PER_S

    def test_bounded_where_nobody_reads_and_warnings_go_last(self):
        story = Story()
        for second in range(100):
            story.now_s = 100.0 + second
            for _ in range(MAX_LINES_PER_S):
                story.log.emit(events.CALL_SENT)
        story.log.emit(events.REGISTRY_LOST)
        lines = story.lines()
        assert len(lines) < MAX_LINES
        assert lines[-1]["event_name"] == "registry_lost"

    def test_full_output_keeps_its_lines_whole(self):
        story = Story()
        for second in range(5):
            story.now_s = 100.0 + second
            for number in range(MAX_LINES_PER_S):
                story.log.emit(events.CALL_SENT, number=number, filler="x" * 300)
        assert story.log.flush(story.writer)
        assert [line["number"] for line in story.lines()] == 5 * list(range(MAX_LINES_PER_S))

    def test_drops_are_told_by_kind(self):
        async def write(story):
            import anyio

            with anyio.move_on_after(5):
                await story.log.write(story.writer)

        story = Story()
        for _ in range(MAX_LINES_PER_S + 7):
            story.log.emit(events.CALL_SENT)
        run_virtually(write, story)
        told = [line for line in story.lines() if line["event_name"] == "log_lines_dropped"]
        assert [line["dropped"] for line in told] == [{"call_sent": 7}]
