"""`guavawalk bench render`: cost of rendering, checking and building a large configuration."""

import time
import tracemalloc
from typing import NamedTuple

from guavawalk.version.authoring import Draft, create_draft, render_draft
from guavawalk.version.build import build_configuration
from guavawalk.version.documents import VersionDocuments
from guavawalk.version.types import WorkspaceLimits

__all__ = ["RenderFigures", "create_large_draft", "measure_render"]

TIERS = 4
REGIONS = 5
DATA_CENTRES = 15
GENERATIONS = 4
MODELS = 38
# Models of each engine and of each workspace.
MODELS_EACH = 3


class RenderFigures(NamedTuple):
    """Cost of rendering and building a configuration.

    Attributes
    ----------
    write_s : float
        Time to fill the draft.
    render_s : float
        Time to divide it into shards, to render them, and to check that nodes would accept them.
    build_s : float
        Time to build it from its documents, as a node does.
    changed_shards, changed_bytes : int
        Number and total size of the shards that differ after a change of one workspace.
    held_bytes : int
        Memory of the built configuration.
    """

    workspaces: int
    targets: int
    write_s: float
    render_s: float
    build_s: float
    shards: int
    root_bytes: int
    largest_shard_bytes: int
    total_bytes: int
    changed_shards: int
    changed_bytes: int
    held_bytes: int


def create_large_draft(workspaces: int, targets: int) -> Draft:
    """Create a draft with 4 tiers, 15 data centres in 5 regions, 4 generations and 38 models."""
    draft = create_draft()
    tiers = [draft.add_tier(f"tier-{index}") for index in range(TIERS)]
    centres = [
        draft.add_data_centre(f"dc-{index}", region=f"region-{index % REGIONS}")
        for index in range(DATA_CENTRES)
    ]
    for index, centre in enumerate(centres):
        for other in centres[:index]:
            draft.add_crossing(centre, other, delay_ms=3.0, price=1.0)
    generations = [
        draft.add_generation(
            f"gen-{index}",
            prefill_tokens_per_s=4_000 * (index + 1),
            decode_tokens_per_s=100 * (index + 1),
            batch_slots=8,
        )
        for index in range(GENERATIONS)
    ]
    models = [draft.add_model(f"model-{index}") for index in range(MODELS)]
    for index in range(targets):
        draft.add_engine(
            f"engine-{index}",
            centres[index % DATA_CENTRES],
            f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:7000",
            generations[index % GENERATIONS],
            models=[models[(index + step) % MODELS] for step in range(MODELS_EACH)],
        )
    for index in range(workspaces):
        draft.add_workspace(
            f"workspace-{index}",
            tiers=tiers,
            models=[models[(index + step) % MODELS] for step in range(MODELS_EACH)],
            keys=[f"key-{index}-a", f"key-{index}-b"],
            requests_per_s=10.0,
        )
    return draft


def measure_render(workspaces: int, targets: int) -> RenderFigures:
    """Measure writing, rendering, checking and building a configuration, then a change of it."""
    started_s = time.perf_counter()
    draft = create_large_draft(workspaces, targets)
    written_s = time.perf_counter()
    documents = render_draft(draft, 1)
    rendered_s = time.perf_counter()
    build_configuration(documents)
    built_s = time.perf_counter()
    changed = _shards_of_changed_workspace(draft, documents)
    return RenderFigures(
        workspaces=workspaces,
        targets=targets,
        write_s=written_s - started_s,
        render_s=rendered_s - written_s,
        build_s=built_s - rendered_s,
        shards=len(documents.shards),
        root_bytes=len(documents.root),
        largest_shard_bytes=max(map(len, documents.shards)),
        total_bytes=sum(map(len, documents.shards)),
        changed_shards=len(changed),
        changed_bytes=sum(map(len, changed)),
        held_bytes=_held_bytes(documents),
    )


def _shards_of_changed_workspace(draft: Draft, documents: VersionDocuments) -> set[bytes]:
    name = sorted(draft.workspaces)[len(draft.workspaces) // 2]
    limits = WorkspaceLimits(requests_per_s=20.0)
    draft.workspaces[name] = draft.workspaces[name]._replace(limits=limits)
    return set(render_draft(draft, 2).shards) - set(documents.shards)


def _held_bytes(documents: VersionDocuments) -> int:
    tracemalloc.start()
    configuration = build_configuration(documents)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return held_bytes
