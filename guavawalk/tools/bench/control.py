"""`guavawalk bench control`: cost of building versions and of spreading them over loopback."""

import gc
import resource
import statistics
import time
import tracemalloc
import zlib
from collections.abc import Iterator
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

import anyio

from guavawalk.connection.codec import encode_message
from guavawalk.connection.handshake import Identity
from guavawalk.connection.messages import VersionOffer, VersionRequest
from guavawalk.connection.platform import create_http_platform
from guavawalk.connection.tasks.peer_link import serve_peer_link
from guavawalk.connection.tasks.spread import run_spread
from guavawalk.connection.tcp import create_tcp_network
from guavawalk.connection.version_reporting import create_version_reporting_network
from guavawalk.process.clock import create_clock
from guavawalk.process.http_server import serve_asgi
from guavawalk.process.observe.log import create_null_log
from guavawalk.process.sidecar_daemon import create_incarnation
from guavawalk.process.spread.members import create_members
from guavawalk.process.spread.ranking import Node
from guavawalk.process.spread.state import create_spread
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.tools.standins.platform import PlatformState, create_platform_app
from guavawalk.version.active import ActiveVersion, create_active_version
from guavawalk.version.build import build_version
from guavawalk.version.documents import VersionDocuments, digest_bytes
from guavawalk.version.publish import published_values, render_documents
from guavawalk.version.shards import ALL_KINDS, SIDECAR_KINDS
from guavawalk.version.types import Target, Workspace, WorkspaceLimits

__all__ = ["BuildCost", "SpreadCost", "measure_build", "measure_spread"]

# Port 0: the operating system assigns a free port.
FREE_ADDRESS = "127.0.0.1:0"
DATA_CENTRES = 5
# Wait after the first version is in force, before idle processor time is measured.
SETTLE_S = 6.0


class BuildCost(NamedTuple):
    """Cost of one configuration for a process.

    Attributes
    ----------
    root_packed_bytes : int
        Compressed size of the root document.
    shard_packed_bytes : int
        Compressed size of the shards that differ after a change of one workspace.
    whole_ms, sidecar_whole_ms : float
        Time to build the first version, with all shard kinds and with those of a sidecar.
    changed_ms, sidecar_changed_ms : float
        Time to build the version after it, which changes one workspace.
    entry_heap_bytes, sidecar_heap_bytes : int
        Memory of a built version with its documents, with all shard kinds and with those of a
        sidecar.
    process_bytes : int
        Peak resident memory of this process.
    """

    workspaces: int
    targets: int
    shards: int
    total_bytes: int
    root_packed_bytes: int
    shard_packed_bytes: int
    whole_ms: float
    changed_ms: float
    sidecar_whole_ms: float
    sidecar_changed_ms: float
    entry_heap_bytes: int
    sidecar_heap_bytes: int
    process_bytes: int


class SpreadCost(NamedTuple):
    """Cost of spreading versions over nodes on loopback.

    Attributes
    ----------
    up_median_ms, up_last_ms : float
        Time from publishing to activation, with the configuration service up: median over the
        nodes (median of the rounds), and slowest node (maximum of the rounds).
    down_last_ms : float
        Time from activation at one node to activation at the last, with the service down.
    reads_of_change : int
        Reads of the configuration service for one change, maximum of the rounds.
    idle_cpu_ms_per_node_s : float
        Processor time of one node in one second without changes.
    poll_bytes : int
        Bytes of one poll of a peer that has no newer version, both ways.
    """

    nodes: int
    up_median_ms: float
    up_last_ms: float
    down_last_ms: float
    reads_of_change: int
    idle_cpu_ms_per_node_s: float
    poll_bytes: int


def large_documents(version: int, workspaces: int, targets: int) -> VersionDocuments:
    """Render a configuration of the given size; versions differ in the weight of one workspace."""
    plan = kestrel_lane_plan()
    addresses = {target.name: "10.0.0.1:7000" for target in plan.targets}
    parts = plan_parts(plan, addresses)
    engine = next(t for t in parts["targets"] if t.kind == "model")
    parts["targets"] = [_target(engine, number) for number in range(targets)]
    parts["workspaces"] = [_workspace(number, version) for number in range(workspaces)]
    return render_documents(version, parts)


def _target(engine: Target, number: int) -> Target:
    address = f"10.{number >> 8}.{number & 255}.1:7000"
    return engine._replace(name=f"engine-{number}", sidecar=address)


def _workspace(number: int, version: int) -> Workspace:
    name = f"workspace-{number:05}"
    weight = float(version) if number == 7 else 1.0
    digest = digest_bytes(name.encode())
    limits = WorkspaceLimits(10.0, 1e5, 4)
    tiers = ("onsite", "plan")
    return Workspace(
        name, (digest,), tiers, "plan", models=("quill",), weight=weight, limits=limits
    )


def measure_build(workspaces: int, targets: int) -> BuildCost:
    """Measure building a configuration from nothing, and again after a change of one workspace."""
    first = large_documents(1, workspaces, targets)
    second = large_documents(2, workspaces, targets)
    times = {kinds: _build_times_ms(first, second, kinds) for kinds in (ALL_KINDS, SIDECAR_KINDS)}
    heaps = {kinds: _heap_bytes(first, kinds) for kinds in (ALL_KINDS, SIDECAR_KINDS)}
    changed_shards = [shard for shard in second.shards if shard not in set(first.shards)]
    return BuildCost(
        workspaces,
        targets,
        len(first.shards),
        sum(map(len, first.shards)),
        len(zlib.compress(first.root)),
        sum(len(zlib.compress(shard)) for shard in changed_shards),
        *times[ALL_KINDS],
        *times[SIDECAR_KINDS],
        heaps[ALL_KINDS],
        heaps[SIDECAR_KINDS],
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
    )


