"""Tests that one odd item from outside is skipped, and what else is known stays in use."""

import json

import anyio
import msgspec.msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavawalk.connection.response_reader import BodyFraming, ResponseHead
from guavawalk.connection.streams import open_stream
from guavawalk.connection.tasks.apply_targets import apply_target_list
from guavawalk.connection.tasks.follow_registry import follow_targets
from guavawalk.connection.tasks.gossip import make_report, receive_reports, send_reports
from guavawalk.exception import ConfigurationError, HttpInvalid, TargetConnectError
from guavawalk.platform.configuration import decode_configuration
from guavawalk.platform.requests import decode_answer, decode_call
from guavawalk.platform.store import create_store
from guavawalk.process.gateway.pages import decode_target_list, metric_pages, peer_pages
from guavawalk.process.gateway.reports import decode_report, encode_report
from guavawalk.request.admission import admit_call
from soak.standins import StandInStore, listen
from tests.gateway_calls import make_call, make_route, make_table
from tests.gateway_standins import GatewayHarness, run_with_timeout
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW

NESTED = b"[" * 100_000 + b"]" * 100_000
SOUND = "servers/sound"
ODD_VALUES = {
    "nested": NESTED,
    "nested field": json.dumps(ROW).encode()[:-1] + b', "x": ' + NESTED + b"}",
    "401 digits": json.dumps(ROW).encode().replace(b"500", b"9" * 401),
    "300 digits": json.dumps(ROW).encode().replace(b"500", b"9" * 300),
    "5,000 digits": json.dumps(ROW).encode().replace(b"500", b"9" * 5_000),
    "large capacity": json.dumps({**ROW, "capacity": 10**30}).encode(),
    "port out of range": json.dumps({**ROW, "address": "10.0.0.9:70000"}).encode(),
    "port of other digits": json.dumps({**ROW, "address": "10.0.0.9:８０"}).encode(),
    "no IP address": json.dumps({**ROW, "address": "example.invalid:80"}).encode(),
    "long zone": json.dumps({**ROW, "zone": "z" * 100_000}).encode(),
    "half of a character": b'{"service": "\\ud800"}',
    "no UTF-8": b"\xff\xfe\x00",
    "list": b"[1, 2]",
    "nothing": b"",
}
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
ENTRIES = st.dictionaries(st.sampled_from([*ROW, "x"]), JSON, max_size=9).map(
    lambda odd: {**ROW, **odd}
)
ITEMS = st.dictionaries(st.sampled_from(["value", "revision", "removed", "lease", "x"]), JSON)
TARGET_HEADERS = st.sampled_from([b"Keep-Alive", b"Request-Id", b"Connection"])
CALLER_HEADERS = st.sampled_from(
    [b"Deadline-Ms", b"Token-Count", b"Length-Hint", b"Prompt-Prefix", b"Request-Id"]
)


def assert_usable(gateway):
    """Check that what the gateway knows can be chosen from, reported, and shown."""
    call = make_call(make_route(service="model"))
    snapshots = list(gateway.targets.snapshots(call, True, (), gateway.clock.now_s()))
    assert any(snapshot.target_id == "sound" for snapshot in snapshots)
    assert decode_report(encode_report(make_report(gateway, 1, 1)))
    for pages in (peer_pages(gateway), metric_pages(gateway)):
        for create_page in pages.values():
            assert create_page().status == 200


def follow(prepare, change=None):
    """Follow a registry that holds a sound entry and odd ones; return the gateway's log."""

    async def run():
        store = StandInStore()
        listener, address = await listen(store.serve)
        story = GatewayHarness()
        gateway = story.gateway
        gateway.targets.is_loaded = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, store.serve)
            prepare(store)
            store.put(SOUND, ROW)
            tasks.start_soon(follow_targets, gateway, create_store(address))
            while gateway.targets.get("sound") is None:
                await anyio.sleep(0.01)
            if change is not None:
                change(store)
                store.put("servers/sound-2", ROW)
                while gateway.targets.get("sound-2") is None:
                    await anyio.sleep(0.01)
            assert_usable(gateway)
            tasks.cancel_scope.cancel()
        return story.log

    return run_with_timeout(run)


