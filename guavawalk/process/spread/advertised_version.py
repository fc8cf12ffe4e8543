"""Keeps the highest version that a peer has advertised."""

import anyio

__all__ = ["AdvertisedVersion", "create_advertised_version"]


class AdvertisedVersion:
    """The highest advertised version, 0 if there is none, and the address of its peer."""

    def __init__(self) -> None:
        self.version = 0
        self.address = ""
        self._updated = anyio.Event()

    def record(self, version: int, address: str) -> None:
        """Record a peer's version; one that isn't the highest or has no address is ignored."""
        if version <= self.version or not address:
            return
        self.version = version
        self.address = address
        self._updated.set()
        self._updated = anyio.Event()

    def forget(self) -> None:
        """Reset the version to 0, since it could not be fetched from the peer."""
        self.version = 0

    async def wait_above(self, version: int) -> None:
        """Wait until a version higher than `version` is advertised."""
        while self.version <= version:
            await self._updated.wait()


def create_advertised_version() -> AdvertisedVersion:
    """Create a record without an advertised version."""
    return AdvertisedVersion()