def _build_times_ms(
    first: VersionDocuments, second: VersionDocuments, kinds: frozenset[str]
) -> tuple[float, float]:
    started_s = time.perf_counter()
    built = build_version(first, None, kinds)
    first_built_s = time.perf_counter()
    build_version(second, built, kinds)
    return (first_built_s - started_s) * 1000, (time.perf_counter() - first_built_s) * 1000


def _heap_bytes(documents: VersionDocuments, kinds: frozenset[str]) -> int:
    gc.collect()
    tracemalloc.start()
    built = build_version(documents, None, kinds)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size + sum(map(len, documents.shards))


class BenchNode(NamedTuple):
    """A node that does nothing but spread and activate versions."""

    active: ActiveVersion
    scope: anyio.CancelScope


@asynccontextmanager
async def _nodes(
    count: int, platform: PlatformState, platform_url: str
) -> Iterator[list[BenchNode]]:
    async with anyio.create_task_group() as tasks:
        spreads = [await _start_node(tasks, i, platform_url) for i in range(count)]
        platform.instances = [
            {
                "name": f"node-{i}",
                "role": "sidecar",
                "address": spread.members.node_table.own_node.address,
            }
            | {"data_centre": f"centre-{i % DATA_CENTRES}"}
            for i, spread in enumerate(spreads)
        ]
        for spread in spreads:
            tasks.start_soon(run_spread, spread)
        yield [BenchNode(spread.active, tasks.cancel_scope) for spread in spreads]
        tasks.cancel_scope.cancel()


async def _start_node(tasks, number: int, platform_url: str):
    active = create_active_version(SIDECAR_KINDS)
    clock = create_clock()
    own = Node("", f"centre-{number % DATA_CENTRES}", "sidecar")
    members = create_members(f"node-{number}", own, (), clock)
    identity = Identity(
        "sidecar",
        f"node-{number}",
        create_incarnation(),
        b"secret",
        lambda: active.stamp,
        lambda: members.node_table.own_node.address,
    )
    network = create_version_reporting_network(
        create_tcp_network(lambda: active.stamp.version), members.advertised_version.record
    )
    platform = create_http_platform(platform_url)
    log = create_null_log()
    spread = create_spread(identity, active, members, network, platform, clock, log)
    handler = partial(serve_peer_link, spread)
    members.node_table.set_address(await tasks.start(network.serve, FREE_ADDRESS, handler))
    return spread


async def measure_spread(nodes: int, idle_s: float, rounds: int) -> SpreadCost:
    """Measure spreading versions over nodes on loopback.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    idle_s : float
        Time without changes for which processor time is measured.
    rounds : int
        Versions published with the configuration service up; one more follows with it down.
    """
    platform = PlatformState()
    platform.publish(published_values(large_documents(1, 500, 50)))
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(serve_asgi, create_platform_app(platform), FREE_ADDRESS)
        async with _nodes(nodes, platform, f"http://{address}") as running:
            await _wait_until_active(running, 1)
            await anyio.sleep(SETTLE_S)
            cpu_s = time.process_time()
            await anyio.sleep(idle_s)
            idle_ms = (time.process_time() - cpu_s) * 1000 / nodes / idle_s
            medians, lasts, reads = [], [], []
            for version in range(2, rounds + 2):
                reads_before = platform.reads
                times = await _publish(running, platform, version)
                await anyio.sleep(1.0)
                medians.append(statistics.median(times))
                lasts.append(max(times))
                reads.append(platform.reads - reads_before)
            down_ms = await _activate_at_one(running, platform, rounds + 2)
        tasks.cancel_scope.cancel()
    return SpreadCost(
        nodes,
        statistics.median(medians),
        max(lasts),
        down_ms,
        max(reads),
        idle_ms,
        _poll_bytes(),
    )


async def _wait_until_active(running: list[BenchNode], version: int) -> list[float]:
    started_s = time.perf_counter()
    times: list[float] = []

    async def wait(node: BenchNode) -> None:
        await node.active.wait_newer(version - 1)
        times.append((time.perf_counter() - started_s) * 1000)

    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks:
            for node in running:
                tasks.start_soon(wait, node)
    return times


async def _publish(running: list[BenchNode], platform: PlatformState, version: int) -> list[float]:
    platform.publish(published_values(large_documents(version, 500, 50)))
    return await _wait_until_active(running, version)


async def _activate_at_one(
    running: list[BenchNode], platform: PlatformState, version: int
) -> float:
    """Activate a version at one node with the service down; return the ms until all have it."""
    platform.down = True
    running[len(running) // 2].active.activate(large_documents(version, 500, 50))
    return max(await _wait_until_active(running, version))


def _poll_bytes() -> int:
    """Return the bytes of one poll without a newer version, both ways.

    Each of the two frames begins with its length, in 4 bytes.
    """
    request = encode_message(VersionRequest(1_000_000, 2_000), 1_000_000)
    empty = VersionOffer(1_000_000, "0" * 64, b"x" * 8)
    return len(request) + len(encode_message(empty, 1_000_000)) + 2 * 4
