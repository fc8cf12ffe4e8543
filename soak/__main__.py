"""`python -m soak`: run seeded scenarios and print their results."""

import sys
from collections import Counter
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from soak.mutants import MUTANTS
from soak.regressions import SEEDS
from soak.scenario import Result, Shape, run_scenario

__all__ = ["app"]

app = App(name="soak", help="Randomized soak test of gateways on this machine.")
FAILURE_EXIT_CODE = 1


@app.default
def soak(
    seeds: Annotated[int, Parameter(help="Number of scenarios to run.")] = 3,
    first: Annotated[int, Parameter(help="Seed of the first scenario; the others count up.")] = 1,
    seconds: Annotated[
        float, Parameter(help="Time over which faults are injected in each scenario.")
    ] = 6.0,
    gateways: int = 3,
    askers: int = 8,
    regressions: Annotated[
        bool, Parameter(help="Run the recorded seeds of earlier failures.")
    ] = False,
    mutants: Annotated[
        bool, Parameter(help="Run gateways with a built-in fault; each fault must be caught.")
    ] = False,
) -> int:
    """Run scenarios in sequence; exit 1 if a guarantee was broken or a mutant was missed."""
    shape = Shape(gateways=gateways, clients=askers, seconds=seconds)
    if mutants:
        return _run_mutants(range(first, first + seeds), shape)
    selected = list(SEEDS) if regressions else range(first, first + seeds)
    results = [_run_and_print(seed, shape) for seed in selected]
    broken = [result.seed for result in results if result.broken]
    print(f"{len(results) - len(broken)} passed, {len(broken)} failed")
    return FAILURE_EXIT_CODE if broken else 0


def _run_mutants(seeds: range, shape: Shape) -> int:
    missed = []
    for mutant in MUTANTS:
        print(f"mutant {mutant}")
        results = (_run_and_print(seed, shape._replace(mutant=mutant)) for seed in seeds)
        if not any(result.broken for result in results):
            missed.append(mutant)
    print(
        f"{len(MUTANTS) - len(missed)} caught, {len(missed)} missed: {', '.join(missed) or 'none'}"
    )
    return FAILURE_EXIT_CODE if missed else 0


def _run_and_print(seed: int, shape: Shape) -> Result:
    result = anyio.run(run_scenario, seed, shape)
    totals: Counter[str] = Counter()
    for outcome, count in result.outcomes.items():
        totals[outcome.split()[1]] += count
    counts = " ".join(f"{status}:{count}" for status, count in sorted(totals.items()))
    print(f"seed {seed}: {'BROKEN' if result.broken else 'held'} {counts}", flush=True)
    for line in result.broken[:10]:
        print(f"    {line}")
    if result.broken:
        print(f"    faults: {'; '.join(result.faults)}")
    return result


if __name__ == "__main__":
    sys.exit(app())
