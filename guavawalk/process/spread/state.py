"""State shared by the tasks that keep the configuration of a process up to date."""

from random import Random
from typing import NamedTuple

import anyio

from guavawalk.connection.handshake import Identity
from guavawalk.connection.link import Network
from guavawalk.connection.platform import Platform
from guavawalk.process.clock import Clock
from guavawalk.process.observe.log import EventLog
from guavawalk.process.pauses import Sleep
from guavawalk.process.spread.members import Members
from guavawalk.process.spread.read_rate_limiter import ReadRateLimiter, create_read_rate_limiter
from guavawalk.version.active import ActiveVersion

__all__ = ["Spread", "create_spread"]


class Spread(NamedTuple):
    """State shared by the tasks that fetch versions of the configuration and activate them.

    Attributes
    ----------
    read_rate_limiter : ReadRateLimiter
        Limits the reads of the configuration service.
    fetching : anyio.Lock
        Held by the task that fetches the shards of a version, so that only one does at a time.
    fetched_shards : dict of str to bytes
        Shards fetched so far of a version that is not complete, by digest.
    sleep : Sleep
        Function with which `watch_pauses` sleeps for a number of seconds.
    start_jitter_s : float
        Upper bound of the random wait before the first read of the platform, in seconds.
    """

    identity: Identity
    active: ActiveVersion
    members: Members
    network: Network
    platform: Platform
    clock: Clock
    rng: Random
    read_rate_limiter: ReadRateLimiter
    fetching: anyio.Lock
    fetched_shards: dict[str, bytes]
    sleep: Sleep
    start_jitter_s: float
    log: EventLog


def create_spread(
    identity: Identity,
    active: ActiveVersion,
    members: Members,
    network: Network,
    platform: Platform,
    clock: Clock,
    log: EventLog,
    sleep: Sleep = anyio.sleep,
    start_jitter_s: float = 0.0,
) -> Spread:
    """Create the state; its random generator is seeded with the incarnation."""
    rng = Random(identity.incarnation)
    return Spread(
        identity=identity,
        active=active,
        members=members,
        network=network,
        platform=platform,
        clock=clock,
        rng=rng,
        read_rate_limiter=create_read_rate_limiter(members.node_table, clock, rng),
        fetching=anyio.Lock(),
        fetched_shards={},
        sleep=sleep,
        start_jitter_s=start_jitter_s,
        log=log,
    )
