"""`guavawalk bench window`: compares dispatch windows of one engine's sidecar in virtual time."""

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
# Interval between samples of the engine's queue length.
SAMPLE_S = 0.1
# Prefill tokens/s, decode tokens/s, batch slots, cache tokens.
GENERATION = Generation("gen-a", 4_000.0, 30.0, 8, 32_000)
TIERS = (
    Tier("onsite", 0, 6_000, 1_000, 0.25),
    Tier("plan", 1, 60_000, 10_000),
    Tier("tag", 2, 20_000, 10_000),
)


class RequestKind(NamedTuple):
    """One kind of request of the mix; `per_s` is its rate at load 1."""

    tier: str
    prompt_tokens: int
    output_tokens: int
    per_s: float


REQUEST_KINDS = (
    RequestKind("onsite", 100, 16, 4.0),
    RequestKind("plan", 3_000, 300, 0.3),
    RequestKind("tag", 60, 8, 6.0),
)


class Scenario(NamedTuple):
    """Load and disturbance of one engine.

    Attributes
    ----------
    load : float
        Factor on the rates of all kinds of requests.
    slow_factor : float
        Factor on the engine's durations in the middle third of the run; 1 for no disturbance.
    burst : int
        Number of long prompts of the middle tier that arrive together after a third of the run.
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

# Slots of a fixed window; 0 for the adaptive window. 16 is the default of the settings, and 8 is
# the number of batch slots of the engine.
WINDOW_CHOICES = {"fixed-16": 16, "fixed-8": 8, "adaptive": 0}


class TierFigures(NamedTuple):
    """Outcomes of one tier's requests under one window.

    Attributes
    ----------
    offered : int
        Requests sent.
    in_time : int
        Requests completed within their deadlines.
    good_tokens : int
        Output tokens of the requests in time.
    first_token_p50_ms, first_token_p95_ms : float
        Of completed requests; 0 if there are none.
    engine_queue_max : int
        Maximum of the sampled number of requests, of all tiers, that waited inside the engine.
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


class RequestResult(NamedTuple):
    """Outcome of one request; `first_token_ms` is None unless it completed."""

    tier: str
    output_tokens: int
    in_time: bool
    first_token_ms: float | None


class Arrival(NamedTuple):
    """One request and its arrival time from the start of the run."""

    at_s: float
    kind: RequestKind
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
    """Run one scenario with one window on seeded arrivals, in virtual time.

    Raises
    ------
    GuavawalkError
        If trio, a dependency of the tests and of the load tool, is not installed.
    """
    scenario = SCENARIOS[scenario_name]
    fixed_size = WINDOW_CHOICES[window_name]

    async def run() -> tuple[list[RequestResult], int]:
        window = "fixed" if fixed_size else "adaptive"
        async with run_fleet(window_plan(), window=window, placement_name="round_robin") as fleet:
            if fixed_size:
                fleet.sidecar(ENGINE).window.size = fixed_size
            return await _run(fleet, scenario, duration_s, seed)

    sent, queue_max = run_in_virtual_time(run, seed)
    rows = [[row for row in sent if row.tier == tier.name] for tier in TIERS]
    return [
        _figures(scenario_name, window_name, tier.name, matching, queue_max)
        for tier, matching in zip(TIERS, rows)
    ]


async def _run(
    fleet: Fleet, scenario: Scenario, duration_s: float, seed: int
) -> tuple[list[RequestResult], int]:
    sent: list[RequestResult] = []
    waiting: list[int] = []
    async with anyio.create_task_group() as background:
        background.start_soon(_sample_engine_queue, fleet, waiting)
        background.start_soon(_slow_engine, fleet, scenario, duration_s)
        async with anyio.create_task_group() as tasks:
            start_s = anyio.current_time()
            for arrival in _arrivals(scenario, duration_s, seed):
                await anyio.sleep_until(start_s + arrival.at_s)
                tasks.start_soon(_send, fleet, arrival, sent)
        background.cancel_scope.cancel()
    return sent, max(waiting)


async def _sample_engine_queue(fleet: Fleet, waiting: list[int]) -> None:
    while True:
        waiting.append(len(fleet.engines[ENGINE].waiting))
        await anyio.sleep(SAMPLE_S)


async def _slow_engine(fleet: Fleet, scenario: Scenario, duration_s: float) -> None:
    faults = fleet.engines[ENGINE].faults
    await anyio.sleep(duration_s / 3)
    faults.slow_factor = scenario.slow_factor
    await anyio.sleep(duration_s / 3)
    faults.slow_factor = 1.0


def _arrivals(scenario: Scenario, duration_s: float, seed: int) -> list[Arrival]:
    rng = random.Random(seed)
    arrivals = []
    for kind in REQUEST_KINDS:
        at_s = rng.expovariate(kind.per_s * scenario.load)
        while at_s < duration_s:
            arrivals.append(Arrival(at_s, kind, _text(rng, kind)))
            at_s += rng.expovariate(kind.per_s * scenario.load)
    long = REQUEST_KINDS[1]
    arrivals += [Arrival(duration_s / 3, long, _text(rng, long)) for _ in range(scenario.burst)]
    return sorted(arrivals)


def _text(rng: random.Random, kind: RequestKind) -> str:
    return f"{rng.getrandbits(64):016x}".ljust(kind.prompt_tokens * CHARS_PER_TOKEN, "g")


async def _send(fleet: Fleet, arrival: Arrival, sent: list[RequestResult]) -> None:
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
    sent.append(RequestResult(kind.tier, kind.output_tokens, in_time, first_token_ms))


def _figures(
    scenario: str, window: str, tier: str, sent: Sequence[RequestResult], queue_max: int
) -> TierFigures:
    first_ms = sorted(row.first_token_ms for row in sent if row.first_token_ms is not None)
    completed_in_time = [row for row in sent if row.in_time]
    return TierFigures(
        scenario=scenario,
        window=window,
        tier=tier,
        offered=len(sent),
        in_time=len(completed_in_time),
        good_tokens=sum(row.output_tokens for row in completed_in_time),
        first_token_p50_ms=_quantile(first_ms, 0.5),
        first_token_p95_ms=_quantile(first_ms, 0.95),
        engine_queue_max=queue_max,
    )


def _quantile(values: Sequence[float], share: float) -> float:
    return round(values[int(share * len(values))], 1) if values else 0.0
