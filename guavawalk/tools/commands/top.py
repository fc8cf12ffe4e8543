"""`guavawalk top`: a live view of processes, read from their administration APIs."""

from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Annotated, Any, NamedTuple

import anyio
import httpcore
from cyclopts import Parameter
from rich.console import Console, Group
from rich.live import Live
from rich.text import Text

from guavawalk.exception import AdminError
from guavawalk.process.admin.client import AdminClient, create_admin_client
from guavawalk.process.observe.histograms import Measure
from guavawalk.tools.commands.admin import KeyFile, read_key
from guavawalk.tools.commands.documents import rows_table

__all__ = ["Snapshot", "render_snapshots", "take_snapshot", "top"]

# Shortest interval between two reads of the same process.
MIN_PERIOD_S = 0.5
# Most rows of histograms and of refusals.
SHOWN_HISTOGRAMS = 20
SHOWN_REFUSALS = 8
NODE_COLUMNS = (
    "instance",
    "role",
    "version",
    "stopping",
    "running",
    "queued",
    "window",
    "MB",
    "up s",
)
BYTES_PER_MB = 1_000_000
HISTOGRAM_COLUMNS = ("instance", "workspace", "tier", "measure", "count", "p50", "p95", "p99")
REFUSAL_COLUMNS = ("instance", "age_s", "number", "name", "workspace", "tier", "trace_id")


class Snapshot(NamedTuple):
    """Documents of one process; if it did not answer, `state` is None and `problem` says why."""

    address: str
    state: dict[str, Any] | None = None
    histograms: Sequence[dict[str, Any]] = ()
    refusals: Sequence[dict[str, Any]] = ()
    problem: str = ""


class RowKey(NamedTuple):
    """Process, workspace and tier of a histogram."""

    instance: str
    workspace: str
    tier: str


def top(
    *addresses: Annotated[str, Parameter(help="IP:port of an administration API.")],
    every_s: float = 2.0,
    once: Annotated[bool, Parameter(negative="")] = False,
    key_file: KeyFile = None,
) -> int:
    """Show processes live until interrupted with Ctrl-C.

    Parameters
    ----------
    every_s : float
        Interval between two reads, in s; at least 0.5.
    once : bool
        Print the view once and exit.
    """
    if not addresses:
        raise AdminError("no address given; allowed are one or more, as IP:port")
    period_s = max(every_s, MIN_PERIOD_S)
    try:
        anyio.run(partial(_watch, addresses, read_key(key_file), period_s, once))
    except KeyboardInterrupt:
        return 0
    return 0


async def _watch(addresses: Sequence[str], key: str, period_s: float, once: bool) -> None:
    console = Console()
    async with httpcore.AsyncConnectionPool() as pool:
        clients = [create_admin_client(address, key, pool) for address in addresses]
        if once:
            console.print(render_snapshots(await _take_snapshots(clients)))
            return
        with Live(console=console, auto_refresh=False, screen=True) as live:
            while True:
                live.update(render_snapshots(await _take_snapshots(clients)), refresh=True)
                await anyio.sleep(period_s)


async def _take_snapshots(clients: Sequence[AdminClient]) -> list[Snapshot]:
    snapshots: dict[str, Snapshot] = {}

    async def add_snapshot(client: AdminClient) -> None:
        snapshots[client.address] = await take_snapshot(client)

    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(add_snapshot, client)
    return [snapshots[client.address] for client in clients]


async def take_snapshot(client: AdminClient) -> Snapshot:
    """Read the documents of one process that the view shows."""
    try:
        state = await client.get("/v1/state")
        histograms = await client.get("/v1/histograms")
        refusals = await client.get("/v1/refusals")
    except AdminError as error:
        return Snapshot(client.address, problem=str(error))
    instance = {"instance": state["instance"]}
    return Snapshot(
        address=client.address,
        state=state,
        histograms=[instance | row for row in histograms["histograms"]],
        refusals=[instance | row for row in refusals["recent"]],
    )


def _sort_by_requests(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    requests: Counter[RowKey] = Counter()
    for row in rows:
        # Times between tokens are recorded once per token, so their count isn't that of requests.
        if row["measure"] != Measure.BETWEEN_TOKENS:
            key = _row_key(row)
            requests[key] = max(requests[key], row["count"])
    return sorted(rows, key=lambda row: (-requests[_row_key(row)], _row_key(row), row["measure"]))


def _node_row(state: dict[str, Any]) -> dict[str, Any]:
    megabytes = round(state["resident_bytes"] / BYTES_PER_MB)
    return {**state, "MB": megabytes, "up s": round(state["uptime_s"])}


def _row_key(row: dict[str, Any]) -> RowKey:
    return RowKey(row["instance"], row["workspace"], row["tier"])


def render_snapshots(snapshots: Sequence[Snapshot]) -> Group:
    """Return the view: processes, histograms by requests, last refusals, unreachable processes."""
    states = [_node_row(snapshot.state) for snapshot in snapshots if snapshot.state]
    histograms = [row for snapshot in snapshots for row in snapshot.histograms]
    histograms = _sort_by_requests(histograms)
    refusals = [row for snapshot in snapshots for row in snapshot.refusals]
    refusals.sort(key=lambda row: row["age_s"])
    parts = [
        rows_table("processes", states, NODE_COLUMNS),
        rows_table(
            f"histograms, {min(len(histograms), SHOWN_HISTOGRAMS)} of {len(histograms)}",
            histograms[:SHOWN_HISTOGRAMS],
            HISTOGRAM_COLUMNS,
        ),
        rows_table("last refusals", refusals[:SHOWN_REFUSALS], REFUSAL_COLUMNS),
    ]
    parts += [Text(s.problem, style="bold red") for s in snapshots if s.problem]
    return Group(*parts)
