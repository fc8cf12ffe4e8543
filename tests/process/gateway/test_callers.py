"""Connections of callers that give way to new ones."""

import anyio

from guavawalk.process.gateway.callers import MIN_IDLE_S, create_caller_tracker
from tests.virtual import run_virtually


class TestIdle:
    def test_new_connection_is_kept_while_a_longer_idle_one_is_closed(self):
        async def scenario():
            callers, ended = create_caller_tracker(), []

            async def wait(name):
                with callers.connection(name), callers.idle(name, lambda: False):
                    await anyio.sleep_forever()
                ended.append(name)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait, "old")
                await anyio.sleep(MIN_IDLE_S)
                tasks.start_soon(wait, "new")
                await anyio.sleep(MIN_IDLE_S / 2)
                found = [callers.close_longest_idle(MIN_IDLE_S) for _ in range(2)]
                await anyio.sleep(MIN_IDLE_S / 4)
                assert (found, ended) == ([True, False], ["old"])
                assert callers.close_longest_idle()

        run_virtually(scenario)
