"""Links over TCP."""

import anyio

from guavawalk.connection.tcp import create_tcp_network


class TestIsOpen:
    def test_close_by_the_other_end_is_seen_without_receiving(self):
        async def scenario():
            closing = anyio.Event()

            async def handler(link):
                await closing.wait()

            network = create_tcp_network(lambda: 0)
            async with anyio.create_task_group() as tasks:
                link = await network.connect(
                    await tasks.start(network.serve, "127.0.0.1:0", handler)
                )
                was_open = link.is_open()
                closing.set()
                with anyio.fail_after(5):
                    while link.is_open():
                        await anyio.sleep(0.01)
                await link.aclose()
                tasks.cancel_scope.cancel()
            return was_open

        assert anyio.run(scenario)
