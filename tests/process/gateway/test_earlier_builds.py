"""Tests of gateways beside those of an earlier build, whose reports tell no state of a list."""

from typing import Any, NamedTuple

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


class EarlierReport(NamedTuple):
    address: str
    incarnation: int
    sequence: int
    age_s: float = 0.0
    routes_version: int = 0
    targets_revision: int = 0
    is_leaving: bool = False
    target_loads: tuple[Any, ...] = ()
    admitted: dict[str, float] = {}
    sent_parts: tuple[tuple[str, str], ...] = ()
    suspects: tuple[int, ...] = ()
    addresses: tuple[str, ...] = ()
    data_centre: str = ""
    is_registry_failing: bool = False
    registry_era: int = 0
    evacuations: Any = ((0, 0), ())
    waiting: tuple[Any, ...] = ()
    received: dict[str, float] = {}


class EarlierSummary(NamedTuple):
    data_centre: str
    relay: str
    incarnation: int
    sequence: int
    routes_version: int = 0
    targets_revision: int = 0
    live: tuple[str, ...] = ()
    silent: int = 0
    target_loads: tuple[Any, ...] = ()
    admitted: dict[str, float] = {}
    sent_parts: tuple[tuple[str, str], ...] = ()
    suspects: tuple[int, ...] = ()
    contacts: tuple[str, ...] = ()
    registry_era: int = 0
    evacuations: Any = ((0, 0), ())
    waiting: tuple[Any, ...] = ()
    received: dict[str, float] = {}


class EarlierTargets(NamedTuple):
    revision: int
    registrations: tuple[Any, ...]
    lapsing: tuple[tuple[str, float], ...] = ()
    era: int = 0
    item_revisions: tuple[int, ...] = ()
    era_read_revision: int = 0


def create_gateway():
    """Create a gateway whose list is complete up to 105, and was last changed at 103."""
    gateway = GatewayHarness().gateway
    gateway.targets.put(make_registration("i-1"), 103)
    gateway.targets.record_list(ListState(0, 105, 77), last_change=103)
    return gateway


class TestMessagesToEarlierBuilds:
    def test_report_and_summary_are_decoded_with_the_last_change(self):
        async def run():
            gateway = create_gateway()
            report = make_report(gateway, 1, 1)
            return report, make_summary(gateway, report, 1, 0)

        report, summary = run_with_timeout(run)
        found = msgspec.msgpack.decode(encode_report(report), type=EarlierReport)
        assert (found.registry_era, found.targets_revision) == (0, 103)
        data = encode_summary(summary).removeprefix(SUMMARY_TAG)
        found = msgspec.msgpack.decode(data, type=EarlierSummary)
        assert (found.registry_era, found.targets_revision) == (0, 103)

    def test_page_of_targets_is_decoded_with_the_last_change(self):
        async def run():
            return peer_pages(create_gateway())[TARGETS_PATH.encode()]()

        found = msgspec.msgpack.decode(run_with_timeout(run).body, type=EarlierTargets)
        assert (found.revision, len(found.registrations), found.item_revisions) == (103, 1, (103,))


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
            report = EarlierReport(
                "10.0.0.2:1", 1, 1, targets_revision=last_change, registry_era=era
            )
            summary = EarlierSummary(
                "b", "10.0.0.2:1", 1, 1, targets_revision=last_change, registry_era=era
            )
            encode = msgspec.msgpack.encode
            return [
                is_ahead(gateway, decode_report(encode(report))),
                is_ahead(gateway, decode_summary(SUMMARY_TAG + encode(summary))),
            ]

        assert run_with_timeout(run) == [expected, expected]

    def test_their_page_is_fetched(self):
        async def run():
            gateway = create_gateway()
            earlier = EarlierTargets(110, (make_registration("i-2"),), item_revisions=(110,))
            body = msgspec.msgpack.encode(earlier)
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
