import msgspec
import pytest

from guavawalk.process.gateway.peers import (
    PeerReport,
    TargetLoad,
    create_peer_table,
    decode_report,
    encode_report,
)
from guavawalk.process.gateway.quota import create_quota_windows
from guavawalk.process.gateway.targets import create_target_table
from tests.gateway_calls import make_registration


class Story:
    """A table of gateways with one target."""

    def __init__(self, seeds=()):
        self.targets = create_target_table()
        self.targets.put(make_registration())
        quotas = create_quota_windows(8.0)
        self.peers = create_peer_table("10.0.0.1:1", "a", seeds, self.targets, quotas)

    def report(self, sequence, running=0, now_s=0.0, address="10.0.0.2:1", **fields):
        loads = (TargetLoad("i-1", running, 10 * running),) if running else ()
        fields = {"incarnation": 1, **fields}
        return self.peers.apply_report(
            PeerReport(address, sequence=sequence, target_loads=loads, **fields), now_s
        )

    @property
    def running(self):
        target = self.targets.get("i-1")
        return target.peer_running, target.peer_prefill_tokens


class TestPeerTable:
    def test_reports_replace_each_other(self):
        story = Story()
        story.report(1, 3)
        story.report(2, 5)
        assert story.running == (5, 50)

    def test_late_and_doubled_reports_are_dropped(self):
        story = Story()
        story.report(2, 5)
        story.report(1, 3)
        story.report(2, 9)
        assert story.running == (5, 50)

    def test_new_incarnation_starts_anew(self):
        story = Story()
        story.report(9, 5)
        story.report(1, 2, incarnation=2)
        assert story.running == (2, 20)

    def test_sum_over_gateways(self):
        story = Story()
        story.report(1, 5)
        story.report(1, 2, address="10.0.0.3:1")
        assert story.running == (7, 70)

    def test_silent_gateway_counts_for_shares_but_not_for_loads(self):
        story = Story()
        story.report(1, 5)
        assert story.peers.expire(10.0) == ["10.0.0.2:1"]
        assert story.running == (0, 0)
        assert (story.peers.count(), story.peers.live_share()) == (2, 0.5)

    def test_forgotten_after_long_silence(self):
        story = Story()
        story.report(1, 5)
        story.peers.expire(100.0)
        assert (story.peers.count(), story.peers.live_share()) == (1, 1.0)

    def test_leaving_gateway_is_forgotten_at_once(self):
        story = Story()
        story.report(1, 5)
        story.report(2, 5, is_leaving=True)
        assert story.running == (0, 0) and story.peers.count() == 1

    def test_own_reports_are_dropped(self):
        story = Story()
        story.report(1, 5, address="10.0.0.1:1")
        assert story.peers.count() == 1

    def test_says_when_a_gateway_is_heard_first_or_again(self):
        story = Story()
        assert story.report(1)
        assert not story.report(2)
        story.peers.expire(10.0)
        assert story.report(3, now_s=11.0)


class TestAddresses:
    def test_seeds_until_as_many_are_heard(self):
        story = Story(seeds=("10.0.0.2:1", "10.0.0.9:1"))
        assert story.peers.addresses() == {"10.0.0.2:1", "10.0.0.9:1"}
        story.report(1)
        story.report(1, address="10.0.0.3:1")
        assert story.peers.addresses() == {"10.0.0.2:1", "10.0.0.3:1"}

    def test_own_address_among_the_seeds(self):
        assert Story(seeds=("10.0.0.1:1",)).peers.addresses() == set()

    def test_named_by_others_once(self):
        story = Story()
        story.peers.add_addresses(["10.0.0.7:1", "10.0.0.1:1"])
        assert story.peers.addresses() == {"10.0.0.7:1"}
        assert story.peers.addresses() == set()


class TestFailures:
    def test_what_others_saw_fail_counts(self):
        story = Story()
        target = story.targets.get("i-1")
        loads = (TargetLoad("i-1", 1, 0, failed=60, ended=80),)
        story.peers.apply_report(PeerReport("10.0.0.2:1", 1, 1, target_loads=loads), 0.0)
        assert target.failure_share(0.0) == pytest.approx(6.0 / (8.0 + 2.0))
        story.peers.apply_report(PeerReport("10.0.0.2:1", 1, 2, target_loads=()), 0.0)
        assert target.failure_share(0.0) == 0.0

    def test_own_and_others_observations_are_added(self):
        story = Story()
        target = story.targets.get("i-1")
        for _ in range(8):
            target.failures.record(False, 0.0)
        loads = (TargetLoad("i-1", 1, 0, failed=20, ended=20),)
        story.peers.apply_report(PeerReport("10.0.0.2:1", 1, 1, target_loads=loads), 0.0)
        assert target.failure_share(0.0) == pytest.approx(2.0 / (10.0 + 2.0))


class TestDataCentres:
    def fleet(self):
        story = Story()
        for number in range(20):
            data_centre = "a" if number % 4 == 0 else "b"
            story.report(1, address=f"10.0.1.{number}:1", data_centre=data_centre)
        return story

    def test_near_are_those_heard_in_the_same_data_centre(self):
        story = self.fleet()
        assert story.peers.local_addresses() == {f"10.0.1.{n}:1" for n in range(0, 20, 4)}
        story.peers.expire(10.0)
        assert story.peers.local_addresses() == set()

    def test_the_near_are_told_more_often(self):
        peers = self.fleet().peers
        assert peers.report_interval_s() == pytest.approx(0.2 * 21 / 6)
        assert peers.local_report_interval_s() == pytest.approx(0.2)


class TestReportCodec:
    def test_round_trip(self):
        loads = (TargetLoad("i", 1, 2),)
        report = PeerReport("a:1", 5, 2, 1.5, 7, 9, target_loads=loads, admitted={"w": 3.0})
        assert decode_report(encode_report(report)) == report

    @pytest.mark.parametrize("data", [b"", b"\x93\x01\x02\x03", b"no report", b"\xdd\xff\xff\xff"])
    def test_what_is_none(self, data):
        with pytest.raises(msgspec.DecodeError):
            decode_report(data)
