"""Holds the version of the configuration in force in one process and replaces it by newer ones."""

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

# Number of invalid versions whose stamps are remembered; the oldest is evicted.
MAX_REFUSED_STAMPS = 32


class ActivationResult(Enum):
    """Result of offering a version to a process.

    `IN_FORCE`: it is newer and replaces the active one. `SAME`: it is the active one. `OLDER`: its
    number is lower. `CONFLICT`: the active one has the same number and another digest. `REFUSED`:
    an earlier attempt to build it failed.
    """

    IN_FORCE = "in force"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"
    REFUSED = "refused"


class ActiveVersion:
    """The version that is in force in this process.

    Attributes
    ----------
    waiting_peers : int
        Number of peers that wait for a newer version from this process.
    configuration : Configuration, optional
        The version as look-up tables; None before the first one.
    documents : VersionDocuments, optional
        The version as published; None before the first one.

    Notes
    -----
    A version is activated completely or not at all, and never replaced by a lower number. If the
    same number is offered with another digest, the active version stays. The stamp of a version
    that could not be built is remembered, so that its shards are not fetched again.
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
        """Return the bytes of a shard of the version in force; None if it has no such shard."""
        return self._shards.get(digest)

    def evaluate(self, stamp: VersionStamp) -> ActivationResult:
        """Return what the result of activating a version with this stamp would be."""
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
        """Build a version and put it in force if it is newer.

        Returns
        -------
        ActivationResult
            `IN_FORCE` if the version was activated; otherwise why it was not.

        Raises
        ------
        ConfigurationError
            If a newer version can't be built; the active one stays.
        """
        result = self.evaluate(documents.stamp)
        if result is ActivationResult.IN_FORCE:
            try:
                self._set_active(documents, build_version(documents, self._built, self._kinds))
            except ConfigurationError as error:
                self._record_refused(documents.stamp, error)
                raise
        return result

    async def activate_in_steps(self, documents: VersionDocuments) -> ActivationResult:
        """Activate a version like `activate`, letting other tasks run between steps of the build.

        Notes
        -----
        Another task may activate a version meanwhile, so the stamp is evaluated again at the end.
        """
        result = self.evaluate(documents.stamp)
        if result is not ActivationResult.IN_FORCE:
            return result
        try:
            built = await self._build(documents)
        except ConfigurationError as error:
            self._record_refused(documents.stamp, error)
            raise
        result = self.evaluate(documents.stamp)
        if result is ActivationResult.IN_FORCE:
            self._set_active(documents, built)
        return result

    async def wait_newer(self, version: int) -> None:
        """Wait until a version above `version` is in force."""
        while self.stamp.version <= version:
            await self._changed.wait()

    async def _build(self, documents: VersionDocuments) -> BuiltVersion:
        steps = build_in_steps(documents, self._built, self._kinds)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                return done.value
            await anyio.lowlevel.checkpoint()

    def _set_active(self, documents: VersionDocuments, built: BuiltVersion) -> None:
        self.documents = documents
        self.configuration = built.configuration
        self._built = built
        self._shards = dict(zip(built.shards, documents.shards))
        self._changed.set()
        self._changed = anyio.Event()

    def _record_refused(self, stamp: VersionStamp, error: ConfigurationError) -> None:
        if isinstance(error, DamagedValue):
            # The version itself may be valid: an undamaged copy can still be activated.
            return
        self._refused[stamp] = None
        if len(self._refused) > MAX_REFUSED_STAMPS:
            self._refused.popitem(last=False)


def create_active_version(kinds: frozenset[str] = ALL_KINDS) -> ActiveVersion:
    """Create an `ActiveVersion` with no version in force yet.

    Parameters
    ----------
    kinds : frozenset of str
        Kinds of items that this process reads; the bytes of all shards are kept in any case.
    """
    return ActiveVersion(kinds)
