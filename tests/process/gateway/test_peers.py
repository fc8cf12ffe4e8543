import msgspec
import pytest

from guavawalk.process.gateway.centres import CentreSummary, create_centre_table
from guavawalk.process.gateway.loads import TargetLoad
from guavawalk.process.gateway.peers import create_peer_table
from guavawalk.process.gateway.quota import create_quota_windows
from guavawalk.process.gateway.reports import PeerReport, decode_report, encode_report
from guavawalk.process.gateway.targets import create_target_table
from guavawalk.process.gateway.version_sources import ListSource, VersionSource
from guavawalk.version.list_state import ListState
from tests.gateway_calls import make_registration


class PeerFixture:
    """A table of peers with one target."""

    def __init__(self, seeds=()):
        self.targets = create_target_table()
        self.targets.put(make_registration())
        self.quotas = create_quota_windows(8.0)
        centres = create_centre_table(self.targets, self.quotas)
        self.peers = create_peer_table("10.0.0.1:1", "a", seeds, self.targets, self.quotas, centres)

    def report(self, sequence, running=0, now_s=0.0, address="10.0.0.2:1", **fields):
        loads = (TargetLoad("i-1", running, 10 * running),) if running else ()
        fields = {"incarnation": 1, "data_centre": "a", **fields}
        return self.peers.apply_report(
            PeerReport(address, sequence=sequence, target_loads=loads, **fields), now_s
        )

    @property
    def peer_load(self):
        target = self.targets.get("i-1")
        return target.peer_running, target.peer_prefill_tokens


class TestPeerTable:
    def test_reports_replace_each_other(self):
        fixture = PeerFixture()
        fixture.report(1, 3)
        fixture.report(2, 5)
        assert fixture.peer_load == (5, 50)

    def test_late_and_duplicate_reports_are_dropped(self):
        fixture = PeerFixture()
        fixture.report(2, 5)
        fixture.report(1, 3)
        fixture.report(2, 9)
        assert fixture.peer_load == (5, 50)

    def test_new_incarnation_replaces_the_old_one(self):
        fixture = PeerFixture()
        fixture.report(9, 5)
        fixture.report(1, 2, incarnation=2)
        assert fixture.peer_load == (2, 20)

    def test_loads_of_gateways_are_added(self):
        fixture = PeerFixture()
        fixture.report(1, 5)
        fixture.report(1, 2, address="10.0.0.3:1")
        assert fixture.peer_load == (7, 70)

    def test_silent_gateway_counts_for_shares_but_not_for_loads(self):
        fixture = PeerFixture()
        fixture.report(1, 5)
        assert fixture.peers.expire(10.0) == ["10.0.0.2:1"]
        assert fixture.peer_load == (0, 0)
        assert (fixture.peers.count(), fixture.peers.live_share()) == (2, 0.5)

    def test_forgotten_after_long_silence(self):
        fixture = PeerFixture()
        fixture.report(1, 5)
        fixture.peers.expire(100.0)
        assert (fixture.peers.count(), fixture.peers.live_share()) == (1, 1.0)

    def test_own_reports_are_dropped(self):
        fixture = PeerFixture()
        fixture.report(1, 5, address="10.0.0.1:1")
        assert fixture.peers.count() == 1

    def test_returns_whether_a_gateway_was_not_live_before(self):
        fixture = PeerFixture()
        assert fixture.report(1)
        assert not fixture.report(2)
        fixture.peers.expire(10.0)
        assert fixture.report(3, now_s=11.0)


class TestLeaving:
    def make_peers(self):
        fixture = PeerFixture()
        fixture.report(1, 5)
        fixture.report(1, 1, address="10.0.0.3:1")
        assert not fixture.report(2, 4, is_leaving=True)
        return fixture

    def test_gateway_is_no_longer_counted_or_ranked_at_once(self):
        fixture = self.make_peers()
        peers = fixture.peers
        assert (peers.count(), peers.live_count(), peers.silent_count()) == (2, 2, 0)
        assert "10.0.0.2:1" not in peers.ranked_by_registry(False)
        assert [report.address for report in peers.live_reports()] == ["10.0.0.3:1"]

    def test_calls_that_go_on_are_not_forgotten(self):
        fixture = self.make_peers()
        assert fixture.peer_load == (5, 50)
        assert sum(load.running for load in fixture.peers.target_loads()) == 5
        fixture.report(3, 2, is_leaving=True)
        assert fixture.peer_load == (3, 30)

    def test_load_ends_with_the_reports_and_no_silence_is_told(self):
        fixture = self.make_peers()
        fixture.report(2, 1, now_s=10.0, address="10.0.0.3:1")
        assert fixture.peers.expire(10.0) == []
        assert fixture.peer_load == (1, 10)

    def test_gateway_that_leaves_is_still_reported_to(self):
        fixture = self.make_peers()
        assert fixture.peers.local_addresses() == {"10.0.0.2:1", "10.0.0.3:1"}

    def test_next_incarnation_is_live_at_once(self):
        fixture = self.make_peers()
        assert fixture.report(1, 2, incarnation=2)
        assert fixture.peer_load == (3, 30) and fixture.peers.count() == 3

    def test_last_admissions_of_a_leaving_gateway_count(self):
        fixture = PeerFixture()
        fixture.report(1, admitted={"w": 20.0})
        fixture.report(2, admitted={"w": 50.0}, is_leaving=True)
        assert fixture.quotas.admitted_in_centre.totals == {"w": 50.0}


