"""Draws open-loop arrivals for benchmarks and load runs: bursts, mixed lengths, shared prefixes."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from guavawalk.request.prompt import CHARS_PER_TOKEN
from guavawalk.tools.plan import Plan
from guavawalk.version.types import Generation

__all__ = ["Arrival", "WorkKind", "capacity_requests_per_s", "draw_arrivals", "work_kinds"]

# The last BURST_LENGTH_S of every BURST_EVERY_S have BURST_FACTOR times the rate of the rest.
BURST_EVERY_S = 10.0
BURST_LENGTH_S = 1.0
BURST_FACTOR = 3.0
# Texts that the prompts of one workspace share: reports, of which it has several, and one system
# prompt.
REPORTS_PER_WORKSPACE = 6
REPORT_TOKENS = 3_400
SYSTEM_TOKENS = 512
WORDS = ("lantern", "glaze", "copper", "verdigris", "pane", "bracket", "basket", "school")


class WorkKind(NamedTuple):
    """One kind of request in the mix.

    Attributes
    ----------
    tier : str
        Name of its tier.
    share : float
        Part of all requests that are of this kind, from 0 to 1.
    shared_tokens : int
        Length of the prefix shared by all its requests of one workspace; 0 for none.
    own_tokens : int
        Length of the part of the prompt that no other request has.
    output_tokens : int
        Mean length of the answers; each is drawn from half to one and a half times of it.
    uses_report : bool
        Whether the prompt also contains one of the workspace's reports.
    """

    tier: str
    share: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    uses_report: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, in tokens."""
        report = REPORT_TOKENS if self.uses_report else 0
        return self.shared_tokens + report + self.own_tokens


class Arrival(NamedTuple):
    """One request of a run.

    Attributes
    ----------
    at_s : float
        When it arrives, from the start of the run.
    entry : str
        Data centre of the entry that receives it.
    workspace, tier : str
        Names of its workspace and its tier.
    text : str
        The prompt.
    output_tokens : int
        Length of the answer.
    max_tokens : int
        Upper bound on the answer that the request states.
    """

    at_s: float
    entry: str
    workspace: str
    tier: str
    text: str
    output_tokens: int
    max_tokens: int


def work_kinds(plan: Plan) -> tuple[WorkKind, ...]:
    """Return the request mix of a plan with three tiers: quick, long and bulk, by rank.

    Notes
    -----
    The long requests have 100 times the prompt and the output of the bulk ones.
    """
    quick, long, bulk = (tier.name for tier in plan.tiers)
    return (
        WorkKind(quick, 0.50, SYSTEM_TOKENS, 60, 24),
        WorkKind(long, 0.05, SYSTEM_TOKENS, 88, 400, uses_report=True),
        WorkKind(bulk, 0.45, 0, 40, 4),
    )


def capacity_requests_per_s(plan: Plan) -> float:
    """Return the rate of the mix, in requests/s, that keeps every slot of every engine busy.

    Notes
    -----
    A request occupies a slot for its prefill, with nothing cached, and its decoding at the speed of
    a full batch; an engine prefills one prompt at a time.
    """
    generations = {generation.name: generation for generation in plan.generations}
    kinds = work_kinds(plan)
    engines = [target for target in plan.targets if target.generation]
    return sum(_engine_requests_per_s(generations[engine.generation], kinds) for engine in engines)


def _engine_requests_per_s(generation: Generation, kinds: tuple[WorkKind, ...]) -> float:
    prompt_tokens = sum(kind.share * kind.prompt_tokens for kind in kinds)
    output_tokens = sum(kind.share * kind.output_tokens for kind in kinds)
    prefill_s = prompt_tokens / generation.prefill_tokens_per_s
    decode_s = output_tokens / generation.decode_tokens_per_s
    return min(generation.batch_slots / (prefill_s + decode_s), 1 / prefill_s)


def draw_arrivals(plan: Plan, load: float, duration_s: float, seed: int) -> list[Arrival]:
    """Draw the arrivals of one run; the same arguments give the same list.

    Parameters
    ----------
    load : float
        Mean rate, in multiples of the plan's capacity.
    duration_s : float
        Time for which requests arrive.
    seed : int
        Seed of the random generator.
    """
    rng = random.Random(seed)
    rate = load * capacity_requests_per_s(plan)
    texts = _SharedTexts(plan, rng)
    return [_draw_arrival(plan, texts, at_s, rng) for at_s in _arrival_times(rate, duration_s, rng)]


def _arrival_times(rate: float, duration_s: float, rng: random.Random) -> Iterator[float]:
    share = BURST_LENGTH_S / BURST_EVERY_S
    base = rate / (1 + (BURST_FACTOR - 1) * share)
    now_s = 0.0
    while True:
        in_burst = now_s % BURST_EVERY_S >= BURST_EVERY_S - BURST_LENGTH_S
        now_s += rng.expovariate(base * (BURST_FACTOR if in_burst else 1.0))
        if now_s >= duration_s:
            return
        yield now_s


class _SharedTexts:
    def __init__(self, plan: Plan, rng: random.Random) -> None:
        names = [workspace.name for workspace in plan.workspaces]
        self.systems = {name: _random_text(SYSTEM_TOKENS, rng) for name in names}
        self.reports = {
            name: [_random_text(REPORT_TOKENS, rng) for _ in range(REPORTS_PER_WORKSPACE)]
            for name in names
        }
        self.weights = [1 / (index + 1) for index in range(len(names))]
        self.names = names


def _draw_arrival(plan: Plan, texts: _SharedTexts, at_s: float, rng: random.Random) -> Arrival:
    kinds = work_kinds(plan)
    kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
    workspace = rng.choices(texts.names, texts.weights)[0]
    output_tokens = max(1, round(kind.output_tokens * rng.uniform(0.5, 1.5)))
    parts = []
    if kind.shared_tokens:
        parts.append(texts.systems[workspace])
    if kind.uses_report:
        parts.append(rng.choice(texts.reports[workspace]))
    parts.append(_random_text(kind.own_tokens, rng))
    return Arrival(
        at_s=at_s,
        entry=rng.choice(plan.entries),
        workspace=workspace,
        tier=kind.tier,
        text="".join(parts),
        output_tokens=output_tokens,
        max_tokens=2 * kind.output_tokens,
    )


def _random_text(tokens: int, rng: random.Random) -> str:
    chars = tokens * CHARS_PER_TOKEN
    words: list[str] = []
    length = 0
    while length < chars:
        words.append(f"{rng.choice(WORDS)}{rng.randrange(10_000)} ")
        length += len(words[-1])
    return "".join(words)[:chars]
