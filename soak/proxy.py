"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

from enum import Enum

import anyio

from guavawalk.connection.address import split_address
from soak.standins import listen

__all__ = ["LinkFault", "Proxy"]

READ_BYTES = 65_536
DELAY_S = 0.15
_BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class LinkFault(Enum):
    """What a link does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_ANSWERS = "cut answers"
    SILENCE = "silence"


class Proxy:
    """One link to an address behind it.

    Attributes
    ----------
    address : str
        Where it listens.
    """

    def __init__(self, behind: str) -> None:
        self.behind = behind
        self.address = ""
        self._fault = LinkFault.NONE
        self._healed = anyio.Event()
        self._streams: set[anyio.abc.SocketStream] = set()

    async def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen, and pass connections on in tasks of a group."""
        listener, self.address = await listen(self._pass)
        tasks.start_soon(listener.serve, self._pass)

    async def fail(self, fault: LinkFault) -> None:
        """Begin a fault, or end it with `NONE`."""
        self._fault = fault
        if fault is LinkFault.RESET:
            for stream in list(self._streams):
                await anyio.aclose_forcefully(stream)
        if fault is LinkFault.NONE:
            self._healed.set()
            self._healed = anyio.Event()

    async def _pass(self, caller) -> None:
        host, port = split_address(self.behind)
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
                data = await source.receive(READ_BYTES)
                await self._suffer(is_answer)
                await sink.send(data)
        except _BROKEN:
            # One side has closed; so does the other, as between two machines.
            await anyio.aclose_forcefully(sink)

    async def _suffer(self, is_answer: bool) -> None:
        if self._fault is LinkFault.DELAY:
            await anyio.sleep(DELAY_S)
        while self._fault is LinkFault.SILENCE or (
            self._fault is LinkFault.CUT_ANSWERS and is_answer
        ):
            await self._healed.wait()
