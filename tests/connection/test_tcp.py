"""Links over TCP."""

import ssl

import anyio
import pytest

from guavawalk.connection import tcp
from guavawalk.connection.messages import Chunk, LoadRequest
from guavawalk.connection.tcp import create_tcp_network
from guavawalk.exception import LinkBroken

# More than the kernel holds for one connection.
MAX_SENT_BYTES = 32 * 1024 * 1024


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


class TestAcceptedLink:
    def test_bytes_that_its_handler_does_not_receive_are_not_read(self):
        async def scenario():
            async def handler(link):
                await anyio.sleep_forever()

            sent = 0
            network = create_tcp_network(lambda: 0)
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", handler)
                host, port = address.split(":")
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    with anyio.move_on_after(1.0):
                        while sent < MAX_SENT_BYTES:
                            await stream.send(bytes(65_536))
                            sent += 65_536
                tasks.cancel_scope.cancel()
            return sent

        assert anyio.run(scenario) < MAX_SENT_BYTES


class TestOpeningLinks:
    def test_new_link_replaces_the_oldest_without_a_handshake(self, monkeypatch):
        async def scenario():
            async def handler(link):
                if await link.receive():
                    link.session_id = b"s"
                await anyio.sleep_forever()

            network = create_tcp_network(lambda: 0)
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", handler)
                opened = await network.connect(address)
                await opened.send(LoadRequest())
                await anyio.sleep(0.05)
                silent = [await network.connect(address) for _ in range(3)]
                with anyio.fail_after(5):
                    while silent[0].is_open():
                        await anyio.sleep(0.01)
                assert opened.is_open() and silent[1].is_open() and silent[2].is_open()
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(tcp, "MAX_OPENING_LINKS", 2)
        anyio.run(scenario)

    def test_new_connection_replaces_the_oldest_without_a_tls_handshake(self, monkeypatch):
        async def scenario():
            async def handler(link):
                await anyio.sleep_forever()

            network = create_tcp_network(lambda: 0, ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", handler)
                host, port = address.split(":")
                silent = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
                with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
                    await silent[0].receive()
                tasks.cancel_scope.cancel()

        monkeypatch.setattr(tcp, "MAX_OPENING_LINKS", 2)
        anyio.run(scenario)

    def test_failed_tls_handshake_breaks_the_link_and_logs_no_traceback(self, caplog):
        async def scenario():
            found = []

            async def handler(link):
                with pytest.raises(LinkBroken):
                    await link.receive()
                found.append(link)

            network = create_tcp_network(lambda: 0, ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", handler)
                host, port = address.split(":")
                for _ in range(2):
                    stream = await anyio.connect_tcp(host, int(port))
                    await stream.send(b"GET / HTTP/1.1\r\n\r\n")
                with anyio.fail_after(5):
                    while len(found) < 2:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        assert not caplog.records

    def test_long_message_before_the_handshake_breaks_the_link(self):
        async def scenario():
            found = []

            async def handler(link):
                try:
                    await link.receive()
                except LinkBroken as error:
                    found.append(str(error))

            network = create_tcp_network(lambda: 0)
            async with anyio.create_task_group() as tasks:
                link = await network.connect(
                    await tasks.start(network.serve, "127.0.0.1:0", handler)
                )
                await link.send(Chunk("a", 0, bytes(tcp.MAX_HANDSHAKE_FRAME_BYTES)))
                while not found:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            return found[0]

        assert "over the limit" in anyio.run(scenario)
