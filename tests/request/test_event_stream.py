from hypothesis import given
from hypothesis import strategies as st

from guavawalk.request.event_stream import EventStream

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number * 7) for number in range(1, 9)]


class TestEventStream:
    def test_only_complete_events_are_returned(self):
        stream = EventStream()
        assert stream.feed(b"id: 1\nda") == b""
        assert stream.feed(b"ta: x\n\nid: 2\n") == b"id: 1\ndata: x\n\n"
        assert (stream.last_id, stream.count) == ("1", 1)

    def test_partial_event_of_an_ended_run_is_discarded(self):
        stream = EventStream()
        stream.feed(EVENTS[0] + b"id: 2\ndata: cut")
        stream.discard_partial()
        assert stream.feed(EVENTS[1]) == EVENTS[1]
        assert stream.last_id == "2"

    def test_bytes_after_the_last_event_are_returned_once(self):
        stream = EventStream()
        stream.feed(EVENTS[0] + b"tail")
        assert stream.pop_partial() == b"tail"
        assert stream.pop_partial() == b""

    def test_id_inside_data_is_ignored(self):
        stream = EventStream()
        stream.feed(b"id: 4\ndata: id: 9\n\n")
        assert stream.last_id == "4"

    def test_id_after_another_field_is_read(self):
        # The event of a change of version starts with a field of its own.
        stream = EventStream()
        stream.feed(b"weight-versions: 3\nid: 5\ndata: x\n\n")
        assert stream.last_id == "5"

    @given(st.lists(st.integers(1, 20), max_size=30))
    def test_split_points_do_not_change_the_bytes(self, sizes):
        complete = b"".join(EVENTS)
        stream = EventStream()
        returned, at = b"", 0
        for size in sizes:
            returned += stream.feed(complete[at : at + size])
            at += size
        returned += stream.feed(complete[at:])
        assert returned == complete
        assert stream.count == len(EVENTS) and stream.last_id == "8"
