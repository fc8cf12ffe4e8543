"""The version in force in one process, and the rule by which it is replaced."""

from enum import Enum

import anyio

from guavawalk.version.build import build_configuration
from guavawalk.version.documents import VersionDocuments
from guavawalk.version.types import NO_VERSION, Configuration, VersionStamp

__all__ = ["HeldVersion", "Taken", "create_held_version"]


class Taken(Enum):
    """What became of an offered version."""

    IN_FORCE = "in force"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


class HeldVersion:
    """The newest version that this process has taken.

    Notes
    -----
    A version is taken whole or not at all, and never goes back. The same number with another
    digest is a conflict: the held one stays.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.documents: VersionDocuments | None = None
        self._changed = anyio.Event()

    @property
    def stamp(self) -> VersionStamp:
        """Stamp of the version in force; `NO_VERSION` before the first."""
        return self.documents.stamp if self.documents else NO_VERSION

    def judge(self, stamp: VersionStamp) -> Taken:
        """Say what offering a version with this stamp would lead to."""
        if stamp.version < self.stamp.version:
            return Taken.OLDER
        if stamp.version > self.stamp.version:
            return Taken.IN_FORCE
        return Taken.SAME if stamp.digest == self.stamp.digest else Taken.CONFLICT

    def take(self, documents: VersionDocuments) -> Taken:
        """Put a newer version in force.

        Raises
        ------
        ConfigurationError
            If a newer version can't be built; the held one stays.
        """
        verdict = self.judge(documents.stamp)
        if verdict is not Taken.IN_FORCE:
            return verdict
        self.configuration = build_configuration(documents)
        self.documents = documents
        self._changed.set()
        self._changed = anyio.Event()
        return verdict

    async def wait_newer(self, than: int) -> None:
        """Wait until a version above `than` is in force."""
        while self.stamp.version <= than:
            await self._changed.wait()


def create_held_version() -> HeldVersion:
    """Create a holder with no version in force."""
    return HeldVersion()
