"""`python -m soak`: run seeded stories and print what they showed."""

import sys
from collections import Counter
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from soak.mutants import MUTANTS
from soak.regressions import SEEDS
from soak.scenario import Result, Shape, run_scenario

__all__ = ["app"]

app = App(name="soak", help="A randomized soak of gateways on this machine.")
BROKEN_EXIT = 1


@app.default
def soak(
    seeds: Annotated[int, Parameter(help="Stories to run.")] = 3,
    first: Annotated[int, Parameter(help="First seed.")] = 1,
    seconds: Annotated[float, Parameter(help="Length of the faults in each.")] = 6.0,
    gateways: int = 3,
    askers: int = 8,
    regressions: Annotated[bool, Parameter(help="Run the seeds that failed before.")] = False,
    mutants: Annotated[bool, Parameter(help="Run faulty gateways until each is caught.")] = False,
) -> int:
    """Run stories one after the other; exit 1 if a promise was broken, or a mutant was not."""
    shape = Shape(gateways=gateways, clients=askers, seconds=seconds)
    if mutants:
        return _run_mutants(range(first, first + seeds), shape)
    wanted = list(SEEDS) if regressions else range(first, first + seeds)
    results = [_run_one(seed, shape) for seed in wanted]
    broken = [result.seed for result in results if result.broken]
    print(f"{len(results) - len(broken)} passed, {len(broken)} failed")
    return BROKEN_EXIT if broken else 0


def _run_mutants(seeds: range, shape: Shape) -> int:
    missed = []
    for mutant in MUTANTS:
        print(f"mutant {mutant}")
        results = (_run_one(seed, shape._replace(mutant=mutant)) for seed in seeds)
        if not any(result.broken for result in results):
            missed.append(mutant)
    print(
        f"{len(MUTANTS) - len(missed)} caught, {len(missed)} missed: {', '.join(missed) or 'none'}"
    )
    return BROKEN_EXIT if missed else 0


def _run_one(seed: int, shape: Shape) -> Result:
    result = anyio.run(run_scenario, seed, shape)
    totals: Counter[str] = Counter()
    for outcome, count in result.outcomes.items():
        totals[outcome.split()[1]] += count
    told = " ".join(f"{status}:{count}" for status, count in sorted(totals.items()))
    print(f"seed {seed}: {'BROKEN' if result.broken else 'held'} {told}", flush=True)
    for line in result.broken[:10]:
        print(f"    {line}")
    if result.broken:
        print(f"    faults: {'; '.join(result.faults)}")
    return result


if __name__ == "__main__":
    sys.exit(app())
