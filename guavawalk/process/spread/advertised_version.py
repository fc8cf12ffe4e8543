"""The highest version that any message has named."""

import anyio

__all__ = ["AdvertisedVersion", "create_advertised_version"]


class AdvertisedVersion:
    """A version that a peer has, and where that peer takes links."""

    def __init__(self) -> None:
        self.version = 0
        self.address = ""
        self._posted = anyio.Event()

    def record(self, version: int, address: str) -> None:
        """Note a version that a peer has."""
        if version <= self.version or not address:
            return
        self.version = version
        self.address = address
        self._posted.set()
        self._posted = anyio.Event()

    def clear(self) -> None:
        """Drop the update, since the version could not be had from there."""
        self.version = 0

    async def wait_above(self, version: int) -> None:
        """Wait until a higher version has been named."""
        while self.version <= version:
            await self._posted.wait()


def create_advertised_version() -> AdvertisedVersion:
    """Create a table without updates."""
    return AdvertisedVersion()
