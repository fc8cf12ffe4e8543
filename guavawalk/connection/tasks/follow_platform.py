"""The task of the connection to the platform: it brings new versions into force."""

import anyio

from guavawalk import events
from guavawalk.connection.platform import Platform
from guavawalk.exception import ConfigurationError, PlatformUnavailable
from guavawalk.process.observe.log import EventLog
from guavawalk.version.build import stamp_of_root
from guavawalk.version.documents import ROOT_KEY, VersionDocuments, read_root, shard_key
from guavawalk.version.held import HeldVersion, Taken

__all__ = ["follow_platform"]

WATCH_S = 10.0
PAUSE_S = 0.5


async def follow_platform(platform: Platform, held: HeldVersion, log: EventLog) -> None:
    """Watch the root and take each newer version, for as long as the process lives."""
    revision = 0
    while True:
        try:
            found = await platform.watch(ROOT_KEY, revision, WATCH_S)
            if found is None:
                continue
            await take_published(platform, held, log, found.value)
            revision = found.revision
        except PlatformUnavailable as error:
            log.emit(events.PLATFORM_UNAVAILABLE, reason=str(error))
            await anyio.sleep(PAUSE_S)
        except ConfigurationError as error:
            log.emit(events.VERSION_INVALID, reason=str(error))
            await anyio.sleep(PAUSE_S)


async def take_published(
    platform: Platform, held: HeldVersion, log: EventLog, root: bytes
) -> Taken:
    """Read the shards of a root that is newer than the one held, and take the version."""
    stamp = stamp_of_root(root)
    verdict = held.judge(stamp)
    if verdict is Taken.CONFLICT:
        log.emit(events.VERSION_CONFLICT, version=stamp.version, digest=stamp.digest)
    if verdict is not Taken.IN_FORCE:
        return verdict
    shards = []
    for reference in read_root(root)["shards"]:
        found = await platform.read(shard_key(reference["digest"]))
        if found is None:
            raise PlatformUnavailable(f"shard {reference['digest'][:12]} is not published")
        shards.append(found.value)
    verdict = held.take(VersionDocuments(stamp, root, tuple(shards)))
    log.emit(events.VERSION_IN_FORCE, version=stamp.version, digest=stamp.digest)
    return verdict
