"""Whether what the items of a configuration name is defined in it."""

from collections.abc import Container, Iterable

from guavawalk.exception import ConfigurationError
from guavawalk.version.types import Configuration, Target, Tier, Workspace

__all__ = ["REFERENCE_KINDS", "check_targets", "check_tiers", "check_workspaces"]

REFERENCE_KINDS = ("tiers", "data_centres", "generations", "models", "services")
TARGET_KINDS = ("model", "service")


def check_tiers(tiers: Iterable[Tier]) -> None:
    """Refuse ranks with gaps."""
    ranks = sorted(tier.rank for tier in tiers)
    if ranks != list(range(len(ranks))):
        raise ConfigurationError("tiers", f"found ranks {ranks}, allowed are 0, 1, … without gaps")


def check_targets(targets: Iterable[Target], configuration: Configuration) -> None:
    """Refuse targets that name what isn't there."""
    for target in targets:
        place = f"targets.{target.name}"
        _check_known(f"{place}.kind", (target.kind,), TARGET_KINDS)
        _check_known(f"{place}.data_centre", (target.data_centre,), configuration.data_centres)
        if target.kind == "service":
            _check_known(f"{place}.service", (target.service,), configuration.services)
            continue
        _check_known(f"{place}.generation", (target.generation,), configuration.generations)
        names = tuple(model.partition("@")[0] for model in target.desired.models)
        _check_known(f"{place}.desired.models", names, configuration.models)


def check_workspaces(workspaces: Iterable[Workspace], configuration: Configuration) -> None:
    """Refuse workspaces that name what isn't there, or have limits that can't be."""
    for workspace in workspaces:
        place = f"workspaces.{workspace.name}"
        _check_known(f"{place}.tiers", workspace.tiers, configuration.tiers)
        _check_known(f"{place}.default_tier", (workspace.default_tier,), workspace.tiers)
        _check_known(f"{place}.models", workspace.models, configuration.models)
        _check_known(f"{place}.services", workspace.services, configuration.services)
        _check_known(f"{place}.data_centres", workspace.data_centres, configuration.data_centres)
        if workspace.weight <= 0:
            raise ConfigurationError(f"{place}.weight", "allowed is more than 0")
        for field, value in workspace.limits._asdict().items():
            if value < 0:
                raise ConfigurationError(f"{place}.limits.{field}", "allowed is 0 or more")


def _check_known(place: str, names: Iterable[str], known: Container[str]) -> None:
    for name in names:
        if name not in known:
            raise ConfigurationError(place, f"found {name!r}, which is not defined")
