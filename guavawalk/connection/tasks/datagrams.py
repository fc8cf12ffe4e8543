"""Sends datagrams to other gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from anyio.abc import UDPSocket

from guavawalk import events
from guavawalk.connection.address import split_address

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["send_datagram"]


async def send_datagram(
    gateway: Gateway, socket: UDPSocket, data: bytes, addresses: Iterable[str]
) -> None:
    """Send one datagram to each address; an address that can't be sent to is logged."""
    # Several tasks send, and the socket serves one at a time.
    async with gateway.peers.send_lock:
        for address in addresses:
            try:
                await socket.sendto(data, *split_address(address))
            except (OSError, ValueError, OverflowError) as error:
                gateway.log.emit(events.PEER_UNREACHABLE, peer=address, reason=str(error))
