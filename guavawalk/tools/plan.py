"""Plans of small deployments, for the demo, tests, benchmarks and load runs."""

from typing import NamedTuple

from guavawalk.version.documents import digest_bytes
from guavawalk.version.types import (
    Crossing,
    DataCentre,
    DesiredState,
    Generation,
    Model,
    Service,
    Target,
    Tier,
    Workspace,
)

__all__ = ["Plan", "PlannedTarget", "asante_plan", "kestrel_lane_plan", "plan_parts"]


class PlannedTarget(NamedTuple):
    """A target of the deployment: an engine has a `generation`, a plain service a `service`."""

    name: str
    data_centre: str
    generation: str = ""
    service: str = ""
    models: tuple[str, ...] = ()


class Plan(NamedTuple):
    """Nodes and configuration of a deployment.

    Attributes
    ----------
    entries : tuple of str
        Data centres that have an entry.
    crossing_ms : float
        Delay between two data centres that the configuration states. Benchmarks and load runs
        simulate half of it as the one-way delay between any two nodes.
    api_keys : dict of str to str
        API key of each workspace.
    """

    data_centres: tuple[str, ...]
    entries: tuple[str, ...]
    targets: tuple[PlannedTarget, ...]
    generations: tuple[Generation, ...]
    tiers: tuple[Tier, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    crossing_ms: float
    api_keys: dict[str, str]


def kestrel_lane_plan() -> Plan:
    """Return a plan like Kestrel Lane: three data centres, five engines, three booking servers."""
    centres = ("victoria", "nanaimo", "vancouver")
    engines = tuple(
        PlannedTarget(
            f"engine-{i}", centres[i % 3], "gen-b" if i % 2 else "gen-a", models=("quill",)
        )
        for i in range(5)
    )
    bookings = tuple(PlannedTarget(f"booking-{i}", centres[i], service="booking") for i in range(3))
    names = ("heritage", "harbour", "lamplight", "westcoast", "council")
    return Plan(
        data_centres=centres,
        entries=centres,
        targets=engines + bookings,
        generations=(
            Generation("gen-a", 4_000.0, 120.0, 8, 64_000),
            Generation("gen-b", 12_000.0, 240.0, 16, 128_000),
        ),
        tiers=(
            Tier("onsite", 0, 10_000, 1_000, 0.2),
            Tier("plan", 1, 120_000, 10_000),
            Tier("tag", 2, 30_000, 10_000),
        ),
        models=(Model("quill"),),
        services=(Service("booking"),),
        workspaces=_workspaces(names, ("onsite", "plan", "tag"), "plan", "quill", "booking"),
        crossing_ms=3.0,
        api_keys={name: _api_key(name) for name in names},
    )


def asante_plan() -> Plan:
    """Return a plan like the Asante Trust: four data centres, ten engines, four ledger servers."""
    centres = ("kumasi", "obuasi", "ejisu", "mampong")
    generations = ("gen-a", "gen-b", "gen-c")
    engines = tuple(
        PlannedTarget(f"engine-{i}", centres[i % 4], generations[i % 3], models=("weaver",))
        for i in range(10)
    )
    ledgers = tuple(PlannedTarget(f"ledger-{i}", centres[i], service="ledger") for i in range(4))
    names = ("sponsors", "weavers", "reports", "schools", "ledger")
    return Plan(
        data_centres=centres,
        entries=centres,
        targets=engines + ledgers,
        generations=(
            Generation("gen-a", 4_000.0, 120.0, 8, 64_000),
            Generation("gen-b", 12_000.0, 240.0, 16, 128_000),
            Generation("gen-c", 6_000.0, 160.0, 12, 96_000),
        ),
        tiers=(
            Tier("quick", 0, 10_000, 1_000, 0.2),
            Tier("report", 1, 120_000, 10_000),
            Tier("summary", 2, 30_000, 10_000),
        ),
        models=(Model("weaver"),),
        services=(Service("ledger"),),
        workspaces=_workspaces(names, ("quick", "report", "summary"), "quick", "weaver", "ledger"),
        crossing_ms=4.0,
        api_keys={name: _api_key(name) for name in names},
    )


def _api_key(workspace: str) -> str:
    return f"key-{workspace}"


def _workspaces(
    names: tuple[str, ...], tiers: tuple[str, ...], default_tier: str, model: str, service: str
) -> tuple[Workspace, ...]:
    return tuple(
        Workspace(
            name,
            (digest_bytes(_api_key(name).encode()),),
            tiers,
            default_tier,
            models=(model,),
            services=(service,),
        )
        for name in names
    )


def plan_parts(plan: Plan, addresses: dict[str, str]) -> dict:
    """Return the configuration of a plan, by field of `ShardDocument`.

    Parameters
    ----------
    addresses : dict of str to str
        Address of each target's sidecar, by target.
    """
    centres = plan.data_centres
    crossings = [
        Crossing(a, b, plan.crossing_ms, 1.0) for i, a in enumerate(centres) for b in centres[:i]
    ]
    targets = [
        Target(
            name=t.name,
            kind="service" if t.service else "model",
            data_centre=t.data_centre,
            sidecar=addresses[t.name],
            generation=t.generation,
            service=t.service,
            desired=DesiredState(models=t.models),
            checks_fencing=True,
        )
        for t in plan.targets
    ]
    return {
        "tiers": plan.tiers,
        "data_centres": [DataCentre(name, "coast") for name in centres],
        "crossings": crossings,
        "generations": plan.generations,
        "models": plan.models,
        "services": plan.services,
        "targets": targets,
        "workspaces": plan.workspaces,
    }
