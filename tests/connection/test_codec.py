"""Encoding of link messages."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection import messages
from guavawalk.connection.codec import decode_message, encode_message
from guavawalk.exception import LinkBroken
from guavawalk.request.types import LoadReport

VALUES = {
    int: st.integers(0, 2**31 - 1),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=50),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    tuple[int, ...]: st.lists(st.integers(0, 2**31 - 1), max_size=5).map(tuple),
    tuple[str, ...]: st.lists(st.text(max_size=5), max_size=5).map(tuple),
}


def any_message(kind):
    """Return a strategy for messages of a type."""
    fields = {
        name: any_message(LoadReport) if part is LoadReport else VALUES[part]
        for name, part in kind.__annotations__.items()
    }
    return st.builds(kind, **fields)


class TestRoundTrip:
    @given(st.sampled_from(messages.Message.__args__).flatmap(any_message), st.integers(0, 2**40))
    def test_every_message_decodes_to_itself(self, message, version):
        assert decode_message(encode_message(message, version)) == (message, version)


class TestInvalidFrames:
    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_link_broken(self, frame):
        with contextlib.suppress(LinkBroken):
            decode_message(frame)

    @pytest.mark.parametrize(
        "frame",
        [
            b"",
            b"\xff" * 30,
            b"\x0c\x00\x03\x0f\x00\x09\x0b\x7f\xff\xff\xff",
            b"\x0c\x00\x63" * 100_000,
            b"\x0c\x00\x03\x0b\x00\x01\x7f\xff\xff\xff",
        ],
        ids=["empty", "ones", "long list", "deep nesting", "long string"],
    )
    def test_malformed_frames_raise_link_broken(self, frame):
        with pytest.raises(LinkBroken):
            decode_message(frame)

    def test_unknown_field_is_ignored(self):
        frame = encode_message(messages.Chunk("a", 1, b"x"))
        extended = frame[:-1] + b"\x08\x03\xe7\x00\x00\x00\x01\x00"
        assert decode_message(extended)[0] == messages.Chunk("a", 1, b"x")
