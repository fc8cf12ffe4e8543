import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.gateway.centres import (
    SUMMARY_TAG,
    CentreSummary,
    create_centre_table,
    decode_summary,
    encode_summary,
)
from guavawalk.process.gateway.loads import TargetLoad, sum_loads
from guavawalk.process.gateway.quota import create_quota_windows
from guavawalk.process.gateway.targets import create_target_table
from guavawalk.process.spread.ranking import rank_nodes
from guavawalk.version.routes import Quota
from tests.gateway_calls import make_registration

FIRST, SECOND, THIRD = rank_nodes(["10.2.0.1:1", "10.2.0.2:1", "10.2.0.3:1"])
QUOTA = Quota(per_s=10.0, burst=20.0)


class CentreFixture:
    """A table of data centres with one target."""

    def __init__(self):
        self.targets = create_target_table()
        self.targets.put(make_registration())
        self.quotas = create_quota_windows(8.0)
        self.centres = create_centre_table(self.targets, self.quotas)

    def apply(self, sequence, running=0, now_s=0.0, relay=FIRST, data_centre="b", **fields):
        loads = (TargetLoad("i-1", running, 10 * running),) if running else ()
        fields = {"incarnation": 1, "live": (FIRST, SECOND, THIRD), **fields}
        summary = CentreSummary(data_centre, relay, sequence=sequence, target_loads=loads, **fields)
        return self.centres.apply(summary, now_s)

    @property
    def peer_load(self):
        target = self.targets.get("i-1")
        return target.peer_running, target.peer_prefill_tokens


class TestCentreTable:
    def test_summaries_replace_each_other_and_centres_are_added(self):
        fixture = CentreFixture()
        assert fixture.apply(1, 3) and fixture.apply(2, 5)
        assert fixture.apply(1, 2, data_centre="c")
        assert fixture.peer_load == (7, 70)

    def test_late_and_duplicate_summaries_are_dropped(self):
        fixture = CentreFixture()
        fixture.apply(2, 5)
        assert not fixture.apply(1, 3) and not fixture.apply(2, 9)
        assert fixture.peer_load == (5, 50)

    def test_one_of_two_relays_counts(self):
        fixture = CentreFixture()
        fixture.apply(9, 5)
        assert not fixture.apply(1, 5, now_s=0.3, relay=SECOND)
        assert fixture.peer_load == (5, 50)

    def test_successor_counts_when_the_relay_is_silent_and_the_first_when_it_is_back(self):
        fixture = CentreFixture()
        fixture.apply(9, 5)
        assert fixture.apply(1, 4, now_s=1.5, relay=SECOND)
        assert fixture.peer_load == (4, 40)
        assert fixture.apply(1, 3, now_s=1.6, incarnation=2)
        assert fixture.peer_load == (3, 30)

    def test_silent_centre_counts_for_shares_but_not_for_loads(self):
        fixture = CentreFixture()
        fixture.apply(1, 5, silent=2)
        assert fixture.centres.expire(3.0) == ["b"]
        assert fixture.peer_load == (0, 0) and not fixture.centres.is_live("b")
        assert (fixture.centres.count(), fixture.centres.live_count()) == (5, 0)
        fixture.centres.expire(30.0)
        assert fixture.centres.count() == 0

    def test_centre_of_one_gateway_is_silent_sooner(self):
        fixture = CentreFixture()
        fixture.apply(1, 5, live=(FIRST,))
        fixture.apply(1, 5, data_centre="c")
        assert fixture.centres.expire(2.0) == ["b"]

    def test_two_gateways_of_a_centre_receive_summaries_even_after_long_silence(self):
        fixture = CentreFixture()
        fixture.apply(1)
        assert fixture.centres.receivers() == {FIRST, SECOND}
        fixture.centres.expire(60.0)
        assert fixture.centres.receivers() == {FIRST, SECOND}

    def test_admissions_count_once_over_relays(self):
        fixture = CentreFixture()
        fixture.apply(1, admitted={"w": 500.0})
        fixture.apply(2, admitted={"w": 560.0}, now_s=1.0)
        # The successor's totals began at another moment; only their growth is new.
        fixture.apply(1, admitted={"w": 530.0}, now_s=3.0, relay=SECOND)
        fixture.apply(2, admitted={"w": 550.0}, now_s=3.3, relay=SECOND)
        assert fixture.quotas.try_admit("w", QUOTA, 20.0, 1.0, 5.5) == 0.0
        assert fixture.quotas.try_admit("w", QUOTA, 1.0, 1.0, 5.5) > 0.0


class TestSumLoads:
    def test_sums_by_target_with_the_slowness_seen_by_the_busiest(self):
        loads = [
            TargetLoad("i-1", 1, 10, 300, 5, 9),
            TargetLoad("i-2", 2, 0),
            TargetLoad("i-1", 4, 20, 120, 0, 1),
            TargetLoad("i-1", 9, 0),
        ]
        assert set(sum_loads(loads)) == {
            TargetLoad("i-1", 14, 30, 120, 5, 10),
            TargetLoad("i-2", 2, 0),
        }


class TestSummaryCodec:
    def test_round_trip(self):
        loads = (TargetLoad("i", 1, 2, 150),)
        summary = CentreSummary(
            "b", "10.0.0.1:1", 5, 2, 7, 9, ("10.0.0.1:1",), 1, loads, {"w": 3.0}
        )
        assert decode_summary(encode_summary(summary)) == summary

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise(self, data):
        with pytest.raises(msgspec.DecodeError):
            decode_summary(SUMMARY_TAG + b"\xff" + data)