class TestAddresses:
    def test_includes_seeds_until_as_many_gateways_are_live(self):
        fixture = PeerFixture(seeds=("10.0.0.2:1", "10.0.0.9:1"))
        assert fixture.peers.addresses() == {"10.0.0.2:1", "10.0.0.9:1"}
        fixture.report(1)
        fixture.report(1, address="10.0.0.3:1")
        assert fixture.peers.addresses() == {"10.0.0.2:1", "10.0.0.3:1"}

    def test_excludes_the_own_address_among_the_seeds(self):
        assert PeerFixture(seeds=("10.0.0.1:1",)).peers.addresses() == set()

    def test_includes_addresses_named_by_others_once(self):
        fixture = PeerFixture()
        fixture.peers.add_addresses(["10.0.0.7:1", "10.0.0.1:1"])
        assert fixture.peers.addresses() == {"10.0.0.7:1"}
        assert fixture.peers.addresses() == set()


class TestFailures:
    def test_failures_at_other_gateways_count(self):
        fixture = PeerFixture()
        target = fixture.targets.get("i-1")
        loads = (TargetLoad("i-1", 1, 0, failed=60, ended=80),)
        fixture.peers.apply_report(
            PeerReport("10.0.0.2:1", 1, 1, target_loads=loads, data_centre="a"), 0.0
        )
        assert target.failure_share(0.0) == pytest.approx(6.0 / (8.0 + 2.0))
        fixture.peers.apply_report(PeerReport("10.0.0.2:1", 1, 2, data_centre="a"), 0.0)
        assert target.failure_share(0.0) == 0.0

    def test_own_and_other_gateways_attempts_are_added(self):
        fixture = PeerFixture()
        target = fixture.targets.get("i-1")
        for _ in range(8):
            target.failures.record(False, 0.0)
        loads = (TargetLoad("i-1", 1, 0, failed=20, ended=20),)
        fixture.peers.apply_report(
            PeerReport("10.0.0.2:1", 1, 1, target_loads=loads, data_centre="a"), 0.0
        )
        assert target.failure_share(0.0) == pytest.approx(2.0 / (10.0 + 2.0))


class TestDataCentres:
    def make_peers(self):
        fixture = PeerFixture()
        for number in range(20):
            data_centre = "a" if number % 4 == 0 else "b"
            fixture.report(1, address=f"10.0.1.{number}:1", data_centre=data_centre)
        return fixture

    def test_local_addresses_are_live_gateways_of_the_same_data_centre(self):
        fixture = self.make_peers()
        assert fixture.peers.local_addresses() == {f"10.0.1.{n}:1" for n in range(0, 20, 4)}
        fixture.peers.expire(10.0)
        assert fixture.peers.local_addresses() == set()

    def test_only_gateways_of_the_data_centre_count_for_the_interval(self):
        fixture = self.make_peers()
        assert fixture.peers.report_interval_s() == pytest.approx(0.2)
        for number in range(12):
            fixture.report(1, address=f"10.0.2.{number}:1")
        assert fixture.peers.report_interval_s() == pytest.approx(0.2 * 18 / 6)

    def test_summaries_are_rarer_among_many_gateways(self):
        fixture = PeerFixture()
        assert fixture.peers.summary_interval_s() == pytest.approx(0.1)
        for number in range(11):
            fixture.report(1, address=f"10.0.2.{number}:1")
        assert fixture.peers.summary_interval_s() == pytest.approx(0.2)
        live = tuple(f"10.0.9.{number}:1" for number in range(50))
        fixture.peers.centres.apply(CentreSummary("b", live[0], 1, 1, live=live), 0.0)
        assert fixture.peers.summary_interval_s() == pytest.approx(0.3)

    def test_reports_of_other_data_centres_count_for_no_load(self):
        fixture = PeerFixture()
        assert not fixture.report(1, 5, data_centre="b")
        assert fixture.peer_load == (0, 0) and fixture.peers.count() == 1

    def test_contact_in_a_data_centre_without_summary_gets_one_and_is_named(self):
        fixture = PeerFixture()
        fixture.report(1, data_centre="b")
        assert fixture.peers.summary_addresses() == {"10.0.0.2:1"}
        assert "10.0.0.2:1" in fixture.peers.named_addresses()
        fixture.peers.expire(21.0)
        assert fixture.peers.summary_addresses() == set()


