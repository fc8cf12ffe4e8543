import pytest

from guavawalk.codes import CODES, CodeClass, ResultCode, code_class
from guavawalk.connection.response_reader import BodyFraming, ResponseHead
from guavawalk.exception import HttpInvalid
from guavawalk.platform.requests import (
    decode_answer,
    decode_call,
    encode_retry_after,
    encode_status,
    encode_target_headers,
)

HEADERS = [
    (b"Host", b"a.example"),
    (b"Request-Id", b"r1"),
    (b"Model", b"m"),
    (b"Token-Count", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e:800, 91bd:410"),
    (b"Length-Hint", b"64"),
    (b"Deadline-Ms", b"15000"),
    (b"Authorization", b"Bearer k1"),
]


def forwarded(headers, **options):
    fields = decode_call([*HEADERS, *headers])
    return {
        name.lower(): value
        for name, value in encode_target_headers(fields, "i-1", "w", 1.5, **options)
    }


class TestDecodeCall:
    def test_decodes_fields(self):
        fields = decode_call(HEADERS)
        assert (fields.request_id, fields.host, fields.key) == ("r1", "a.example", "k1")
        assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
        assert fields.prompt_parts == (("5c1e", 800), ("91bd", 410))
        assert (fields.caller_timeout_s, fields.hinted_output_tokens) == (15.0, 64)

    def test_missing_id_is_rejected(self):
        with pytest.raises(HttpInvalid) as caught:
            decode_call([(b"Host", b"a.example")])
        assert caught.value.status == 400

    @pytest.mark.parametrize(
        "header",
        [
            (b"Request-Id", b"r2"),
            (b"host", b"b.example"),
            (b"Deadline-Ms", b"1"),
            (b"Token-Count", b"1,1"),
        ],
    )
    def test_single_header_that_occurs_twice_is_rejected(self, header):
        with pytest.raises(HttpInvalid, match="twice"):
            decode_call([*HEADERS, header])

    @pytest.mark.parametrize(
        "header",
        [
            (b"Deadline-Ms", b"soon"),
            (b"Token-Count", b"many"),
            (b"Prompt-Prefix", b"5c1e"),
            (b"Prompt-Prefix", b"5c1e:-1"),
        ],
    )
    def test_malformed_value_is_rejected(self, header):
        headers = [(name, value) for name, value in HEADERS if name != header[0]]
        with pytest.raises(HttpInvalid) as caught:
            decode_call([*headers, header])
        assert caught.value.status == 400


class TestEncodeTargetHeaders:
    def test_sets_headers_of_its_own_and_keeps_others(self):
        headers = forwarded([])
        assert headers[b"deadline-ms"] == b"1500"
        assert headers[b"expect-instance"] == b"i-1"
        assert headers[b"tenant"] == b"w"
        assert headers[b"request-id"] == b"r1"
        assert headers[b"token-count"] == b"1460,80"

    def test_api_key_is_not_forwarded(self):
        assert b"authorization" not in forwarded([])

    @pytest.mark.parametrize(
        "name",
        [b"Hold", b"Pin-Ms", b"Kv-Backup", b"Kv-From", b"Kv-Fetch", b"Keep-Alive", b"TE"],
    )
    def test_reserved_and_hop_by_hop_headers_are_dropped(self, name):
        assert name.lower() not in forwarded([(name, b"x")])

    @pytest.mark.parametrize("name", [b"Tenant", b"Expect-Instance"])
    def test_the_callers_own_values_are_replaced(self, name):
        assert forwarded([(name, b"forged")])[name.lower()] in (b"w", b"i-1")

    def test_headers_named_by_connection_are_dropped(self):
        headers = forwarded([(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"X-End", b"2")])
        assert b"x-hop" not in headers and b"connection" not in headers
        assert headers[b"x-end"] == b"2"

    def test_connection_header_cannot_remove_the_id(self):
        assert forwarded([(b"Connection", b"request-id")])[b"request-id"] == b"r1"

    def test_last_event_id_is_sent_only_for_a_resumed_stream(self):
        assert forwarded([], last_event_id="7")[b"last-event-id"] == b"7"
        assert b"last-event-id" not in forwarded([])


class TestDecodeAnswer:
    def answer(self, status, *headers):
        return decode_answer(ResponseHead(status, headers, BodyFraming.LENGTH, True))

    def test_decodes_a_stamped_answer(self):
        found = self.answer(200, (b"Server-Stamp", b"s"), (b"Request-Id", b"r1"))
        assert found.is_stamped and found.request_id == "r1" and not found.is_not_run
        assert (b"Server-Stamp", b"s") in found.forwarded_headers

    def test_stamp_of_an_encoded_body_does_not_count(self):
        stamp = (b"Server-Stamp", b"s")
        assert not self.answer(200, stamp, (b"Content-Encoding", b"gzip")).is_stamped
        assert self.answer(200, stamp, (b"Content-Encoding", b"identity")).is_stamped

    def test_answer_that_states_that_it_has_not_run(self):
        found = self.answer(503, (b"Not-Executed", b"1"))
        assert found.is_not_run and found.forwarded_headers == ()

    def test_misdirected_call_has_not_run(self):
        assert self.answer(421, (b"Instance-Id", b"i-2")).is_not_run

    def test_a_plain_503_may_have_run(self):
        assert not self.answer(503).is_not_run

    def test_decodes_the_idle_timeout(self):
        assert self.answer(200, (b"Keep-Alive", b"timeout=5, max=3")).idle_s == 5.0
        assert self.answer(200, (b"Keep-Alive", b"max=3")).idle_s is None


class TestEncodeStatus:
    def test_not_run_codes_give_a_status_that_promises_it(self):
        for number in CODES:
            if code_class(number) is CodeClass.NOT_RUN:
                assert encode_status(ResultCode(number)) in (429, 503)

    def test_codes_of_calls_that_may_have_run_give_no_such_status(self):
        for number in CODES:
            if code_class(number) in (CodeClass.UNKNOWN, CodeClass.FAILED):
                assert encode_status(ResultCode(number)) not in (408, 421, 429)
        assert encode_status(ResultCode.OUTCOME_UNKNOWN) == 502
        assert encode_status(ResultCode.LINK_LOST) == 504

    def test_retry_after_has_fractions_of_a_second(self):
        assert encode_retry_after(0.25) == (b"Retry-After", b"0.25")
