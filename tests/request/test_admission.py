import pytest

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.admission import admit_call
from guavawalk.request.call import CallFields
from guavawalk.version.routes import NO_ROUTES
from tests.gateway_calls import HOST, make_route, make_table


def admit(table=None, path=b"/x/1?a=2", key="k1", body=b"", **fields):
    table = make_table(make_route()) if table is None else table
    return admit_call(table, CallFields("r1", HOST, key, **fields), "POST", path, body, 100.0)


def refused(**options):
    with pytest.raises(RequestError) as caught:
        admit(**options)
    return caught.value.code


class TestAdmitCall:
    def test_deadline_is_the_nearer_of_the_callers_and_the_routes(self):
        assert admit(caller_timeout_s=0.5).deadline_s == 100.5
        assert admit(caller_timeout_s=30.0).deadline_s == 102.0
        assert admit().deadline_s == 102.0

    def test_empty_route_table_is_refused_as_no_configuration(self):
        assert refused(table=NO_ROUTES) is ResultCode.NO_CONFIGURATION

    def test_path_without_a_route_is_not_found(self):
        assert refused(path=b"/y/1") is ResultCode.NOT_FOUND

    def test_unknown_or_missing_key_is_unauthenticated(self):
        assert refused(key="k2") is ResultCode.UNAUTHENTICATED
        assert refused(key="") is ResultCode.UNAUTHENTICATED

    def test_anonymous_route_needs_no_key(self):
        call = admit(make_table(make_route(anonymous=True)), key="")
        assert call.workspace.name == ""

    def test_rank_of_the_workspace_overrides_that_of_the_route(self):
        assert admit(make_table(make_route(rank=5))).rank == 0

    def test_the_call_keeps_the_version_under_which_it_began(self):
        table = make_table(make_route(), version=9)
        assert admit(table).table is table

    def test_fingerprint_is_the_same_for_a_repeat_only(self):
        assert admit(body=b"1").fingerprint == admit(body=b"1").fingerprint
        assert admit(body=b"1").fingerprint != admit(body=b"2").fingerprint
        assert admit(path=b"/x/2").fingerprint != admit().fingerprint

    def test_quota_tokens_are_as_stated_or_the_default(self):
        assert admit(prompt_tokens=30, max_output_tokens=4).quota_tokens == 34
        assert admit().quota_tokens == 1