class TestRanks:
    def make_peers(self, *addresses):
        fixture = PeerFixture()
        for address in addresses:
            fixture.report(1, address=address)
        return fixture

    def test_one_gateway_of_a_data_centre_is_the_relay(self):
        addresses = [f"10.0.0.{number}:1" for number in range(1, 9)]
        relays = []
        for own in addresses:
            targets, quotas = create_target_table(), create_quota_windows(8.0)
            centres = create_centre_table(targets, quotas)
            peers = create_peer_table(own, "a", (), targets, quotas, centres)
            for address in addresses:
                peers.apply_report(PeerReport(address, 1, 1, data_centre="a"), 0.0)
            relays.append(peers.is_relay())
        assert relays.count(True) == 1

    def test_next_by_rank_is_the_relay_when_the_first_is_silent_or_leaves(self):
        fixture = self.make_peers("10.0.0.2:1", "10.0.0.3:1")
        first, second, third = fixture.peers.ranked_by_registry(False)
        fixture.report(2, address=first, is_leaving=True)
        assert fixture.peers.ranked_by_registry(False) == (second, third)
        fixture.peers.expire(10.0)
        assert fixture.peers.is_relay()

    def test_gateways_whose_registry_fails_rank_last_for_the_watch(self):
        fixture = self.make_peers("10.0.0.2:1", "10.0.0.3:1")
        ranked = fixture.peers.ranked_by_registry(False)
        others = [address for address in ranked if address != "10.0.0.1:1"]
        fixture.report(2, address=others[0], is_registry_failing=True)
        assert fixture.peers.ranked_by_registry(False)[-1] == others[0]
        assert fixture.peers.ranked_by_registry(True) == (
            others[1],
            *(address for address in ranked if address != others[1]),
        )


class TestVersionSources:
    def test_newest_gateway_and_one_nearby_among_equals(self):
        fixture = PeerFixture()
        assert fixture.peers.newest_routes() == VersionSource()
        summary = CentreSummary("b", "10.0.9.1:1", 1, 1, routes_version=7, targets_revision=3)
        fixture.peers.centres.apply(summary, 0.0)
        fixture.report(1, routes_version=7, targets_revision=2)
        assert fixture.peers.newest_routes() == VersionSource("10.0.0.2:1", 7, True)
        assert fixture.peers.newest_targets() == ListSource("10.0.9.1:1", ListState(0, 3), False)

    @pytest.mark.parametrize(
        ("known", "expected"),
        [
            (ListState(0, 5, 1), "10.0.0.2:1"),
            (ListState(0, 8, 3), "10.0.9.1:1"),
        ],
        ids=["nearby list is newer", "only the far list is newer"],
    )
    def test_gateway_nearby_with_an_equal_list_goes_before_a_later_one_far_away(
        self, known, expected
    ):
        fixture = PeerFixture()
        summary = CentreSummary("b", "10.0.9.1:1", 1, 1, list_state=ListState(0, 9, 2))
        fixture.peers.centres.apply(summary, 0.0)
        fixture.report(1, list_state=ListState(0, 7, 2))
        fixture.report(1, address="10.0.0.3:1", list_state=ListState(0, 6, 4))
        assert fixture.peers.newest_targets(known).address == expected


class TestSharingAddresses:
    def test_silent_gateways_and_data_centres_that_are_cut_off_still_count(self):
        fixture = PeerFixture(seeds=["10.0.7.1:1"])
        summary = CentreSummary("b", "10.0.9.1:1", 1, 1, live=("10.0.9.1:1",))
        fixture.peers.centres.apply(summary, 0.0)
        fixture.report(1, addresses=("10.0.0.2:1", "10.0.0.3:1"))
        fixture.peers.expire(9.0)
        fixture.peers.centres.expire(9.0)
        expected = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.7.1:1", "10.0.9.1:1"}
        assert fixture.peers.live_count() == 1
        assert fixture.peers.sharing_addresses() == expected


class TestReportCodec:
    def test_round_trip(self):
        loads = (TargetLoad("i", 1, 2),)
        report = PeerReport("10.0.0.1:1", 5, 2, 1.5, 7, 9, target_loads=loads, admitted={"w": 3.0})
        assert decode_report(encode_report(report)) == report

    @pytest.mark.parametrize("data", [b"", b"\x93\x01\x02\x03", b"no report", b"\xdd\xff\xff\xff"])
    def test_invalid_datagram_raises(self, data):
        with pytest.raises(msgspec.DecodeError):
            decode_report(data)
