"""A loopback proxy that can delay or reset its connections, or block one or both directions."""

from enum import Enum

import anyio

from guavawalk.connection.address import split_address
from soak.standins import listen

__all__ = ["LinkFault", "Proxy"]

MAX_READ_BYTES = 65_536
DELAY_S = 0.15
_CLOSED_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class LinkFault(Enum):
    """Fault that a proxy applies to all its connections.

    `DELAY` delays each read by `DELAY_S`. `RESET` closes the open connections once; new ones are
    not affected. `CUT_ANSWERS` holds back the data from the server, `SILENCE` that of both sides,
    until the fault ends.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_ANSWERS = "cut answers"
    SILENCE = "silence"


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    server_address : str
        Address to which connections are forwarded.
    address : str
        Address on which it listens; empty until `serve` is called.
    """

    def __init__(self, server_address: str) -> None:
        self.server_address = server_address
        self.address = ""
        self._fault = LinkFault.NONE
        self._fault_ended = anyio.Event()
        self._streams: set[anyio.abc.SocketStream] = set()

    async def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen, and forward connections in tasks of the group."""
        listener, self.address = await listen(self._forward)
        tasks.start_soon(listener.serve, self._forward)

    async def set_fault(self, fault: LinkFault) -> None:
        """Start a fault; `NONE` ends it."""
        self._fault = fault
        if fault is LinkFault.RESET:
            for stream in list(self._streams):
                await anyio.aclose_forcefully(stream)
        if fault is LinkFault.NONE:
            self._fault_ended.set()
            self._fault_ended = anyio.Event()

    async def _forward(self, caller) -> None:
        host, port = split_address(self.server_address)
        try:
            server = await anyio.connect_tcp(host, port)
        except OSError:
            await anyio.aclose_forcefully(caller)
            return
        self._streams |= {caller, server}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, caller, server, False)
                tasks.start_soon(self._copy, server, caller, True)
        finally:
            self._streams -= {caller, server}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(caller)
                await anyio.aclose_forcefully(server)

    async def _copy(self, source, sink, is_answer: bool) -> None:
        try:
            while True:
                data = await source.receive(MAX_READ_BYTES)
                await self._apply_fault(is_answer)
                await sink.send(data)
        except _CLOSED_ERRORS:
            # The close of one side is forwarded to the other.
            await anyio.aclose_forcefully(sink)

    async def _apply_fault(self, is_answer: bool) -> None:
        if self._fault is LinkFault.DELAY:
            await anyio.sleep(DELAY_S)
        while self._fault is LinkFault.SILENCE or (
            self._fault is LinkFault.CUT_ANSWERS and is_answer
        ):
            await self._fault_ended.wait()
