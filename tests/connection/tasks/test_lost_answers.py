"""Tests that gateways notice lost answers of the registry, in virtual time."""

import random
from functools import partial
from typing import NamedTuple

import anyio
import pytest

from guavawalk.connection import http_client
from guavawalk.connection.tasks.follow_registry import follow_routes, follow_targets
from guavawalk.connection.tasks.gossip import receive_reports, send_reports
from guavawalk.connection.tasks.serve_probe import serve_pages
from guavawalk.platform.store import create_store
from guavawalk.process.gateway.pages import peer_pages
from soak.standins import StandInStore
from tests.gateway_standins import GatewayHarness
from tests.memory_network import MemoryNetwork
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW
from tests.virtual import run_virtually

# Bounds of the small deployments, in seconds: when gateways have caught up after a disruption, and
# when a change is in force otherwise. An answer takes the delay; the slow one the largest dose.
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
ANSWER_DELAY_S = 0.004
SLOW_ANSWER_DELAY_S = 0.352
SILENCE_S = 4.5
SHORT_SILENCE_S = 0.1
# Time for which a target that has left is still used, in seconds.
DRAIN_S = 2.0
# Time for which the fleet runs before an outage, in seconds: long enough that all watches wait.
STEADY_S = 5.0


class Place(NamedTuple):
    """Gateways of a data centre, the first of which may never reach the registry."""

    data_centre: str
    gateways: int
    cut_off: int = 0


ONE_EACH = (Place("a", 1), Place("b", 1))
ALONE = (Place("a", 1),)
MANY_BESIDE_TWO_WATCHERS = (Place("a", 6),)
ONE_HEARS_ONLY_FROM_OTHERS = (Place("a", 2), Place("b", 2, cut_off=2))
LAYOUTS = pytest.mark.parametrize(
    "layout",
    [ONE_EACH, ALONE, MANY_BESIDE_TWO_WATCHERS, ONE_HEARS_ONLY_FROM_OTHERS],
    ids=["one each", "alone", "many beside two watchers", "one hears only from others"],
)


class Fleet:
    """Gateways that follow a stand-in store, which an operator and targets write to."""

    def __init__(self, tasks, layout):
        self.store = StandInStore()
        self.store.delay_s = ANSWER_DELAY_S
        self.network = MemoryNetwork(tasks)
        self.harnesses = []
        self.write(7)
        self._tasks = tasks
        self._scopes = []
        self._starts = 0
        self._places = [
            (place.data_centre, number < place.cut_off)
            for place in layout
            for number in range(place.gateways)
        ]

    @property
    def gateways(self):
        return [harness.gateway for harness in self.harnesses]

    def start(self):
        for number in range(len(self._places)):
            self.harnesses.append(None)
            self._scopes.append(None)
            self.start_gateway(number)

    def start_gateway(self, number):
        """Start a gateway, or start one again after `kill`."""
        data_centre, is_cut_off = self._places[number]
        address = f"10.0.{number}.1:2"
        harness = GatewayHarness(
            peer_listen=address,
            peers=("10.0.0.1:2", "10.0.2.1:2"),
            data_centre=data_centre,
            contact_ms=int(CONTACT_S * 1000),
        )
        gateway = harness.gateway
        gateway.routes.table = gateway.routes.table._replace(version=0)
        gateway.targets.is_loaded = False
        gateway.evacuations.is_known = False
        self.harnesses[number] = harness
        self._scopes[number] = anyio.CancelScope()
        self._starts += 1
        if not is_cut_off:
            self.reconnect(number)
        self.network.listen(address, partial(serve_pages, peer_pages(gateway)))
        registry = create_store(self._store_address(number))
        socket, scope = self.network.bind(address), self._scopes[number]
        self._tasks.start_soon(self._run, gateway, registry, socket, self._starts, scope)

    async def _run(self, gateway, registry, socket, incarnation, scope):
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follow_routes, gateway, registry)
                tasks.start_soon(follow_targets, gateway, registry)
                tasks.start_soon(send_reports, gateway, socket, incarnation)
                tasks.start_soon(receive_reports, gateway, socket)

    def kill(self, number):
        """End a gateway at once."""
        self._scopes[number].cancel()
        self.network.kill(f"10.0.{number}.1:2")

    def cut_off(self, number):
        """Cut a gateway off from the store until `reconnect`."""
        self.network.kill(self._store_address(number))

    def reconnect(self, number):
        self.network.listen(self._store_address(number), self.store.serve)

    @staticmethod
    def _store_address(number):
        return f"10.9.{number}.1:1"

    def write(self, version):
        """Publish a version, register a target named after it, and remove the others."""
        self.store.put("op/config", {**DOCUMENT, "version": version})
        before = [key for key in self.store.items if key.startswith("servers/")]
        row = {**ROW, "address": f"10.1.0.{version}:1"}
        self.store.put(f"servers/i-{version}", row)
        for key in before:
            self.store.remove(key)

    def lose_answers(self, share=1.0):
        """Lose a share of the store's answers from now on."""
        self.store.loses_answer = lambda: random.random() < share

    def assert_in_force(self, version):
        """Check that all gateways have the version, and its target alone or beside lapsed ones."""
        assert [gateway.routes.table.version for gateway in self.gateways] == [version] * len(
            self.gateways
        )
        now_s = anyio.current_time()
        for gateway in self.gateways:
            usable = {
                target.registration.target_id
                for target in gateway.targets
                if target.usable_until_s > now_s + DRAIN_S
            }
            assert usable == {f"i-{version}"}