class TestRegistry:
    @pytest.mark.parametrize("name", ODD_VALUES)
    def test_odd_entry_keeps_no_gateway_from_its_start(self, name):
        log = follow(lambda store: store.put("servers/odd", ODD_VALUES[name]))
        assert any("servers/odd" in line["reason"] for line in log.named("registration_invalid"))

    @pytest.mark.parametrize("name", ODD_VALUES)
    def test_odd_entry_ends_no_watch(self, name):
        log = follow(lambda store: None, lambda store: store.put("servers/odd", ODD_VALUES[name]))
        assert not log.named("registry_lost") and not log.named("task_failed")

    @pytest.mark.parametrize("key", ("servers/a\r\nX: y", "servers/", "servers/ä", "servers/a b"))
    def test_id_that_no_header_can_carry_names_no_target(self, key):
        log = follow(lambda store: None, lambda store: store.put(key, ROW))
        assert log.named("registration_invalid")

    @settings(max_examples=25)
    @given(st.lists(ENTRIES, min_size=1, max_size=6))
    def test_page_of_entries_of_any_structure_leaves_the_sound_one_in_use(self, entries):
        def prepare(store):
            for number, entry in enumerate(entries):
                store.put(f"servers/odd-{number}", entry)

        follow(prepare)

    @settings(max_examples=25)
    @given(st.lists(ITEMS, min_size=1, max_size=4))
    def test_items_of_any_structure_leave_the_sound_one_in_use(self, items):
        def prepare(store):
            for number, item in enumerate(items):
                key = f"servers/a-{number}"
                store.items[key] = {**item, "key": key}

        follow(prepare)

    @pytest.mark.parametrize("text", ("*", "\x00", "x" * 7))
    def test_value_that_is_no_base64_is_skipped(self, text):
        def prepare(store):
            store.put("servers/odd", ROW)
            store.items["servers/odd"]["value"] = text

        assert follow(prepare).named("registration_invalid")


class TestConfiguration:
    @pytest.mark.parametrize(
        "content",
        (
            NESTED,
            json.dumps({**DOCUMENT, "version": 10**30}).encode(),
            json.dumps(DOCUMENT).encode()[:-1] + b', "x": ' + NESTED + b"}",
            b'{"version": 1e999}',
        ),
    )
    def test_odd_document_is_rejected_and_ends_no_task(self, content):
        with pytest.raises(ConfigurationError):
            decode_configuration(content)

    @given(JSON)
    def test_document_of_any_structure_raises_nothing_else(self, document):
        try:
            decode_configuration(json.dumps(document).encode())
        except ConfigurationError:
            return

    @given(st.sampled_from(sorted(DOCUMENT)), JSON)
    def test_section_of_any_structure_raises_nothing_else(self, section, odd):
        try:
            table = decode_configuration(json.dumps({**DOCUMENT, section: odd}).encode())
        except ConfigurationError:
            return
        assert msgspec.msgpack.encode(table)


