import socket
from contextlib import asynccontextmanager
from functools import partial

import anyio
import pytest
import uvloop

from guavawalk.connection.socket_stream import create_listener, create_stream

# More than the kernel holds for one connection.
MUCH = b"x" * (16 * 1024 * 1024)


@pytest.fixture(params=["asyncio", "uvloop", "trio"])
def run(request):
    """Return a function that runs a scenario with each event loop."""
    backend = "trio" if request.param == "trio" else "asyncio"
    loops = {"uvloop": {"loop_factory": uvloop.new_event_loop}}
    options = loops.get(request.param, {})

    def run_scenario(scenario):
        async def timed():
            with anyio.fail_after(10):
                await scenario()

        anyio.run(timed, backend=backend, backend_options=options)

    return run_scenario


def connect(listener):
    raw = socket.create_connection(listener.extra(anyio.abc.SocketAttribute.local_address))
    return create_stream(raw)


@asynccontextmanager
async def stream_pair():
    """Yield both ends of a connection."""
    listener = create_listener("127.0.0.1", 0, 8)
    near = connect(listener)
    far = await listener.accept()
    async with listener, near, far:
        yield near, far


class TestTcpStream:
    def test_bytes_arrive_in_order_up_to_the_end(self, run):
        async def scenario():
            async with stream_pair() as (near, far), anyio.create_task_group() as tasks:

                async def send():
                    await near.send(MUCH)
                    await near.send_eof()

                tasks.start_soon(send)
                received = 0
                with pytest.raises(anyio.EndOfStream):
                    while True:
                        received += len(await far.receive())
                assert received == len(MUCH)

        run(scenario)

    def test_sender_without_a_receiver_waits(self, run):
        async def scenario():
            async with stream_pair() as (near, far):
                await far.send(b"a")
                assert await near.receive() == b"a"
                with anyio.move_on_after(0.2) as scope:
                    await near.send(MUCH)
                assert scope.cancelled_caught

        run(scenario)

    def test_cancelled_receive_loses_nothing(self, run):
        async def scenario():
            async with stream_pair() as (near, far), anyio.create_task_group() as tasks:

                async def send_slowly():
                    for number in range(200):
                        await near.send(bytes([number]))
                        await anyio.sleep(0.001)

                tasks.start_soon(send_slowly)
                received = b""
                while len(received) < 200:
                    with anyio.move_on_after(0.001):
                        received += await far.receive(1)
                assert received == bytes(range(200))

        run(scenario)

    def test_close_ends_a_waiting_receive(self, run):
        async def scenario():
            async with stream_pair() as (near, _), anyio.create_task_group() as tasks:

                async def receive():
                    with pytest.raises(anyio.ClosedResourceError):
                        await near.receive()

                tasks.start_soon(receive)
                await anyio.sleep(0.05)
                await near.aclose()
            with pytest.raises(anyio.ClosedResourceError):
                await near.send(b"a")

        run(scenario)

    def test_reset_is_raised_with_its_cause(self, run):
        async def scenario():
            async with stream_pair() as (near, far):
                await near.send(b"unread")
                await anyio.sleep(0.05)
                # Closing with unread bytes resets the connection.
                await far.aclose()
                with pytest.raises(anyio.BrokenResourceError) as raised:
                    await near.receive()
                assert isinstance(raised.value.__cause__, ConnectionResetError)

        run(scenario)


class TestTcpListener:
    def test_each_connection_is_served_until_the_listener_closes(self, run):
        async def scenario():
            listener = create_listener("127.0.0.1", 0, 8)

            async def echo(stream):
                async with stream:
                    await stream.send(await stream.receive())

            async def serve(tasks):
                with pytest.raises(anyio.ClosedResourceError):
                    await listener.serve(echo, tasks)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(partial(serve, tasks))
                for number in range(3):
                    async with connect(listener) as stream:
                        await stream.send(b"%d" % number)
                        assert await stream.receive() == b"%d" % number
                await listener.aclose()

        run(scenario)

    def test_taken_address_raises(self, run):
        async def scenario():
            async with create_listener("127.0.0.1", 0, 8) as listener:
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                with pytest.raises(OSError):
                    create_listener("127.0.0.1", port, 8)

        run(scenario)
