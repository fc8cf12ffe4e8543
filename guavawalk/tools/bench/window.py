"""`guavawalk bench window`: dispatch windows before one engine, in virtual time."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from guavawalk.codes import ResultCode
from guavawalk.request.prompt import CHARS_PER_TOKEN
from guavawalk.tools.fleet import Fleet, run_fleet
from guavawalk.tools.plan import Plan, PlannedTarget, kestrel_lane_plan
from guavawalk.tools.standins.memory_targets import MemoryCaller, mark_output
from guavawalk.tools.virtual_time import run_in_virtual_time
from guavawalk.version.types import Generation, Tier

__all__ = ["SCENARIOS", "WINDOW_CHOICES", "Scenario", "TierFigures", "measure_window"]

ENGINE = "engine-0"
CENTRE = "victoria"
SAMPLE_S = 0.1
GENERATION = Generation("gen-a", 4_000.0, 30.0, 8, 32_000)
TIERS = (
    Tier("onsite", 0, 6_000, 1_000, 0.25),
    Tier("plan", 1, 60_000, 10_000),
    Tier("tag", 2, 20_000, 10_000),
)


class Kind(NamedTuple):
    """One kind of request of the mix, with its rate at load 1."""

    tier: str
    prompt_tokens: int
    output_tokens: int
    per_s: float


KINDS = (
    Kind("onsite", 100, 16, 4.0),
    Kind("plan", 3_000, 300, 0.3),
    Kind("tag", 60, 8, 6.0),
)


class Scenario(NamedTuple):
    """A story of one engine.

    Attributes
    ----------
    slow_factor : float
        How much slower the engine is in the middle third.
    burst : int
        Long prompts of the middle tier that come at once, a third through.
    """

    load: float = 0.6
    slow_factor: float = 1.0
    burst: int = 0


SCENARIOS = {
    "steady": Scenario(),
    "slow": Scenario(slow_factor=5.0),
    "burst": Scenario(load=0.5, burst=20),
    "overload": Scenario(load=1.5),
}

# The size of the first is the default of the settings; the second has the engine's batch slots.
WINDOW_CHOICES = {"fixed-16": 16, "fixed-8": 8, "adaptive": 0}


class TierFigures(NamedTuple):
    """What became of one tier's requests under one window.

    Attributes
    ----------
    good_tokens : int
        Output tokens of requests completed within their deadlines.
    engine_queue_max : int
        Most requests that waited inside the engine, of all tiers, by samples.
    """

    scenario: str
    window: str
    tier: str
    offered: int
    in_time: int
    good_tokens: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    engine_queue_max: int


class Sent(NamedTuple):
    """One request with its outcome."""

    tier: str
    output_tokens: int
    in_time: bool
    first_token_ms: float | None


class Arrival(NamedTuple):
    """One request and when it comes."""

    at_s: float
    kind: Kind
    text: str


def window_plan() -> Plan:
    """Return a deployment of one entry and one engine."""
    plan = kestrel_lane_plan()
    return plan._replace(
        entries=(CENTRE,),
        targets=(PlannedTarget(ENGINE, CENTRE, GENERATION.name, models=("quill",)),),
        generations=(GENERATION,),
        tiers=TIERS,
        services=(),
        workspaces=tuple(w._replace(services=()) for w in plan.workspaces),
    )


def measure_window(
    scenario_name: str, window_name: str, duration_s: float = 60.0, seed: int = 1
) -> list[TierFigures]:
    """Run one scenario with one window against seeded arrivals, in virtual time.

    Raises
    ------
    GuavawalkError
        If trio, a dependency of the tests, is not installed.
    """
    scenario = SCENARIOS[scenario_name]
    fixed_size = WINDOW_CHOICES[window_name]

    async def story() -> tuple[list[Sent], int]:
        window = "fixed" if fixed_size else "adaptive"
        async with run_fleet(window_plan(), window=window, placement_name="round_robin") as fleet:
            if fixed_size:
                fleet.sidecar(ENGINE).window.size = fixed_size
            return await _run(fleet, scenario, duration_s, seed)

    sent, queue_max = run_in_virtual_time(story, seed)
    rows = [[row for row in sent if row.tier == tier.name] for tier in TIERS]
    return [
        _figures(scenario_name, window_name, tier.name, found, queue_max)
        for tier, found in zip(TIERS, rows)
    ]


async def _run(
    fleet: Fleet, scenario: Scenario, duration_s: float, seed: int
) -> tuple[list[Sent], int]:
    sent: list[Sent] = []
    waiting: list[int] = []
    async with anyio.create_task_group() as feeders:
        feeders.start_soon(_sample, fleet, waiting)
        feeders.start_soon(_disturb, fleet, scenario, duration_s)
        async with anyio.create_task_group() as tasks:
            start_s = anyio.current_time()
            for arrival in _arrivals(scenario, duration_s, seed):
                await anyio.sleep_until(start_s + arrival.at_s)
                tasks.start_soon(_send, fleet, arrival, sent)
        feeders.cancel_scope.cancel()
    return sent, max(waiting)


async def _sample(fleet: Fleet, waiting: list[int]) -> None:
    while True:
        waiting.append(len(fleet.engines[ENGINE].waiting))
        await anyio.sleep(SAMPLE_S)


async def _disturb(fleet: Fleet, scenario: Scenario, duration_s: float) -> None:
    faults = fleet.engines[ENGINE].faults
    await anyio.sleep(duration_s / 3)
    faults.slow_factor = scenario.slow_factor
    await anyio.sleep(duration_s / 3)
    faults.slow_factor = 1.0


def _arrivals(scenario: Scenario, duration_s: float, seed: int) -> list[Arrival]:
    rng = random.Random(seed)
    arrivals = []
    for kind in KINDS:
        at_s = rng.expovariate(kind.per_s * scenario.load)
        while at_s < duration_s:
            arrivals.append(Arrival(at_s, kind, _text(rng, kind)))
            at_s += rng.expovariate(kind.per_s * scenario.load)
    long = KINDS[1]
    arrivals += [Arrival(duration_s / 3, long, _text(rng, long)) for _ in range(scenario.burst)]
    return sorted(arrivals)


def _text(rng: random.Random, kind: Kind) -> str:
    return f"{rng.getrandbits(64):016x}".ljust(kind.prompt_tokens * CHARS_PER_TOKEN, "g")


async def _send(fleet: Fleet, arrival: Arrival, sent: list[Sent]) -> None:
    kind = arrival.kind
    deadline_ms = next(tier.deadline_ms for tier in TIERS if tier.name == kind.tier)
    work = fleet.work(
        "harbour",
        kind.tier,
        mark_output(arrival.text, kind.output_tokens),
        output_tokens=kind.output_tokens,
        model="quill",
        deadline_ms=deadline_ms,
    )
    started_s = anyio.current_time()
    caller = await fleet.send(CENTRE, work, MemoryCaller())
    elapsed_ms = (anyio.current_time() - started_s) * 1000
    completed = caller.outcome.code is ResultCode.COMPLETED
    first_token_ms = caller.outcome.first_token_ms if completed else None
    in_time = completed and elapsed_ms <= deadline_ms
    sent.append(Sent(kind.tier, kind.output_tokens, in_time, first_token_ms))


def _figures(
    scenario: str, window: str, tier: str, sent: Sequence[Sent], queue_max: int
) -> TierFigures:
    first_ms = sorted(row.first_token_ms for row in sent if row.first_token_ms is not None)
    good = [row for row in sent if row.in_time]
    return TierFigures(
        scenario=scenario,
        window=window,
        tier=tier,
        offered=len(sent),
        in_time=len(good),
        good_tokens=sum(row.output_tokens for row in good),
        first_token_p50_ms=_quantile(first_ms, 0.5),
        first_token_p95_ms=_quantile(first_ms, 0.95),
        engine_queue_max=queue_max,
    )


def _quantile(values: Sequence[float], share: float) -> float:
    return round(values[int(share * len(values))], 1) if values else 0.0
