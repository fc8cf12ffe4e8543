import anyio
import pytest

from guavawalk.exception import HistoryGone, PlatformUnavailable
from guavawalk.platform.store import create_store
from soak.standins import StandInStore, listen
from tests.gateway_standins import run_with_timeout
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW


def with_store(scenario, **documents):
    """Run a scenario with a client of a store that holds documents by key."""

    async def run():
        stand_in = StandInStore()
        for key, document in documents.items():
            stand_in.put(key.replace("__", "/"), document)
        listener, address = await listen(stand_in.serve)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, stand_in.serve)
            store = create_store(address)
            found = await scenario(store, stand_in)
            await store.aclose()
            tasks.cancel_scope.cancel()
        return found

    return run_with_timeout(run)


class TestRoutes:
    def test_reads_the_configuration(self):
        async def scenario(store, stand_in):
            return await store.read_routes()

        update = with_store(scenario, op__config=DOCUMENT)
        assert (update.table.version, update.as_of) == (7, 103)

    def test_no_table_if_none_is_published(self):
        async def scenario(store, stand_in):
            return await store.read_routes()

        assert with_store(scenario).table is None

    def test_watch_returns_the_newest_of_several(self):
        async def scenario(store, stand_in):
            as_of = (await store.read_routes()).as_of
            stand_in.put("op/config", {**DOCUMENT, "version": 9})
            stand_in.put("op/config", {**DOCUMENT, "version": 12})
            return await store.watch_routes(as_of, 1.0)

        assert with_store(scenario, op__config=DOCUMENT).table.version == 12

    def test_watch_waits_for_a_change(self):
        async def scenario(store, stand_in):
            found = []

            async def watch():
                found.append(await store.watch_routes(103, 5.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.05)
                assert not found
                stand_in.put("op/config", {**DOCUMENT, "version": 9})
            return found[0]

        assert with_store(scenario, op__config=DOCUMENT).table.version == 9

    def test_watch_without_a_change_returns_no_table(self):
        async def scenario(store, stand_in):
            return await store.watch_routes(103, 0.02)

        update = with_store(scenario, op__config=DOCUMENT)
        assert update.table is None and update.as_of == 103

    def test_invalid_configuration_is_reported_as_a_problem(self):
        async def scenario(store, stand_in):
            return await store.read_routes()

        update = with_store(scenario, op__config=b"{")
        assert update.table is None and update.problems


class TestTargets:
    def test_reads_all_pages(self):
        async def scenario(store, stand_in):
            return await store.read_targets()

        entries = {f"servers__i-{n}": ROW for n in range(5)}
        update = with_store(scenario, **entries, op__config=DOCUMENT)
        assert [found.target_id for found in update.registered] == [f"i-{n}" for n in range(5)]

    def test_malformed_entry_counts_as_removed_and_others_are_kept(self):
        async def scenario(store, stand_in):
            return await store.read_targets()

        update = with_store(scenario, **{"servers__i-1": b"\xff\x00", "servers__i-2": ROW})
        assert [found.target_id for found in update.registered] == ["i-2"]
        assert update.removed == ("i-1",) and len(update.problems) == 1

    def test_watch_returns_the_last_change_of_each_target(self):
        async def scenario(store, stand_in):
            stand_in.remove("servers/i-1")
            stand_in.put("servers/i-2", {**ROW, "state": "draining"})
            stand_in.put("servers/i-3", ROW)
            stand_in.remove("servers/i-3")
            return await store.watch_targets(106, 1.0)

        update = with_store(scenario, **{"servers__i-1": ROW, "servers__i-2": ROW})
        assert [(found.target_id, found.draining) for found in update.registered] == [("i-2", True)]
        assert set(update.removed) == {"i-1", "i-3"}
        assert update.last_change == update.as_of


class TestErrors:
    @pytest.mark.parametrize("status", [429, 500, 503])
    def test_error_status_raises_and_the_next_call_works(self, status):
        async def scenario(store, stand_in):
            stand_in.failure_status = status
            with pytest.raises(PlatformUnavailable, match=str(status)):
                await store.read_routes()
            stand_in.failure_status = 0
            return await store.read_routes()

        assert with_store(scenario, op__config=DOCUMENT).table.version == 7

    def test_watch_after_a_revision_that_is_gone_raises(self):
        async def scenario(store, stand_in):
            stand_in.forget_history()
            with pytest.raises(HistoryGone):
                await store.watch_targets(0, 1.0)

        with_store(scenario, op__config=DOCUMENT)

    def test_refused_connection_raises(self):
        async def scenario():
            with pytest.raises(PlatformUnavailable):
                await create_store("127.0.0.1:9").read_targets()

        run_with_timeout(scenario)

    def test_no_answer_in_time_raises(self):
        async def scenario():
            async def never_answer(stream):
                await anyio.sleep_forever()

            listener, address = await listen(never_answer)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, never_answer)
                with pytest.raises(PlatformUnavailable, match="no answer"):
                    await create_store(address).read_routes()
                tasks.cancel_scope.cancel()

        run_with_timeout(scenario)
