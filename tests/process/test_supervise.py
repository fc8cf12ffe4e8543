"""Errors that must not end a process."""

import anyio
import pytest

from guavawalk.connection.tasks.gossip import receive_reports
from guavawalk.process.gateway.centres import SUMMARY_TAG
from guavawalk.process.supervise import run_restarting, serve_guarded
from soak.standins import listen
from tests.gateway_standins import GatewayHarness, ListLog, run_with_timeout


class FailingListener:
    """A listener that fails to accept before it serves as another one does."""

    def __init__(self, listener, errors):
        self._listener = listener
        self._errors = list(errors)

    async def serve(self, serve, task_group=None):
        if self._errors:
            raise self._errors.pop(0)
        await self._listener.serve(serve, task_group)


async def echo(stream):
    async with stream:
        data = await stream.receive()
        if data == b"fail":
            raise ValueError("unexpected")
        await stream.send(data)


class TestServeGuarded:
    def test_errors_of_accepting_and_serving_end_no_other_connection(self):
        async def scenario():
            log = ListLog()
            listener, address = await listen(echo)
            host, port = address.split(":")
            errors = (OSError(24, "Too many open files"), ConnectionAbortedError())
            failing = FailingListener(listener, errors)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve_guarded, log, "test", failing, echo)
                other = await anyio.connect_tcp(host, int(port))
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b"fail")
                    with pytest.raises(anyio.EndOfStream):
                        await stream.receive()
                await other.send(b"x")
                assert await other.receive() == b"x"
                await other.aclose()
                tasks.cancel_scope.cancel()
            assert [line["task"] for line in log.named("task_failed")] == [
                "test listener",
                "test listener",
                "test",
            ]

        run_with_timeout(scenario)


class FailingSocket:
    """A datagram socket that fails once, and then delivers datagrams."""

    def __init__(self, datagrams):
        self._datagrams = list(datagrams)
        self._has_failed = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        if not self._has_failed:
            self._has_failed = True
            raise OSError("network is down")
        if self._datagrams:
            return self._datagrams.pop(0), ("127.0.0.1", 9)
        return await anyio.sleep_forever()


class TestReceiveReports:
    def test_malformed_datagrams_and_errors_end_no_task_for_good(self):
        datagrams = [
            b"",
            SUMMARY_TAG,
            SUMMARY_TAG + b"\x93\x01",
            b"\x9f" + bytes(40),
            b"\xdd\xff\xff\xff\xff",
        ]

        async def scenario():
            harness = GatewayHarness()
            socket = FailingSocket(datagrams)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    run_restarting,
                    harness.log,
                    "receive reports",
                    lambda: receive_reports(harness.gateway, socket),
                )
                while len(harness.log.named("link_rejected")) < len(datagrams):
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            assert len(harness.log.named("task_failed")) == 1

        run_with_timeout(scenario)
