"""Opening connections over TCP."""

import socket
import time

import anyio
import pytest

from guavawalk.connection.streams import open_stream
from guavawalk.exception import TargetConnectError
from guavawalk.process.event_loop import run_tasks

TIMEOUT_S = 0.05


def run_on_each_loop(function):
    """Run an async function on the event loop of the daemons, and on asyncio's own."""
    run_tasks(function)
    anyio.run(function)


class TestOpenStream:
    def test_connection_made_while_the_process_was_stopped_is_used(self):
        async def scenario():
            listener = socket.create_server(("127.0.0.1", 0))
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            opened = []

            async def connect():
                opened.append(await open_stream(address, TIMEOUT_S))

            async def stop_process():
                time.sleep(2 * TIMEOUT_S)

            with listener:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(connect)
                    tasks.start_soon(stop_process)
                await opened[0].send(b"x")
                await opened[0].aclose()

        run_on_each_loop(scenario)

    def test_refused_connection(self):
        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = f"127.0.0.1:{listener.getsockname()[1]}"
            with pytest.raises(TargetConnectError):
                await open_stream(address)

        run_on_each_loop(scenario)

    def test_time_out(self):
        async def scenario():
            with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
                address = listener.getsockname()
                # Connections beyond the backlog get no answer from the kernel.
                waiting = [socket.socket() for _ in range(4)]
                for raw in waiting:
                    raw.setblocking(False)
                    raw.connect_ex(address)
                with pytest.raises(TargetConnectError, match="TimeoutError"):
                    await open_stream(f"127.0.0.1:{address[1]}", TIMEOUT_S)
                for raw in waiting:
                    raw.close()

        run_on_each_loop(scenario)
