from hypothesis import given
from hypothesis import strategies as st

from guavawalk.request.event_stream import EventStream

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number * 7) for number in range(1, 9)]


class TestEventStream:
    def test_whole_events_only(self):
        stream = EventStream()
        assert stream.feed(b"id: 1\nda") == b""
        assert stream.feed(b"ta: x\n\nid: 2\n") == b"id: 1\ndata: x\n\n"
        assert (stream.last_id, stream.count) == ("1", 1)

    def test_beginning_of_an_event_is_dropped_when_its_run_ends(self):
        stream = EventStream()
        stream.feed(EVENTS[0] + b"id: 2\ndata: cut")
        stream.discard_partial()
        assert stream.feed(EVENTS[1]) == EVENTS[1]
        assert stream.last_id == "2"

    def test_rest_of_a_whole_run(self):
        stream = EventStream()
        stream.feed(EVENTS[0] + b"tail")
        assert stream.pop_partial() == b"tail"
        assert stream.pop_partial() == b""

    def test_data_that_looks_like_an_id(self):
        stream = EventStream()
        stream.feed(b"id: 4\ndata: id: 9\n\n")
        assert stream.last_id == "4"

    def test_first_line_of_a_version_change(self):
        stream = EventStream()
        stream.feed(b"weight-versions: 3\nid: 5\ndata: x\n\n")
        assert stream.last_id == "5"

    @given(st.lists(st.integers(1, 20), max_size=30))
    def test_any_cuts_give_the_same_bytes(self, cuts):
        whole = b"".join(EVENTS)
        stream = EventStream()
        passed, at = b"", 0
        for cut in cuts:
            passed += stream.feed(whole[at : at + cut])
            at += cut
        passed += stream.feed(whole[at:])
        assert passed == whole
        assert stream.count == len(EVENTS) and stream.last_id == "8"
