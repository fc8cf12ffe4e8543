"""Links over TCP."""

import anyio

from guavawalk.connection.tcp import create_tcp_network


class TestIsOpen:
    def test_end_of_the_other_side_is_seen_without_reading(self):
        async def story():
            over = anyio.Event()

            async def handler(link):
                await over.wait()

            network = create_tcp_network(lambda: 0)
            async with anyio.create_task_group() as tasks:
                link = await network.connect(
                    await tasks.start(network.serve, "127.0.0.1:0", handler)
                )
                before = link.is_open()
                over.set()
                with anyio.fail_after(5):
                    while link.is_open():
                        await anyio.sleep(0.01)
                await link.aclose()
                tasks.cancel_scope.cancel()
            return before

        assert anyio.run(story)