class TestPeers:
    def rejected(self, data):
        async def run():
            story = GatewayHarness(peer_listen="127.0.0.1:1")
            async with await anyio.create_udp_socket(local_host="127.0.0.1") as socket:
                port = socket.extra(anyio.abc.SocketAttribute.local_port)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(receive_reports, story.gateway, socket)
                    tasks.start_soon(send_reports, story.gateway, socket, 1)
                    async with await anyio.create_udp_socket(local_host="127.0.0.1") as sender:
                        await sender.sendto(data, "127.0.0.1", port)
                        while not story.log.named("link_rejected"):
                            await anyio.sleep(0.01)
                    await anyio.sleep(0.3)
                    tasks.cancel_scope.cancel()
            return story.gateway.peers.count()

        return run_with_timeout(run)

    @pytest.mark.parametrize(
        "report",
        (
            ["example.invalid:x", 1, 1],
            ["127.0.0.1:99999999", 1, 1],
            ["127.0.0.1:9", 2**64 - 1, 1],
            ["127.0.0.1:9", 1, 1, float("nan")],
            ["127.0.0.1:9", 1, 1, 1.0, 2**64 - 1],
            ["127.0.0.1:9", 1, 1, 1.0, 1, 1, False, [["i", 2**63, 0]]],
            ["127.0.0.1:9", 1, 1, 1.0, 1, 1, False, [], {"w": float("inf")}],
            ["127.0.0.1:9", 1, 1, 1.0, 1, 1, False, [], {}, [], [], ["no address"]],
        ),
    )
    def test_report_with_odd_values_is_dropped_and_ends_no_task(self, report):
        assert self.rejected(msgspec.msgpack.encode(report)) == 1

    def test_deeply_nested_datagram_is_dropped(self):
        assert self.rejected(b"\x91" * 60_000) == 1

    def test_target_that_can_not_be_registered_is_not_taken_from_a_peer(self):
        async def run():
            story = GatewayHarness()
            odd = ("i-1", "desk", "10.0.0.9:70000", "a", 2)
            body = msgspec.msgpack.encode([9, [odd, ("i-2", "desk", "10.0.0.9:80", "a", 2)]])
            listed, problems = decode_target_list(body)
            assert len(problems) == 1
            await apply_target_list(story.gateway, listed, "peer")
            return story.gateway.targets.ids()

        assert run_with_timeout(run) == {"i-2"}


class TestAddresses:
    @pytest.mark.parametrize("address", ("x", "10.0.0.9:x", "10.0.0.9:70000", ":80", "", "[::1:80"))
    def test_address_that_can_not_be_connected_to_is_an_unreached_target(self, address):
        async def run():
            with pytest.raises(TargetConnectError):
                await open_stream(address, 0.1)

        run_with_timeout(run)


class TestHeaders:
    DIGITS = (b"9" * 25, b"9" * 309, b"9" * 401, b"9" * 4_299, b"9" * 5_000)

    @pytest.mark.parametrize("digits", DIGITS)
    @pytest.mark.parametrize(
        "name", (b"Deadline-Ms", b"Token-Count", b"Length-Hint", b"Prompt-Prefix")
    )
    def test_huge_number_of_a_caller_is_answered(self, name, digits):
        async def run():
            story = GatewayHarness(make_route())
            value = b"a:" + digits if name == b"Prompt-Prefix" else digits
            async with story.running():
                caller = await story.caller()
                await caller.stream.send(
                    b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
                    b"Authorization: Bearer k1\r\n%s: %s\r\n\r\n" % (name, value)
                )
                status = (await caller.answer())[0]
            return status, story.log

        status, log = run_with_timeout(run)
        assert status in (400, 503)
        assert not log.named("task_failed")

    @given(st.lists(st.tuples(TARGET_HEADERS, st.binary(max_size=40))))
    def test_headers_of_a_target_raise_nothing(self, headers):
        decode_answer(ResponseHead(200, headers, BodyFraming.LENGTH, True))

    def test_huge_idle_time_of_a_target_is_bounded(self):
        head = ResponseHead(
            200, [(b"Keep-Alive", b"timeout=" + b"9" * 5_000)], BodyFraming.LENGTH, True
        )
        assert 0 < decode_answer(head).idle_s <= 1e9

    @given(st.dictionaries(CALLER_HEADERS, st.text("0123456789,:-+. ٣²", max_size=30)))
    def test_headers_of_a_caller_raise_nothing_but_an_error_that_is_answered(self, headers):
        encoded = [(name, value.encode()) for name, value in headers.items()]
        try:
            fields = decode_call(encoded)
        except HttpInvalid:
            return
        table = make_table(make_route())
        fields = fields._replace(host="a.example", key="k1")
        assert admit_call(table, fields, "GET", b"/x/1", b"", 0.0).deadline_s < 1e12