def play(use, layout, seed=0):
    """Run `use` in virtual time with a fleet whose gateways have not started."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, layout)
            patch.setattr(http_client, "open_stream", fleet.network.open_stream)
            patch.setattr(http_client, "has_input", lambda stream: stream.has_input)
            await use(fleet)
            tasks.cancel_scope.cancel()

    with pytest.MonkeyPatch.context() as patch:
        run_virtually(run, seed=seed)


async def start_calmly(fleet):
    fleet.start()
    await anyio.sleep(STEADY_S)


async def fall_silent(fleet, version, silent_s=SILENCE_S):
    """Lose all answers of the store for a while, at whose begin a version is written."""
    fleet.lose_answers()
    fleet.write(version)
    await anyio.sleep(silent_s)
    fleet.lose_answers(0.0)


class TestLostWatches:
    @LAYOUTS
    def test_changes_whose_answers_were_lost_are_in_force_once_in_touch(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            await fall_silent(fleet, 9)
            await anyio.sleep(CONTACT_S)
            fleet.assert_in_force(9)

        play(use, layout)

    @LAYOUTS
    def test_changes_after_a_silence_are_in_force_in_time(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            # A slow store has taken the changes, and loses its answers while it sends them.
            fleet.store.delay_s = SLOW_ANSWER_DELAY_S
            await fall_silent(fleet, 9)
            fleet.store.delay_s = ANSWER_DELAY_S
            await anyio.sleep(CONTACT_S)
            fleet.write(30)
            await anyio.sleep(CONFIGURATION_S)
            fleet.assert_in_force(30)

        play(use, layout)

    @LAYOUTS
    def test_a_silence_while_gateways_start(self, layout):
        async def use(fleet):
            fleet.start()
            await anyio.sleep(0.5)
            await fall_silent(fleet, 9)
            await anyio.sleep(CONTACT_S)
            fleet.assert_in_force(9)

        play(use, layout)

    @LAYOUTS
    def test_a_second_silence_while_gateways_recover(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            for version in (9, 30, 31):
                await fall_silent(fleet, version)
                await anyio.sleep(CONTACT_S / 2)
            await fall_silent(fleet, 33, SHORT_SILENCE_S)
            await anyio.sleep(CONTACT_S)
            fleet.assert_in_force(33)

        play(use, layout)

    @LAYOUTS
    @pytest.mark.parametrize("seed", range(5))
    def test_some_answers_are_lost_while_changes_are_made(self, layout, seed):
        async def use(fleet):
            await start_calmly(fleet)
            fleet.lose_answers(0.35)
            for version in range(9, 18):
                fleet.write(version)
                await anyio.sleep(SILENCE_S / 9)
            fleet.lose_answers(0.0)
            await anyio.sleep(CONTACT_S)
            fleet.assert_in_force(17)

        play(use, layout, seed)


class TestLateAnswers:
    @LAYOUTS
    def test_slow_store_is_followed_without_failures(self, layout):
        async def use(fleet):
            fleet.store.delay_s = SLOW_ANSWER_DELAY_S
            await start_calmly(fleet)
            for version in (9, 30):
                fleet.write(version)
                await anyio.sleep(CONFIGURATION_S)
                fleet.assert_in_force(version)
            reached = [gateway for gateway in fleet.gateways if gateway.registry_answered_s]
            assert not any(gateway.duty.is_failing() for gateway in reached)

        play(use, layout)
