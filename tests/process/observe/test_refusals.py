"""Tests the record of recent refusals."""

from guavawalk.codes import ResultCode
from guavawalk.process.observe.refusals import Refusal, create_refusals


def refusal(at_s: float, workspace: str = "harbour") -> Refusal:
    return Refusal(at_s, ResultCode.SHED, workspace, "tag", "t")


class TestRefusals:
    def test_newest_come_first_and_the_oldest_are_evicted(self):
        refusals = create_refusals(max_refusals=2)
        for at_s in (1.0, 2.0, 3.0):
            refusals.record(refusal(at_s))
        assert [found.at_s for found in refusals.recent()] == [3.0, 2.0]
        assert refusals.counts() == {ResultCode.SHED: 3}

    def test_only_refusals_of_the_scope_are_returned(self):
        refusals = create_refusals()
        refusals.record(refusal(1.0, "harbour"))
        refusals.record(refusal(2.0, "council"))
        assert [found.at_s for found in refusals.recent({"harbour"})] == [1.0]
