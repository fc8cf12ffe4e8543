"""Tests that a list of targets which is older than another never replaces it, in virtual time."""

from functools import partial

import anyio
import pytest

from guavawalk.connection.registry import TargetUpdate
from guavawalk.connection.tasks.apply_targets import apply_read, apply_target_list
from guavawalk.connection.tasks.follow_registry import follow_targets
from guavawalk.version.registrations import ListedTargets
from tests.connection.tasks.test_lost_answers import (
    CONTACT_S,
    MANY_BESIDE_TWO_WATCHERS,
    Place,
    play,
    start_calmly,
)
from tests.gateway_calls import make_registration
from tests.gateway_standins import GatewayHarness
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW
from tests.virtual import run_virtually

TWO_DATA_CENTRES = (Place("a", 3), Place("b", 4))
ONE_IN_EACH_OF_FOUR = tuple(Place(name, 1) for name in "abcd")
LAYOUTS = pytest.mark.parametrize(
    "layout",
    [MANY_BESIDE_TWO_WATCHERS, TWO_DATA_CENTRES],
    ids=["one data centre", "two data centres"],
)
# Time from the end of a process until it is started again, in seconds.
RESTART_S = 0.15


def put(fleet, target_id, **fields):
    number = sum(map(ord, target_id)) % 250
    fleet.store.put(f"servers/{target_id}", {**ROW, "address": f"10.2.0.{number}:1", **fields})


def used_ids(gateway):
    """Return the ids of the targets that calls are sent to."""
    now_s = anyio.current_time()
    return {
        target.registration.target_id
        for target in gateway.targets
        if target.usable_until_s > now_s and not target.registration.draining
    }


def survivor(fleet):
    """Return the number of a gateway that doesn't watch the registry."""
    return next(
        number
        for number, gateway in reversed(list(enumerate(fleet.gateways)))
        if not gateway.duty.is_watcher()
    )


async def restart_others(fleet, kept, change, away_s=RESTART_S):
    """Make a change while all gateways but one are away."""
    numbers = [number for number in range(len(fleet.gateways)) if number != kept]
    for number in numbers:
        fleet.kill(number)
    await anyio.sleep(away_s / 2)
    change()
    await anyio.sleep(away_s / 2)
    for number in numbers:
        fleet.start_gateway(number)


def lines(fleet, name):
    return [line for harness in fleet.harnesses for line in harness.log.named(name)]


