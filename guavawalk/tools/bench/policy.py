"""`guavawalk bench policy`: compares placement policies on the same arrivals in virtual time."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from guavawalk.codes import CodeClass, code_class
from guavawalk.request.prompt import BLOCK_CHARS, CHARS_PER_TOKEN
from guavawalk.request.types import Outcome
from guavawalk.tools.bench.arrivals import Arrival, draw_arrivals
from guavawalk.tools.bench.late_view import record_late_reports
from guavawalk.tools.fleet import Fleet, run_fleet
from guavawalk.tools.plan import Plan, asante_plan, kestrel_lane_plan
from guavawalk.tools.standins.engine_model import RunRecord
from guavawalk.tools.standins.memory_targets import MemoryCaller, mark_output
from guavawalk.tools.virtual_time import run_in_virtual_time
from guavawalk.version.types import Generation, Tier

__all__ = ["BASELINES", "PolicyResult", "TierResult", "bench_plan", "count_waste", "run_policy"]

BASELINES = ("round_robin", "least_reported_load", "random_of_two")
# Age of the load reports by which the baselines place requests.
REPORT_DELAY_S = 2.0
# Virtual time for the deployment to become ready, before the load starts.
SETTLE_S = 0.5
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN

# Speeds are low and deadlines short: simulating a token costs the same real time however long it
# takes in virtual time, so slow engines make long runs cheap.
# Prefill tokens/s, decode tokens/s, batch slots, cache tokens.
BENCH_GENERATIONS = (
    (2_000.0, 20.0, 4, 16_000),
    (6_000.0, 40.0, 8, 32_000),
    (3_000.0, 30.0, 6, 24_000),
)
# Deadline and goal for the first token, in ms.
BENCH_TIERS = ((6_000, 1_000), (60_000, 10_000), (20_000, 10_000))


class TierResult(NamedTuple):
    """Outcomes of one tier's requests.

    Attributes
    ----------
    in_time : int
        Completed within their deadlines.
    late : int
        Completed after their deadlines or with a truncated answer.
    not_run : int
        Ended with a code of the class NOT_RUN.
    failed : int
        Ended in any other way.
    good_tokens : int
        Output tokens of the requests in time.
    first_token_p95_ms : float
        Of completed requests; 0 if there are none.
    """

    tier: str
    offered: int = 0
    in_time: int = 0
    late: int = 0
    not_run: int = 0
    failed: int = 0
    offered_tokens: int = 0
    good_tokens: int = 0
    first_token_p95_ms: float = 0.0


class PolicyResult(NamedTuple):
    """Outcome of one policy at one load.

    Attributes
    ----------
    repeated_tokens : int
        Prompt tokens computed again that some engine had computed before.
    discarded_tokens : int
        Other prompt tokens computed for requests that did not complete in time.
    not_run_but_ran : int
        Requests whose outcome says not run although an engine ran them; 0 unless there is a bug.
    ran_twice : int
        Requests that engines ran more than once; 0 unless there is a bug.
    """

    plan: str
    policy: str
    load: float
    seed: int
    duration_s: float
    tiers: tuple[TierResult, ...]
    prefilled_tokens: int
    repeated_tokens: int
    discarded_tokens: int
    attempts: int
    not_run_but_ran: int
    ran_twice: int


class EndedRequest(NamedTuple):
    """An arrival with its outcome and answer; `elapsed_s` and `deadline_s` count from arrival."""

    arrival: Arrival
    trace_id: str
    outcome: Outcome
    data: bytes
    elapsed_s: float
    deadline_s: float


def bench_plan(shape: str) -> Plan:
    """Return the plan `shape` (kestrel or asante), with speeds and deadlines for short runs."""
    plans: dict[str, Callable[[], Plan]] = {"kestrel": kestrel_lane_plan, "asante": asante_plan}
    plan = plans[shape]()
    generations = tuple(
        Generation(old.name, *speed) for old, speed in zip(plan.generations, BENCH_GENERATIONS)
    )
    tiers = tuple(
        Tier(old.name, old.rank, *times, old.reserved_share)
        for old, times in zip(plan.tiers, BENCH_TIERS)
    )
    return plan._replace(generations=generations, tiers=tiers)


def run_policy(shape: str, policy: str, load: float, duration_s: float, seed: int) -> PolicyResult:
    """Run one policy on one seeded list of arrivals, in virtual time.

    Raises
    ------
    GuavawalkError
        If trio, a dependency of the tests and of the load tool, is not installed.
    """
    plan = bench_plan(shape)
    arrivals = draw_arrivals(plan, load, duration_s, seed)

    async def run() -> PolicyResult:
        delay_s = plan.crossing_ms / 2000
        async with run_fleet(plan, delay_s=delay_s, placement_name=policy) as fleet:
            ended = await _send_all(fleet, arrivals, late=policy in BASELINES)
            result = _summarize(plan, fleet, ended)
        return result._replace(
            plan=shape, policy=policy, load=load, seed=seed, duration_s=duration_s
        )

    return run_in_virtual_time(run, seed)


async def _send_all(fleet: Fleet, arrivals: Sequence[Arrival], late: bool) -> list[EndedRequest]:
    ended: list[EndedRequest] = []
    async with anyio.create_task_group() as background:
        if late:
            await background.start(record_late_reports, fleet, REPORT_DELAY_S)
        await anyio.sleep(SETTLE_S)
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                await anyio.sleep_until(start_s + arrival.at_s)
                tasks.start_soon(_send, fleet, arrival, ended)
        background.cancel_scope.cancel()
    return ended


async def _send(fleet: Fleet, arrival: Arrival, ended: list[EndedRequest]) -> None:
    deadline_ms = next(t.deadline_ms for t in fleet.plan.tiers if t.name == arrival.tier)
    work = fleet.work(
        arrival.workspace,
        arrival.tier,
        arrival.text,
        output_tokens=arrival.output_tokens,
        model=fleet.plan.models[0].name,
        deadline_ms=deadline_ms,
        entry=arrival.entry,
    )._replace(expected_output_tokens=arrival.max_tokens, max_output_tokens=arrival.max_tokens)
    started_s = anyio.current_time()
    caller = await fleet.send(arrival.entry, work, MemoryCaller())
    elapsed_s = anyio.current_time() - started_s
    data = bytes(caller.data)
    ended.append(
        EndedRequest(arrival, work.trace_id, caller.outcome, data, elapsed_s, deadline_ms / 1000)
    )


def _summarize(plan: Plan, fleet: Fleet, ended: Sequence[EndedRequest]) -> PolicyResult:
    runs = [run for engine in fleet.engines.values() for run in engine.runs]
    runs_of_prompt: dict[str, list[RunRecord]] = {}
    for run in runs:
        runs_of_prompt.setdefault(run.prompt, []).append(run)
    prompts = {
        end.trace_id: mark_output(end.arrival.text, end.arrival.output_tokens) for end in ended
    }
    prompts_in_time = {prompts[end.trace_id] for end in ended if _in_time(end)}
    not_run = [end for end in ended if code_class(end.outcome.code) is CodeClass.NOT_RUN]
    repeated, discarded = count_waste(runs, prompts_in_time)
    return PolicyResult(
        plan="",
        policy="",
        load=0.0,
        seed=0,
        duration_s=0.0,
        tiers=tuple(
            _tier_result(t.name, [e for e in ended if e.arrival.tier == t.name]) for t in plan.tiers
        ),
        prefilled_tokens=sum(run.prefilled_tokens for run in runs),
        repeated_tokens=repeated,
        discarded_tokens=discarded,
        attempts=sum(end.outcome.attempts for end in ended),
        not_run_but_ran=sum(prompts[end.trace_id] in runs_of_prompt for end in not_run),
        ran_twice=sum(len(found) > 1 for found in runs_of_prompt.values()),
    )


def _in_time(end: EndedRequest) -> bool:
    # Each token of the engine model ends with the only space in it.
    is_complete = end.data.count(b" ") == end.arrival.output_tokens
    return end.outcome.code == 0 and is_complete and end.elapsed_s <= end.deadline_s


def count_waste(runs: Sequence[RunRecord], useful_prompts: set[str]) -> tuple[int, int]:
    """Return how many prompt tokens were computed repeatedly, and how many were discarded.

    Repeated tokens are counted in full cache blocks; a token is counted once, as repeated if it is
    both.

    Parameters
    ----------
    runs : sequence of RunRecord
        Requests that engines ran, in order.
    useful_prompts : set of str
        Prompts whose computation is no waste: those of requests that completed in time.
    """
    computed: set[int] = set()
    repeated = discarded = 0
    for run in runs:
        prompt_tokens = -(-len(run.prompt) // CHARS_PER_TOKEN)
        first = (prompt_tokens - run.prefilled_tokens) // BLOCK_TOKENS
        blocks = {hash(run.prompt[: end * BLOCK_CHARS]) for end in _block_ends(run.prompt, first)}
        again = len(blocks & computed) * BLOCK_TOKENS
        computed |= blocks
        repeated += again
        if run.prompt not in useful_prompts:
            discarded += run.prefilled_tokens - again
    return repeated, discarded


def _block_ends(prompt: str, first: int) -> range:
    return range(first + 1, len(prompt) // BLOCK_CHARS + 1)


def _tier_result(name: str, ended: Sequence[EndedRequest]) -> TierResult:
    in_time = [end for end in ended if _in_time(end)]
    completed = [end for end in ended if end.outcome.code == 0]
    not_run = sum(code_class(end.outcome.code) is CodeClass.NOT_RUN for end in ended)
    first_ms = sorted(end.outcome.first_token_ms for end in completed)
    return TierResult(
        tier=name,
        offered=len(ended),
        in_time=len(in_time),
        late=len(completed) - len(in_time),
        not_run=not_run,
        failed=len(ended) - len(completed) - not_run,
        offered_tokens=sum(end.arrival.output_tokens for end in ended),
        good_tokens=sum(end.arrival.output_tokens for end in in_time),
        first_token_p95_ms=round(first_ms[int(0.95 * len(first_ms))], 1) if first_ms else 0.0,
    )
