"""Tests the HTTP clients of daemons against the stand-ins of the platform and the engine."""

import anyio

from guavawalk.connection.http_target import create_http_engine
from guavawalk.connection.platform import Instance, create_http_platform
from guavawalk.connection.target import EngineOrder, EngineState
from guavawalk.process.http_server import serve_asgi
from guavawalk.tools.standins.engine import create_engine_app
from guavawalk.tools.standins.engine_model import EngineSpeed, create_engine_model
from guavawalk.tools.standins.platform import PlatformState, create_platform_app

FREE = "127.0.0.1:0"


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            found = await scenario(tasks)
            tasks.cancel_scope.cancel()
        return found

    return anyio.run(run)


class TestInstanceList:
    def test_instances_are_read_from_the_platform(self):
        async def scenario(tasks):
            books = PlatformState()
            row = {"name": "e", "role": "entry", "address": "10.0.0.1:7", "data_centre": "a"}
            books.instances = [row, {**row, "leaving": True}]
            address = await tasks.start(serve_asgi, create_platform_app(books), FREE)
            return await create_http_platform(f"http://{address}").instances()

        one = Instance("e", "entry", "10.0.0.1:7", "a")
        assert run_scenario(scenario) == (one, one._replace(leaving=True))


class TestEngineState:
    def test_order_changes_the_state_that_is_read(self):
        async def scenario(tasks):
            model = create_engine_model(EngineSpeed())
            app = create_engine_app(model, tasks, ("quill",))
            engine = create_http_engine(f"http://{await tasks.start(serve_asgi, app, FREE)}")
            before = await engine.state()
            await engine.order(EngineOrder("load_model", "brush", (3, 1)))
            return before, await engine.state()

        before, after = run_scenario(scenario)
        assert before == EngineState(("quill",), (), "mixed")
        assert after == EngineState(("brush", "quill"), (), "mixed", (3, 1))