class TestChangesWhileWatchersRestart:
    @LAYOUTS
    def test_removed_target_is_not_used_again_by_an_older_list(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            for target_id in ("i-1", "i-2"):
                put(fleet, target_id)
            await anyio.sleep(CONTACT_S)
            for target_id, left in (("i-1", {"i-7", "i-2"}), ("i-2", {"i-7"})):
                change = partial(fleet.store.remove, f"servers/{target_id}")
                await restart_others(fleet, survivor(fleet), change)
                await anyio.sleep(CONTACT_S)
                assert [used_ids(gateway) for gateway in fleet.gateways] == [left] * len(
                    fleet.gateways
                )

        play(use, layout)

    @LAYOUTS
    def test_target_whose_entry_became_invalid_is_not_used_again(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1")
            await anyio.sleep(CONTACT_S)
            change = partial(fleet.store.put, "servers/i-1", b"{}")
            await restart_others(fleet, survivor(fleet), change)
            await anyio.sleep(CONTACT_S)
            assert all(used_ids(gateway) == {"i-7"} for gateway in fleet.gateways)

        play(use, layout)

    @LAYOUTS
    def test_target_that_started_again_under_its_id_is_used(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1", born=5)

            def start_again():
                fleet.store.remove("servers/i-1")
                put(fleet, "i-1", born=9)

            await anyio.sleep(CONTACT_S)
            await restart_others(fleet, survivor(fleet), start_again)
            await anyio.sleep(CONTACT_S)
            for gateway in fleet.gateways:
                assert used_ids(gateway) == {"i-7", "i-1"}
                assert gateway.targets.get("i-1").registration.started_at_ms == 9

        play(use, layout)

    @LAYOUTS
    def test_removal_after_the_first_read_of_a_new_era(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1")
            fleet.store.roll_back(fleet.store.items, fleet.store.revision)
            await anyio.sleep(CONTACT_S)
            change = partial(fleet.store.remove, "servers/i-1")
            await restart_others(fleet, survivor(fleet), change)
            await anyio.sleep(CONTACT_S)
            assert all(used_ids(gateway) == {"i-7"} for gateway in fleet.gateways)

        play(use, layout)

    @LAYOUTS
    def test_lifted_evacuation_and_newer_routes(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            fleet.store.put("op/evacuate/c", {})
            await anyio.sleep(CONTACT_S)
            assert all(gateway.targets.evacuated == {"c"} for gateway in fleet.gateways)

            def change():
                fleet.store.remove("op/evacuate/c")
                fleet.store.put("op/config", {**DOCUMENT, "version": 8})

            await restart_others(fleet, survivor(fleet), change)
            await anyio.sleep(CONTACT_S)
            assert not any(gateway.targets.evacuated for gateway in fleet.gateways)
            assert {gateway.routes.table.version for gateway in fleet.gateways} == {8}

        play(use, layout)

    def test_removal_while_one_gateway_is_cut_off_from_the_registry(self):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1")
            await anyio.sleep(CONTACT_S)
            fleet.cut_off(0)
            await anyio.sleep(1.0)
            change = partial(fleet.store.remove, "servers/i-1")
            await restart_others(fleet, 0, change, away_s=1.0)
            await anyio.sleep(CONTACT_S)
            assert all(used_ids(gateway) == {"i-7"} for gateway in fleet.gateways)
            fleet.reconnect(0)
            await anyio.sleep(CONTACT_S)
            assert all(used_ids(gateway) == {"i-7"} for gateway in fleet.gateways)

        play(use, ONE_IN_EACH_OF_FOUR)


class TestEqualLists:
    @LAYOUTS
    def test_are_not_fetched_while_others_write_and_gateways_restart(self, layout):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1")
            fleet.store.put("servers/i-invalid", b"{}")
            await anyio.sleep(CONTACT_S)
            for harness in fleet.harnesses:
                harness.log.lines.clear()
            await restart_others(fleet, survivor(fleet), lambda: None)
            for number in range(150):
                fleet.store.put(f"notes/{number % 7}", {})
                if number % 40 == 0:
                    restarted = number // 40 % len(fleet.gateways)
                    fleet.kill(restarted)
                    fleet.start_gateway(restarted)
                await anyio.sleep(0.02)
            await anyio.sleep(CONTACT_S)
            assert not lines(fleet, "targets_fetched")
            digests = {gateway.targets.list_state.digest for gateway in fleet.gateways}
            assert len(digests) == 1 and 0 not in digests

        play(use, layout)

    def test_are_complete_at_later_positions_without_a_fetch(self):
        async def use(fleet):
            await start_calmly(fleet)
            for _ in range(5):
                fleet.store.put("notes/1", {})
            await anyio.sleep(CONTACT_S)
            for gateway in fleet.gateways:
                assert gateway.targets.position.revision == fleet.store.revision

        play(use, MANY_BESIDE_TWO_WATCHERS)


class SlowRegistry:
    """A registry whose next answer to a read or a watch is sent when `is_due` is set."""

    def __init__(self, *updates):
        self.updates = list(updates)
        self.is_due = anyio.Event()
        self.watched_after = []

    async def read_targets(self):
        return await self._answer()

    async def watch_targets(self, after, wait_s):
        self.watched_after.append(after)
        return await self._answer()

    async def _answer(self):
        await self.is_due.wait()
        self.is_due = anyio.Event()
        return self.updates.pop(0)


class TestAnswersThatArriveLate:
    def ids_after(self, *updates, answered):
        """Return the ids known after a number of answers, the last of them after a later list."""

        async def run():
            gateway = GatewayHarness(peers=()).gateway
            gateway.targets.is_loaded = False
            registry = SlowRegistry(*updates)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follow_targets, gateway, registry)
                for number in range(answered):
                    await anyio.sleep(CONTACT_S)
                    if number == answered - 1:
                        listed = ListedTargets(9, (make_registration("i-stays"),), digest=3)
                        await apply_target_list(gateway, listed, "peer")
                    registry.is_due.set()
                await anyio.sleep(CONTACT_S)
                tasks.cancel_scope.cancel()
            return gateway.targets.ids(), registry.watched_after

        return run_virtually(run)

    def test_read_that_began_before_a_later_list_was_fetched_adds_nothing(self):
        read = TargetUpdate((make_registration("i-left"),), (), 5, 5, item_revisions={"i-left": 5})
        assert self.ids_after(read, answered=1) == ({"i-stays"}, [5])

    def test_watch_that_began_before_a_later_list_was_fetched_changes_nothing(self):
        read = TargetUpdate((), (), 5, 5)
        watch = TargetUpdate((make_registration("i-left"),), ("i-stays",), 7, 7)
        assert self.ids_after(read, watch, answered=2) == ({"i-stays"}, [5, 7])


class TestUpdatesOfTwoTasks:
    def test_list_is_not_mixed_with_one_that_is_applied_while_connections_close(self):
        async def run():
            gateway = GatewayHarness().gateway
            listed = tuple(map(make_registration, ("i-1", "i-2")))
            for registration in listed:
                gateway.targets.put(registration)

            async def discard_slowly(target_id):
                await anyio.sleep(1.0)

            gateway.connections.discard_target = discard_slowly
            later, earlier = ListedTargets(9, (), digest=9), ListedTargets(8, listed, digest=8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(apply_target_list, gateway, later, "peer")
                await anyio.sleep(0.5)
                tasks.start_soon(apply_target_list, gateway, earlier, "other")
            return gateway.targets

        targets = run_virtually(run)
        assert not targets.ids() and targets.list_state == (0, 9, 9)


class TestPagesThatAreNoSnapshot:
    @pytest.mark.parametrize("listed", [(), (make_registration("i-1"),)], ids=["absent", "ready"])
    def test_later_entry_of_a_read_is_kept_when_a_list_between_is_fetched(self, listed):
        async def run():
            gateway = GatewayHarness().gateway
            # The first page is of revision 100; on the second is an entry written after it.
            entry = make_registration("i-1", draining=True)
            read = TargetUpdate((entry,), (), 100, 102, item_revisions={"i-1": 102}, digest=1)
            await apply_read(gateway, read, has_just_recovered=False)
            revisions = (90,) * len(listed)
            between = ListedTargets(101, listed, item_revisions=revisions, digest=2)
            await apply_target_list(gateway, between, "peer")
            kept = gateway.targets.get("i-1")
            await apply_target_list(gateway, ListedTargets(103, (), digest=3), "peer")
            return kept, gateway.targets.ids()

        kept, after_removal = run_virtually(run)
        assert kept.registration.draining and not after_removal


class TestHealedGateway:
    @pytest.mark.parametrize("is_another_changed", [False, True])
    def test_removal_that_it_takes_for_a_lapse_is_not_undone_at_others(self, is_another_changed):
        async def use(fleet):
            await start_calmly(fleet)
            put(fleet, "i-1")
            await anyio.sleep(CONTACT_S)
            watcher = next(n for n, one in enumerate(fleet.gateways) if one.duty.is_watcher())
            fleet.cut_off(watcher)
            fleet.network.cut(f"10.0.{watcher}.1:2")
            fleet.store.remove("servers/i-1")
            await anyio.sleep(5.5)
            others = [one for n, one in enumerate(fleet.gateways) if n != watcher]
            assert not any("i-1" in used_ids(gateway) for gateway in others)
            fleet.reconnect(watcher)
            fleet.network.heal(f"10.0.{watcher}.1:2")
            for number in range(60):
                if is_another_changed and number < 20:
                    put(fleet, "i-2", capacity=number + 1)
                await anyio.sleep(0.05)
                assert not any("i-1" in used_ids(gateway) for gateway in others)
            assert lines(fleet, "target_gone")[-1]["target"] == "i-1"

        play(use, MANY_BESIDE_TWO_WATCHERS)
