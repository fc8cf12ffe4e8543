import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.exception import RegistrationInvalid
from guavawalk.platform.registrations import decode_registration

ROW = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "capacity": 11,
    "state": "ready",
    "warmupLeftMs": 500,
    "sequence": 4,
    "born": 1774997040000,
}


def decode(**changes):
    return decode_registration("servers/i-1", json.dumps({**ROW, **changes}).encode())


class TestDecodeRegistration:
    def test_decodes_fields(self):
        found = decode()
        assert found == ("i-1", "model", "10.0.0.9:8080", "a", 11, False, 0.5, 1774997040000)

    def test_state_draining(self):
        assert decode(state="draining").draining

    @pytest.mark.parametrize("name", ["service", "address", "zone", "capacity", "state"])
    def test_missing_field_raises(self, name):
        row = {key: value for key, value in ROW.items() if key != name}
        with pytest.raises(RegistrationInvalid, match="servers/i-1"):
            decode_registration("servers/i-1", json.dumps(row).encode())

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "asleep"},
            {"state": 5},
            {"capacity": "11"},
            {"capacity": True},
            {"capacity": -1},
            {"service": ""},
            {"service": None},
            {"address": "10.0.0.9"},
            {"address": "10.0.0.9:0"},
            {"address": ":80"},
            {"address": "10.0.0.9:x"},
            {"zone": 3},
            {"born": "yesterday"},
            {"warmupLeftMs": []},
        ],
    )
    def test_wrong_type_or_value_raises(self, changes):
        with pytest.raises(RegistrationInvalid):
            decode(**changes)

    @given(st.binary(max_size=60))
    def test_random_bytes_name_no_target(self, content):
        with pytest.raises(RegistrationInvalid):
            decode_registration("servers/i-1", content)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(list(ROW)), inner, max_size=6),
            max_leaves=12,
        )
    )
    def test_random_documents_raise_nothing_else(self, document):
        try:
            decode_registration("servers/i-1", json.dumps(document).encode())
        except RegistrationInvalid:
            return
