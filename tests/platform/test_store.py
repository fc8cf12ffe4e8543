import anyio
import pytest

from guavawalk.exception import HistoryGone, PlatformUnavailable
from guavawalk.platform.store import create_store
from soak.standins import StandInStore, listen
from tests.gateway_standins import run_story
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW


def with_store(use, **documents):
    """Run a test against a store that holds documents by key."""

    async def run():
        stand_in = StandInStore()
        for key, document in documents.items():
            stand_in.put(key.replace("__", "/"), document)
        listener, address = await listen(stand_in.serve)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, stand_in.serve)
            store = create_store(address)
            found = await use(store, stand_in)
            await store.aclose()
            tasks.cancel_scope.cancel()
        return found

    return run_story(run)


class TestRoutes:
    def test_read(self):
        async def use(store, stand_in):
            return await store.read_routes()

        news = with_store(use, op__config=DOCUMENT)
        assert (news.table.version, news.as_of) == (7, 103)

    def test_none_published(self):
        async def use(store, stand_in):
            return await store.read_routes()

        assert with_store(use).table is None

    def test_watch_gives_the_newest_of_several(self):
        async def use(store, stand_in):
            as_of = (await store.read_routes()).as_of
            stand_in.put("op/config", {**DOCUMENT, "version": 9})
            stand_in.put("op/config", {**DOCUMENT, "version": 12})
            return await store.watch_routes(as_of, 1.0)

        assert with_store(use, op__config=DOCUMENT).table.version == 12

    def test_watch_waits(self):
        async def use(store, stand_in):
            found = []

            async def watch():
                found.append(await store.watch_routes(103, 5.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.05)
                assert not found
                stand_in.put("op/config", {**DOCUMENT, "version": 9})
            return found[0]

        assert with_store(use, op__config=DOCUMENT).table.version == 9

    def test_watch_without_news(self):
        async def use(store, stand_in):
            return await store.watch_routes(103, 0.02)

        news = with_store(use, op__config=DOCUMENT)
        assert news.table is None and news.as_of == 103

    def test_unreadable_configuration_is_told(self):
        async def use(store, stand_in):
            return await store.read_routes()

        news = with_store(use, op__config=b"{")
        assert news.table is None and news.problems


class TestTargets:
    def test_pages(self):
        async def use(store, stand_in):
            return await store.read_targets()

        entries = {f"servers__i-{n}": ROW for n in range(5)}
        news = with_store(use, **entries, op__config=DOCUMENT)
        assert [found.target_id for found in news.registered] == [f"i-{n}" for n in range(5)]

    def test_malformed_entries_name_no_target_and_the_others_hold(self):
        async def use(store, stand_in):
            return await store.read_targets()

        news = with_store(use, **{"servers__i-1": b"\xff\x00", "servers__i-2": ROW})
        assert [found.target_id for found in news.registered] == ["i-2"]
        assert news.removed == ("i-1",) and len(news.problems) == 1

    def test_watch_tells_what_came_and_went_last(self):
        async def use(store, stand_in):
            stand_in.remove("servers/i-1")
            stand_in.put("servers/i-2", {**ROW, "state": "draining"})
            stand_in.put("servers/i-3", ROW)
            stand_in.remove("servers/i-3")
            return await store.watch_targets(106, 1.0)

        news = with_store(use, **{"servers__i-1": ROW, "servers__i-2": ROW})
        assert [(found.target_id, found.draining) for found in news.registered] == [("i-2", True)]
        assert set(news.removed) == {"i-1", "i-3"}
        assert news.last_change == news.as_of


class TestTrouble:
    @pytest.mark.parametrize("status", [429, 500, 503])
    def test_refused_calls(self, status):
        async def use(store, stand_in):
            stand_in.failing = status
            with pytest.raises(PlatformUnavailable, match=str(status)):
                await store.read_routes()
            stand_in.failing = 0
            return await store.read_routes()

        assert with_store(use, op__config=DOCUMENT).table.version == 7

    def test_history_that_is_gone(self):
        async def use(store, stand_in):
            stand_in.forget_history()
            with pytest.raises(HistoryGone):
                await store.watch_targets(0, 1.0)

        with_store(use, op__config=DOCUMENT)

    def test_nobody_there(self):
        async def use():
            with pytest.raises(PlatformUnavailable):
                await create_store("127.0.0.1:9").read_targets()

        run_story(use)

    def test_silence(self):
        async def use():
            async def swallow(stream):
                await anyio.sleep_forever()

            listener, address = await listen(swallow)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, swallow)
                with pytest.raises(PlatformUnavailable, match="no answer"):
                    await create_store(address).read_routes()
                tasks.cancel_scope.cancel()

        run_story(use)
