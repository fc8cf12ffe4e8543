"""The parts of a process that bring versions to it and pass them on."""

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
    """What the tasks share that keep the configuration in force.

    Attributes
    ----------
    fetching : anyio.Lock
        Held while the shards of a version are fetched, by one task at a time.
    fetched_shards : dict of str to bytes
        Shards of a version that is not whole yet, by digest.
    start_jitter_s : float
        Longest wait before the first read of the platform.
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
    """Assemble the parts; random choices are seeded by the incarnation."""
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
