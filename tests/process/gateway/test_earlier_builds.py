"""Tests of gateways beside those of an earlier build, whose reports tell no state of a list."""

import anyio
import msgspec
import pytest

from guavawalk.connection.tasks.fetch_newer import fetch_newer, is_ahead
from guavawalk.connection.tasks.gossip import make_report, make_summary
from guavawalk.connection.tasks.serve_probe import PageAnswer, serve_pages
from guavawalk.process.gateway.centres import SUMMARY_TAG, decode_summary, encode_summary
from guavawalk.process.gateway.pages import TARGETS_PATH, peer_pages
from guavawalk.process.gateway.reports import PeerReport, decode_report, encode_report
from guavawalk.version.list_state import ListState
from soak.standins import listen
from tests.gateway_calls import make_registration
from tests.gateway_standins import GatewayHarness, run_with_timeout

# Fields of a report, a summary and a page of targets in the earlier build: it takes no more.
REPORT_FIELDS, SUMMARY_FIELDS, PAGE_FIELDS = 18, 17, 6


def create_gateway():
    """Create a gateway whose list is complete up to 105, and was last changed at 103."""
    gateway = GatewayHarness().gateway
    gateway.targets.put(make_registration("i-1"), 103)
    gateway.targets.record_list(ListState(0, 105, 77), last_change=103)
    return gateway


def is_array_of_integers(value):
    return all(type(item) is int for item in value)


class TestMessagesToEarlierBuilds:
    def test_report_and_summary_have_their_fields_and_the_last_change(self):
        async def run():
            gateway = create_gateway()
            report = make_report(gateway, 1, 1)
            return report, make_summary(gateway, report, 1, 0)

        report, summary = run_with_timeout(run)
        fields = msgspec.msgpack.decode(encode_report(report))
        assert (len(fields), fields[5], fields[14]) == (REPORT_FIELDS, 103, 0)
        assert is_array_of_integers(fields[10])
        fields = msgspec.msgpack.decode(encode_summary(summary).removeprefix(SUMMARY_TAG))
        assert (len(fields), fields[5], fields[13]) == (SUMMARY_FIELDS, 103, 0)
        assert is_array_of_integers(fields[11])

    def test_page_of_targets_has_their_fields_and_the_last_change(self):
        async def run():
            return peer_pages(create_gateway())[TARGETS_PATH.encode()]()

        fields = msgspec.msgpack.decode(run_with_timeout(run).body)
        assert (len(fields), fields[0], fields[4]) == (PAGE_FIELDS, 103, [103])


class TestMessagesOfEarlierBuilds:
    @pytest.mark.parametrize(
        ("era", "last_change", "expected"),
        [(0, 104, False), (0, 105, False), (0, 106, True), (1, 4, True)],
    )
    def test_list_is_newer_only_if_it_has_a_change_that_this_one_can_lack(
        self, era, last_change, expected
    ):
        async def run():
            gateway = create_gateway()
            report = ["10.0.0.2:1", 1, 1, 0, 0, last_change, False, [], {}, [], [], [], "", False]
            summary = ["b", "10.0.0.2:1", 1, 1, 0, last_change, [], 0, [], {}, [], [], []]
            report, summary = (msgspec.msgpack.encode([*news, era]) for news in (report, summary))
            messages = (decode_report(report), decode_summary(SUMMARY_TAG + summary))
            return [is_ahead(gateway, message) for message in messages]

        assert run_with_timeout(run) == [expected, expected]

    def test_their_page_is_fetched(self):
        async def run():
            gateway = create_gateway()
            body = msgspec.msgpack.encode([110, [make_registration("i-2")], [], 0, [110], 110])
            pages = {TARGETS_PATH.encode(): lambda: PageAnswer(200, body)}

            async def serve(stream):
                await serve_pages(pages, stream)

            listener, address = await listen(serve)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                report = PeerReport(address, 1, 1, targets_revision=110, data_centre="a")
                gateway.peers.apply_report(report, gateway.clock.now_s())
                await fetch_newer(gateway)
                tasks.cancel_scope.cancel()
            return gateway.targets

        targets = run_with_timeout(run)
        assert targets.ids() == {"i-2"}
        assert (targets.list_state, targets.last_change) == ((0, 110, 0), 110)
