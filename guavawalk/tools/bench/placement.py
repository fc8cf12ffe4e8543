"""`guavawalk bench placement`: time of one placement decision among many targets."""

import random
import time
from typing import NamedTuple

from guavawalk.process.clock import Clock
from guavawalk.process.entry.view import create_fleet_view
from guavawalk.request.placement import capable_targets
from guavawalk.request.policies import create_placement
from guavawalk.request.prompt import prefix_hashes
from guavawalk.request.types import LoadReport, Work
from guavawalk.version.build import build_configuration
from guavawalk.version.publish import render_documents
from guavawalk.version.types import (
    Crossing,
    DataCentre,
    DesiredState,
    Generation,
    Model,
    Target,
    Tier,
    Workspace,
)

__all__ = ["PlacementCost", "create_placement_scenario", "measure_placement"]

DATA_CENTRES = 15
GENERATIONS = 4
TIERS = 4
SHARED_PROMPTS = 200
PROMPT_CHARS = 8_000
WARM_UP_DECISIONS = 2_000


class PlacementCost(NamedTuple):
    """Time of one decision, in microseconds."""

    decisions: int
    mean_us: float
    p50_us: float
    p99_us: float


class WallClock:
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


def create_placement_scenario(
    known: int, capable: int, seed: int
) -> tuple[Work, str, list[Target]]:
    """Create a configuration of `known` targets, of which `capable` hold the work's model.

    Returns
    -------
    work : Work
        A request with a prompt of several blocks.
    local_data_centre : str
        Data centre of the entry.
    targets : list of Target
        The capable ones.
    """
    rng = random.Random(seed)
    centres = [f"centre-{index}" for index in range(DATA_CENTRES)]
    targets = [_target(index, rng.choice(centres), index < capable) for index in range(known)]
    tiers = [Tier(f"tier-{rank}", rank) for rank in range(TIERS)]
    names = tuple(tier.name for tier in tiers)
    workspace = Workspace("studio", (), names, names[0], models=("wanted", "other"))
    shard = {
        "tiers": tiers,
        "data_centres": [DataCentre(name, "region") for name in centres],
        "crossings": [Crossing(a, b, 3.0, 1.0) for a in centres for b in centres if a < b],
        "generations": [
            Generation(f"gen-{index}", 4_000.0 * (index + 1), 30.0 * (index + 1), 8)
            for index in range(GENERATIONS)
        ],
        "models": [Model("wanted"), Model("other")],
        "targets": targets,
        "workspaces": [workspace],
    }
    configuration = build_configuration(render_documents(1, shard))
    text = "".join(rng.choice("abcdefgh ") for _ in range(PROMPT_CHARS))
    work = Work(
        trace_id="",
        configuration=configuration,
        workspace=workspace,
        tier=tiers[1],
        deadline_s=60.0,
        model="wanted",
        prompt_tokens=len(text) // 4,
        expected_output_tokens=40,
        prefix_hashes=prefix_hashes("wanted", text),
    )
    return work, centres[0], capable_targets(work, configuration)


def _target(index: int, centre: str, capable: bool) -> Target:
    return Target(
        name=f"target-{index:04}",
        kind="model",
        data_centre=centre,
        sidecar="127.0.0.1:1",
        generation=f"gen-{index % GENERATIONS}",
        desired=DesiredState(models=("wanted",) if capable else ("other",)),
    )


def measure_placement(
    policy: str, known: int = 2_100, capable: int = 60, decisions: int = 20_000, seed: int = 1
) -> PlacementCost:
    """Measure the choice of a target: filtering by configuration, and ranking by the entry's view.

    Notes
    -----
    Prompts are drawn from SHARED_PROMPTS texts. After each decision the sidecar's reply is
    recorded, outside the measured time. The first WARM_UP_DECISIONS decisions are not counted.
    """
    rng = random.Random(seed)
    work, local_data_centre, _ = create_placement_scenario(known, capable, seed)
    texts = ["".join(rng.choices("abcdefgh ", k=PROMPT_CHARS)) for _ in range(SHARED_PROMPTS)]
    works = [work._replace(prefix_hashes=prefix_hashes("wanted", text)) for text in texts]
    clock: Clock = WallClock()
    view = create_fleet_view(clock)
    placement = create_placement(policy, seed)
    elapsed_us = []
    for index in range(WARM_UP_DECISIONS + decisions):
        chosen = rng.choice(works)
        started_ns = time.perf_counter_ns()
        targets = capable_targets(chosen, chosen.configuration)
        ranked = placement.rank(chosen, local_data_centre, targets, view.for_work(chosen))
        if index >= WARM_UP_DECISIONS:
            elapsed_us.append((time.perf_counter_ns() - started_ns) / 1_000)
        name = ranked[0].target.name
        view.record_offer(name, chosen)
        view.record_load(name, LoadReport((rng.randrange(3),) * TIERS, rng.randrange(9), 8))
        view.record_offer_end(name, chosen)
    elapsed_us.sort()
    return PlacementCost(
        decisions,
        sum(elapsed_us) / decisions,
        elapsed_us[decisions // 2],
        elapsed_us[decisions * 99 // 100],
    )
