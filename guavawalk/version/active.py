"""The version in force in one process, and the rule by which it is replaced."""

from collections import OrderedDict
from collections.abc import Mapping
from enum import Enum

import anyio

from guavawalk.exception import ConfigurationError, DamagedValue
from guavawalk.version.build import BuiltVersion, build_in_steps, build_version
from guavawalk.version.documents import VersionDocuments
from guavawalk.version.shards import ALL_KINDS
from guavawalk.version.types import NO_VERSION, Configuration, VersionStamp

__all__ = ["ActivationResult", "ActiveVersion", "create_active_version"]

REFUSED_ROOTS = 32


class ActivationResult(Enum):
    """What became of an offered version."""

    IN_FORCE = "in force"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"
    REFUSED = "refused"


class ActiveVersion:
    """The newest version that this process has taken.

    Attributes
    ----------
    waiting_peers : int
        Peers that wait here for a newer version.

    Notes
    -----
    A version is taken whole or not at all, and never goes back. The same number with another
    digest is a conflict: the held one stays. A root that could not be built is remembered, so
    that it isn't fetched again.
    """

    def __init__(self, kinds: frozenset[str]) -> None:
        self.waiting_peers = 0
        self.configuration: Configuration | None = None
        self.documents: VersionDocuments | None = None
        self._built: BuiltVersion | None = None
        self._shards: Mapping[str, bytes] = {}
        self._kinds = kinds
        self._refused: OrderedDict[VersionStamp, None] = OrderedDict()
        self._changed = anyio.Event()

    @property
    def stamp(self) -> VersionStamp:
        """Stamp of the version in force; `NO_VERSION` before the first."""
        return self.documents.stamp if self.documents else NO_VERSION

    def shard(self, digest: str) -> bytes | None:
        """Return the bytes of a shard of the version in force."""
        return self._shards.get(digest)

    def evaluate(self, stamp: VersionStamp) -> ActivationResult:
        """Say what offering a version with this stamp would lead to."""
        if stamp.version < self.stamp.version:
            return ActivationResult.OLDER
        if stamp in self._refused:
            return ActivationResult.REFUSED
        if stamp.version > self.stamp.version:
            return ActivationResult.IN_FORCE
        return (
            ActivationResult.SAME
            if stamp.digest == self.stamp.digest
            else ActivationResult.CONFLICT
        )

    def activate(self, documents: VersionDocuments) -> ActivationResult:
        """Put a newer version in force.

        Raises
        ------
        ConfigurationError
            If a newer version can't be built; the held one stays.
        """
        verdict = self.evaluate(documents.stamp)
        if verdict is ActivationResult.IN_FORCE:
            try:
                self._put(documents, build_version(documents, self._built, self._kinds))
            except ConfigurationError as error:
                self._refuse(documents.stamp, error)
                raise
        return verdict

    async def activate_in_steps(self, documents: VersionDocuments) -> ActivationResult:
        """Like `activate`, and let other tasks run while a large version is built."""
        verdict = self.evaluate(documents.stamp)
        if verdict is not ActivationResult.IN_FORCE:
            return verdict
        try:
            built = await self._build(documents)
        except ConfigurationError as error:
            self._refuse(documents.stamp, error)
            raise
        verdict = self.evaluate(documents.stamp)
        if verdict is ActivationResult.IN_FORCE:
            self._put(documents, built)
        return verdict

    async def wait_newer(self, than: int) -> None:
        """Wait until a version above `than` is in force."""
        while self.stamp.version <= than:
            await self._changed.wait()

    async def _build(self, documents: VersionDocuments) -> BuiltVersion:
        steps = build_in_steps(documents, self._built, self._kinds)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                return done.value
            await anyio.lowlevel.checkpoint()

    def _put(self, documents: VersionDocuments, built: BuiltVersion) -> None:
        self.documents = documents
        self.configuration = built.configuration
        self._built = built
        self._shards = dict(zip(built.shards, documents.shards))
        self._changed.set()
        self._changed = anyio.Event()

    def _refuse(self, stamp: VersionStamp, error: ConfigurationError) -> None:
        if isinstance(error, DamagedValue):
            return
        self._refused[stamp] = None
        if len(self._refused) > REFUSED_ROOTS:
            self._refused.popitem(last=False)


def create_active_version(kinds: frozenset[str] = ALL_KINDS) -> ActiveVersion:
    """Create a holder with no version in force.

    Parameters
    ----------
    kinds : frozenset of str
        Kinds of items that this process reads; the bytes of all shards are held in any case.
    """
    return ActiveVersion(kinds)
