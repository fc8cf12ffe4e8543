"""`guavawalk bench relay`, and the configuration files that bench/relay.sh needs."""

import json
from functools import partial
from pathlib import Path

from rich.console import Console
from rich.table import Table

from guavawalk.process.event_loop import run_tasks
from guavawalk.tools.commands.bench import bench_app

__all__: list[str] = []

ENTRY_ADDRESS = "127.0.0.1:7000"
SIDECAR_ADDRESS = "127.0.0.1:7001"
PLATFORM_URL = "http://127.0.0.1:7100"
ENGINE_URL = "http://127.0.0.1:7200"
# Large enough that the window never limits the load.
WINDOW_SLOTS = 10_000


@bench_app.command(name="relay-config")
def relay_config(out: Path) -> int:
    """Write the settings and the published values for bench/relay.sh."""
    from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
    from guavawalk.version.publish import published_values, render_documents

    plan = kestrel_lane_plan()
    plan = plan._replace(targets=plan.targets[:1], services=(), workspaces=plan.workspaces[:1])
    plan = plan._replace(workspaces=(plan.workspaces[0]._replace(services=()),))
    addresses = {plan.targets[0].name: SIDECAR_ADDRESS}
    documents = render_documents(1, plan_parts(plan, addresses))
    for key, value in published_values(documents).items():
        path = out / "values" / key
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(value)
    common = {"data_centre": "victoria", "platform_url": PLATFORM_URL, "fleet_secret": "bench"}
    entry = {**common, "instance": "entry", "listen": ENTRY_ADDRESS}
    sidecar = {
        **common,
        "instance": "sidecar",
        "listen": SIDECAR_ADDRESS,
        "target": plan.targets[0].name,
        "target_kind": "model",
        "target_url": ENGINE_URL,
        "window": "fixed",
        "window_slots": WINDOW_SLOTS,
    }
    (out / "entry.json").write_text(json.dumps(entry))
    (out / "sidecar.json").write_text(json.dumps(sidecar))
    return 0


@bench_app.command
def relay(
    entry_pid: int,
    sidecar_pid: int,
    requests_per_s: float = 6.0,
    duration_s: float = 20.0,
    tokens: int = 500,
) -> int:
    """Compare streams relayed by an entry with streams straight from the engine."""
    from guavawalk.tools.bench.relay import RelayLoad, measure_relay, read_process_cost

    load = RelayLoad(requests_per_s, duration_s, tokens)
    urls = [f"http://{ENTRY_ADDRESS}", ENGINE_URL]
    before = {pid: read_process_cost(pid) for pid in (entry_pid, sidecar_pid)}
    relayed, direct = run_tasks(partial(measure_relay, urls, load, "key-heritage"))
    after = {pid: read_process_cost(pid) for pid in (entry_pid, sidecar_pid)}
    console = Console()
    table = Table("path", "streams", "tokens", "first token p50 ms", "p95 ms", "total p95 ms")
    table.add_row("through the entry", *_cells(relayed))
    table.add_row("engine itself", *_cells(direct))
    console.print(table)
    span_s = max(sample.total_ms for sample in relayed) / 1000 + duration_s
    for name, pid in (("entry", entry_pid), ("sidecar", sidecar_pid)):
        cpu_s = after[pid].cpu_s - before[pid].cpu_s
        relayed_tokens = sum(sample.tokens for sample in relayed)
        console.print(
            f"{name}: {cpu_s:.1f} s of processor time in at most {span_s:.0f} s,"
            f" {relayed_tokens / max(cpu_s, 0.01):,.0f} tokens per core second,"
            f" {after[pid].resident_mb:.0f} MB resident"
        )
    return 0


def _cells(samples: list) -> list[str]:
    from guavawalk.tools.bench.relay import quantile_ms

    first = [sample.first_token_ms for sample in samples]
    total = [sample.total_ms for sample in samples]
    return [
        str(len(samples)),
        f"{sum(sample.tokens for sample in samples):,}",
        f"{quantile_ms(first, 0.5):.1f}",
        f"{quantile_ms(first, 0.95):.1f}",
        f"{quantile_ms(total, 0.95):.0f}",
    ]
