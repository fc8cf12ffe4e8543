"""Tests the keys, roles and scopes of operators."""

import pytest

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.admin.access import find_caller, require_all_workspaces, require_role
from tests.process.admin.keys import KEYS, OPERATOR, READER, TEAM


class TestKeys:
    @pytest.mark.parametrize("header", ["", "Bearer", "Bearer  ", "Basic abc", f"Basic {READER}"])
    def test_header_without_a_key_is_refused(self, header):
        with pytest.raises(RequestError, match="send Authorization") as caught:
            find_caller(KEYS, header)
        assert caught.value.code is ResultCode.UNAUTHENTICATED

    def test_wrong_key_is_not_shown(self):
        with pytest.raises(RequestError) as caught:
            find_caller(KEYS, "Bearer wrong-key")
        assert caught.value.code is ResultCode.UNAUTHENTICATED
        assert "wrong-key" not in str(caught.value)

    def test_digest_is_not_accepted_as_a_key(self):
        with pytest.raises(RequestError):
            find_caller(KEYS, f"Bearer {KEYS[0].key_digest}")

    def test_scoped_key_covers_only_its_workspaces(self):
        assert find_caller(KEYS, f"bearer {READER}").may_see("council")
        team = find_caller(KEYS, f"Bearer {TEAM}")
        assert team.may_see("harbour")
        assert not team.may_see("council")


class TestRoles:
    def test_operate_includes_read(self):
        caller = find_caller(KEYS, f"Bearer {OPERATOR}")
        require_role(caller, "read")
        require_role(caller, "operate")

    def test_read_does_not_include_operate(self):
        with pytest.raises(RequestError) as caught:
            require_role(find_caller(KEYS, f"Bearer {READER}"), "operate")
        assert caught.value.code is ResultCode.NOT_ALLOWED

    def test_scoped_key_is_not_for_the_whole_process(self):
        require_all_workspaces(find_caller(KEYS, f"Bearer {OPERATOR}"))
        with pytest.raises(RequestError) as caught:
            require_all_workspaces(find_caller(KEYS, f"Bearer {TEAM}"))
        assert caught.value.code is ResultCode.NOT_ALLOWED
