"""Pools the links of an entry to sidecars for reuse."""

from collections import deque
from typing import NamedTuple

import anyio

from guavawalk.connection.handshake import Identity, perform_handshake
from guavawalk.connection.link import Link, Network
from guavawalk.exception import LinkBroken, LinkRefused, RequestError
from guavawalk.process.clock import Clock

__all__ = ["LinkPool", "create_link_pool"]

IDLE_LIMIT_S = 20.0
MAX_IDLE_LINKS_PER_ADDRESS = 64
# Requests beyond wait for a link. A sidecar that accepts no more would otherwise have a descriptor
# of this process for each of them until the handshake times out.
MAX_OPENING_LINKS_PER_ADDRESS = 32


class IdleLink(NamedTuple):
    """A link without an exchange under way, and since when, in seconds of the pool's clock."""

    link: Link
    idle_since_s: float


class LinkPool:
    """Idle links by address; each link carries one exchange at a time."""

    def __init__(self, network: Network, identity: Identity, clock: Clock) -> None:
        self._network = network
        self._identity = identity
        self._clock = clock
        self._idle: dict[str, deque[IdleLink]] = {}
        self._opening: dict[str, anyio.CapacityLimiter] = {}

    async def acquire(self, address: str) -> Link:
        """Return an idle link, or a new one after its handshake.

        At most `MAX_OPENING_LINKS_PER_ADDRESS` links are opened at once.

        Raises
        ------
        LinkRefused
            If the connection or the handshake failed; nothing after the handshake was sent.
        """
        if (link := await self._take_idle(address)) is not None:
            return link
        if address not in self._opening:
            self._opening[address] = anyio.CapacityLimiter(MAX_OPENING_LINKS_PER_ADDRESS)
        async with self._opening[address]:
            # One may have been released meanwhile.
            return await self._take_idle(address) or await self.open(address)

    async def _take_idle(self, address: str) -> Link | None:
        while idle := self._idle.get(address):
            link, idle_since_s = idle.pop()
            if link.is_open() and self._clock.now_s() - idle_since_s < IDLE_LIMIT_S:
                return link
            await link.aclose()
        return None

    async def open(self, address: str) -> Link:
        """Return a new link after its handshake.

        Raises
        ------
        LinkRefused
            If the connection or the handshake failed.
        """
        link = await self._network.connect(address)
        try:
            await perform_handshake(link, self._identity)
        except (LinkBroken, RequestError) as error:
            await link.aclose()
            raise LinkRefused(f"{address}: {error}") from error
        return link

    async def release(self, address: str, link: Link) -> None:
        """Return a link to the pool after its exchange, or close it if the pool is full."""
        idle = self._idle.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_LINKS_PER_ADDRESS:
            await link.aclose()
            return
        idle.append(IdleLink(link, self._clock.now_s()))

    async def close_idle(self, older_than_s: float = IDLE_LIMIT_S) -> None:
        """Close the links that have been idle for at least `older_than_s`; 0 closes all."""
        now_s = self._clock.now_s()
        for address, opening in list(self._opening.items()):
            if not opening.borrowed_tokens:
                del self._opening[address]
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].idle_since_s >= older_than_s:
                await idle.popleft().link.aclose()
            if not idle:
                self._idle.pop(address, None)


def create_link_pool(network: Network, identity: Identity, clock: Clock) -> LinkPool:
    """Create an empty pool."""
    return LinkPool(network, identity, clock)
