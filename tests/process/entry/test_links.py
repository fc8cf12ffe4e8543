import anyio

from guavawalk.process.clock import create_clock
from guavawalk.process.entry import links
from guavawalk.process.entry.links import MAX_OPENING_LINKS_PER_ADDRESS, create_link_pool
from tests.gateway_standins import run_with_timeout


class SlowNetwork:
    """A network whose links open when `can_open` is set."""

    def __init__(self):
        self.opening = 0
        self.can_open = anyio.Event()

    async def connect(self, address):
        self.opening += 1
        await self.can_open.wait()
        return OpenLink()


class OpenLink:
    def is_open(self):
        return True


class TestLinkPool:
    def test_requests_beyond_the_links_that_open_at_once_wait(self, monkeypatch):
        async def no_handshake(link, identity):
            return None

        async def run():
            network, acquired = SlowNetwork(), []
            pool = create_link_pool(network, None, create_clock())

            async def use():
                link = await pool.acquire("10.0.0.1:1")
                acquired.append(link)
                await pool.release("10.0.0.1:1", link)

            async with anyio.create_task_group() as requests:
                for _ in range(3 * MAX_OPENING_LINKS_PER_ADDRESS):
                    requests.start_soon(use)
                await anyio.sleep(0.05)
                opening = network.opening
                network.can_open.set()
            return opening, network.opening, len(acquired)

        monkeypatch.setattr(links, "perform_handshake", no_handshake)
        limit = MAX_OPENING_LINKS_PER_ADDRESS
        # Requests that waited use the links that the first ones have released.
        assert run_with_timeout(run) == (limit, limit, 3 * limit)
