"""`guavawalk top`: a live view of some processes."""

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

MIN_PERIOD_S = 0.5
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
    """What one process answered, or why it did not."""

    address: str
    state: dict[str, Any] | None = None
    histograms: Sequence[dict[str, Any]] = ()
    refusals: Sequence[dict[str, Any]] = ()
    problem: str = ""


class RowKey(NamedTuple):
    """Whose histogram at which process."""

    instance: str
    workspace: str
    tier: str


def top(
    *addresses: Annotated[str, Parameter(help="IP:port of an administration API.")],
    every_s: float = 2.0,
    once: Annotated[bool, Parameter(negative="")] = False,
    key_file: KeyFile = None,
) -> int:
    """Show processes live; Ctrl-C ends it.

    Parameters
    ----------
    every_s : float
        Time between two looks.
    once : bool
        Print one look and end.
    """
    if not addresses:
        raise AdminError("give one address or more, IP:port")
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
            console.print(render_snapshots(await _look(clients)))
            return
        with Live(console=console, auto_refresh=False, screen=True) as live:
            while True:
                live.update(render_snapshots(await _look(clients)), refresh=True)
                await anyio.sleep(period_s)


async def _look(clients: Sequence[AdminClient]) -> list[Snapshot]:
    found: dict[str, Snapshot] = {}

    async def look(client: AdminClient) -> None:
        found[client.address] = await take_snapshot(client)

    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(look, client)
    return [found[client.address] for client in clients]


async def take_snapshot(client: AdminClient) -> Snapshot:
    """Ask one process for what is shown of it."""
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


def _busiest_first(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    requests: Counter[RowKey] = Counter()
    for row in rows:
        # Tokens are many to a request, so their count says little of how busy a workspace is.
        if row["measure"] != Measure.BETWEEN_TOKENS:
            key = _key(row)
            requests[key] = max(requests[key], row["count"])
    return sorted(rows, key=lambda row: (-requests[_key(row)], _key(row), row["measure"]))


def _node_row(state: dict[str, Any]) -> dict[str, Any]:
    megabytes = round(state["resident_bytes"] / BYTES_PER_MB)
    return {**state, "MB": megabytes, "up s": round(state["uptime_s"])}


def _key(row: dict[str, Any]) -> RowKey:
    return RowKey(row["instance"], row["workspace"], row["tier"])


def render_snapshots(snapshots: Sequence[Snapshot]) -> Group:
    """Return the view: processes, the busiest histograms, the last refusals, what is silent."""
    states = [_node_row(snapshot.state) for snapshot in snapshots if snapshot.state]
    histograms = [row for snapshot in snapshots for row in snapshot.histograms]
    histograms = _busiest_first(histograms)
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
