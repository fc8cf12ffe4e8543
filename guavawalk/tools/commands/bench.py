"""`guavawalk bench`: benchmarks on this machine."""

from pathlib import Path
from typing import Literal

from cyclopts import App

__all__ = ["bench_app"]

bench_app = App(name="bench", help="Run benchmarks on this machine; figures go in docs/RESULTS.md.")

# In multiples of the capacity of the deployment.
DEFAULT_LOADS = (0.7, 1.0, 1.5, 2.5)


@bench_app.command
def policy(
    shape: Literal["kestrel", "asante"] = "kestrel",
    loads: tuple[float, ...] = DEFAULT_LOADS,
    policies: tuple[str, ...] = (),
    duration_s: float = 40.0,
    seed: int = 1,
    json_file: Path | None = None,
) -> int:
    """Compare placement policies in virtual time, each on the same arrivals.

    Parameters
    ----------
    shape
        Deployment to simulate.
    loads
        Mean request rates, in multiples of the deployment's capacity.
    policies
        Names of policies; all by default.
    duration_s
        Virtual time for which requests arrive.
    seed
        Seed of the arrivals.
    json_file
        File to which a JSON line is appended for each run.
    """
    from guavawalk.request.policies import PLACEMENTS
    from guavawalk.tools.bench.policy import run_policy
    from guavawalk.tools.bench.policy_report import print_results, write_line

    results = []
    for load in loads:
        for name in policies or tuple(PLACEMENTS):
            results.append(run_policy(shape, name, load, duration_s, seed))
            if json_file is not None:
                write_line(json_file, results[-1])
    print_results(results)
    return 0


@bench_app.command
def render(workspaces: int = 29_000, targets: int = 2_100) -> int:
    """Measure rendering, checking and building a large configuration."""
    from guavawalk.tools.bench.render import measure_render

    for name, value in measure_render(workspaces, targets)._asdict().items():
        print(f"{name}: {value:.2f}" if isinstance(value, float) else f"{name}: {value}")
    return 0


@bench_app.command
def queue() -> None:
    """Measure the operations of a sidecar's queue."""
    from guavawalk.tools.bench.queue import SIZES, measure_queue, queue_table

    print(queue_table([measure_queue(size) for size in SIZES]))


@bench_app.command
def placement(
    policies: tuple[str, ...] = (), known: int = 2_100, capable: int = 60, decisions: int = 20_000
) -> int:
    """Measure the time of one placement decision among many targets."""
    from guavawalk.request.policies import PLACEMENTS
    from guavawalk.tools.bench.placement import measure_placement

    for name in policies or tuple(PLACEMENTS):
        cost = measure_placement(name, known, capable, decisions)
        print(
            f"{name}: mean {cost.mean_us:.1f} µs, p50 {cost.p50_us:.1f} µs, "
            f"p99 {cost.p99_us:.1f} µs, {capable} capable of {known}, {decisions} decisions"
        )
    return 0


@bench_app.command
def histograms(workspaces: int = 29_000, requests: int = 50_000, seed: int = 1) -> int:
    """Measure the memory and time of latency histograms of many workspaces."""
    from guavawalk.tools.bench.histograms import measure_histograms

    for name, value in measure_histograms(workspaces, requests, seed)._asdict().items():
        print(f"{name}: {value:.2f}" if isinstance(value, float) else f"{name}: {value}")
    return 0


@bench_app.command
def window(duration_s: float = 60.0, seed: int = 1, scenarios: tuple[str, ...] = ()) -> None:
    """Compare dispatch windows of one engine's sidecar in virtual time."""
    from guavawalk.tools.bench.window import SCENARIOS, WINDOW_CHOICES, measure_window

    print(
        "| scenario | window | tier | offered | in time | good tokens | p50 ms | p95 ms | queue |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for scenario in scenarios or SCENARIOS:
        for choice in WINDOW_CHOICES:
            for row in measure_window(scenario, choice, duration_s, seed):
                print("| " + " | ".join(str(value) for value in row) + " |")


@bench_app.command
def ticket(calls: int = 500) -> int:
    """Measure calls on loopback, without a ticket and with one fetched for each call."""
    import anyio

    from guavawalk.tools.bench.ticket import measure_tickets

    for name, value in anyio.run(measure_tickets, calls)._asdict().items():
        print(f"{name}: {value:.2f}" if isinstance(value, float) else f"{name}: {value}")
    return 0


@bench_app.command
def control(
    nodes: tuple[int, ...] = (10, 25, 50),
    workspaces: tuple[int, ...] = (1_000, 7_000, 29_000),
    targets: int = 2_100,
    idle_s: float = 10.0,
    rounds: int = 5,
) -> None:
    """Measure building versions and spreading them over loopback."""
    from functools import partial

    import anyio

    from guavawalk.tools.bench.control import measure_build, measure_spread

    rows = [measure_build(count, targets) for count in workspaces]
    rows += [anyio.run(partial(measure_spread, count, idle_s, rounds)) for count in nodes]
    for row in rows:
        print(type(row).__name__)
        for name, value in row._asdict().items():
            print(f"  {name}: {value:.2f}" if isinstance(value, float) else f"  {name}: {value}")
