"""Reading HTTP/1.1 requests and answers from a byte stream."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection.http_encoding import encode_chunk, encode_request, encode_response
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.response_reader import BodyFraming, ResponseReader
from guavawalk.exception import HttpInvalid, TargetLost
from guavawalk.version.routes import CallerLimits
from tests.virtual import run_virtually

LIMITS = CallerLimits(head_bytes=300, body_bytes=100, head_timeout_s=3.0, idle_timeout_s=15.0)
HEAD = b"POST /a/1 HTTP/1.1\r\nHost: h\r\n"


class PartsStream:
    """A stream that delivers parts and then raises `end`, or blocks if `end` is None."""

    def __init__(self, parts, end=anyio.EndOfStream):
        self._parts = list(parts)
        self._end = end

    async def receive(self, max_bytes=65536):
        await anyio.lowlevel.checkpoint()
        if self._parts:
            return self._parts.pop(0)
        if self._end is None:
            await anyio.sleep_forever()
        raise self._end


def read_requests(*parts, end=anyio.EndOfStream):
    """Return the requests that a reader finds in the parts of a stream."""

    async def scenario():
        reader = RequestReader(PartsStream(parts, end), LIMITS)
        found = []
        while (request := await reader.next(LIMITS)) is not None:
            found.append(request)
        return found

    return run_virtually(scenario)


def rejection_status(*parts, end=None):
    """Return the HTTP status with which a reader rejects the parts of a stream."""
    with pytest.raises(HttpInvalid) as caught:
        read_requests(*parts, end=end)
    return caught.value.status


def read_answer(*parts, end=anyio.EndOfStream):
    """Return head and body of the answer in the parts of a stream, and the reader."""

    async def scenario():
        reader = ResponseReader(PartsStream(parts, end))
        head = await reader.read_head()
        body = b""
        while part := await reader.read_part():
            body += part
        return head, body, reader

    return run_virtually(scenario)


class TestRequestReader:
    def test_body_with_content_length_is_read(self):
        (found,) = read_requests(HEAD + b"Content-Length: 3\r\n\r\nabc")
        assert (found.method, found.target, found.body) == ("POST", b"/a/1", b"abc")
        assert found.keep_alive

    def test_chunked_body_is_read(self):
        chunks = encode_chunk(b"ab") + encode_chunk(b"c") + b"0\r\n\r\n"
        (found,) = read_requests(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        assert found.body == b"abc"

    def test_pipelined_requests_in_order(self):
        one = encode_request("GET", b"/1", ())
        two = encode_request("POST", b"/2", (), b"x")
        assert [found.target for found in read_requests(one + two + one)] == [b"/1", b"/2", b"/1"]

    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_requests_split_at_any_byte(self, sizes):
        data = HEAD + b"Content-Length: 3\r\n\r\nabc" + encode_request("GET", b"/2", ())
        parts, start = [], 0
        for size in sizes:
            parts.append(data[start : start + size])
            start += size
        parts = [part for part in [*parts, data[start:]] if part]
        assert [found.target for found in read_requests(*parts)] == [b"/a/1", b"/2"]

    def test_connection_close_and_http_1_0_end_keep_alive(self):
        (found,) = read_requests(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert not found.keep_alive
        (found,) = read_requests(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        assert not found.keep_alive

    def test_two_content_lengths_are_rejected(self):
        assert rejection_status(HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == 400

    def test_content_length_with_chunked_is_rejected(self):
        data = b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        assert rejection_status(HEAD + data) == 400

    def test_bytes_that_are_not_http_are_rejected(self):
        assert rejection_status(b"\x16\x03\x01\x02\x00\x01\x00") == 400

    def test_upgrade_is_rejected(self):
        assert (
            rejection_status(b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n") == 400
        )

    def test_head_over_the_limit_is_rejected(self):
        assert rejection_status(HEAD + b"X-A: " + b"x" * 400 + b"\r\n\r\n") == 431

    def test_unterminated_header_over_the_limit_is_rejected(self):
        assert rejection_status(HEAD, b"X-A: " + b"x" * 200, b"x" * 200) == 431

    @pytest.mark.parametrize("split_at", [10, 100, 250])
    def test_body_does_not_count_as_head_where_the_head_is_split(self, split_at):
        body = b"b" * LIMITS.body_bytes
        head = HEAD + b"X-Long: " + b"x" * 200 + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
        data = head + body
        (found,) = read_requests(data[:split_at], data[split_at:])
        assert found.body == body

    def test_body_over_the_limit_is_rejected(self):
        assert rejection_status(HEAD + b"Content-Length: 200\r\n\r\n" + b"x" * 101) == 413

    def test_slow_head_is_rejected(self):
        assert rejection_status(HEAD) == 408

    def test_idle_timeout_ends_without_a_rejection(self):
        assert read_requests(encode_request("GET", b"/1", ()), end=None)[0].target == b"/1"

    def test_truncated_request_is_dropped(self):
        assert read_requests(HEAD + b"Content-Length: 3\r\n\r\nab") == []

    def test_wait_closed_keeps_requests_for_next(self):
        async def scenario():
            reader = RequestReader(PartsStream([encode_request("GET", b"/1", ())]), LIMITS)
            await reader.wait_closed()
            return await reader.next(LIMITS)

        assert run_virtually(scenario).target == b"/1"


class TestResponseReader:
    def test_answer_with_content_length_is_read(self):
        head, body, reader = read_answer(encode_response(200, ((b"A", b"b"),), b"xyz"))
        assert (head.status, head.framing, body) == (200, BodyFraming.LENGTH, b"xyz")
        assert reader.is_complete and not reader.must_close

    def test_answer_without_length_ends_with_the_connection(self):
        head, body, reader = read_answer(b"HTTP/1.1 200 OK\r\n\r\nab", b"cd")
        assert (head.framing, body) == (BodyFraming.UNTIL_CLOSE, b"abcd")

    def test_reset_of_an_answer_without_length_raises_target_lost(self):
        with pytest.raises(TargetLost):
            read_answer(b"HTTP/1.1 200 OK\r\n\r\nab", end=anyio.BrokenResourceError)

    def test_truncated_answer_raises_target_lost(self):
        with pytest.raises(TargetLost):
            read_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
        with pytest.raises(TargetLost):
            read_answer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")

    def test_bytes_that_are_not_http_raise_target_lost(self):
        with pytest.raises(TargetLost):
            read_answer(b"\x00\x01 no answer")

    def test_surplus_answer_makes_the_connection_unusable(self):
        one = encode_response(200, (), b"a")
        _, body, reader = read_answer(one + encode_response(200, (), b"b"))
        assert body == b"a" and reader.must_close

    def test_surplus_bytes_make_the_connection_unusable(self):
        _, body, reader = read_answer(encode_response(200, (), b"a") + b"surplus")
        assert body == b"a" and reader.must_close

    def test_interim_answers_are_skipped(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + encode_response(200, (), b"a")
        head, body, _ = read_answer(data)
        assert (head.status, body) == (200, b"a")

    def test_close_before_the_answer_raises_target_lost(self):
        with pytest.raises(TargetLost):
            read_answer()

    @given(st.lists(st.integers(1, 30), max_size=20))
    def test_chunked_answer_split_at_any_byte(self, sizes):
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data += encode_chunk(b"hello") + encode_chunk(b"world") + b"0\r\n\r\n"
        parts, start = [], 0
        for size in sizes:
            parts.append(data[start : start + size])
            start += size
        parts = [part for part in [*parts, data[start:]] if part]
        _, body, reader = read_answer(*parts)
        assert body == b"helloworld" and reader.is_complete and not reader.must_close
