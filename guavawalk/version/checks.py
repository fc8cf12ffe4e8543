"""Checks the references between the items of a configuration, and values of workspaces."""

from collections.abc import Container, Iterable

from guavawalk.exception import ConfigurationError
from guavawalk.version.types import Configuration, Target, Tier, Workspace

__all__ = ["REFERENCE_KINDS", "check_targets", "check_tiers", "check_workspaces"]

# Kinds of items that targets and workspaces refer to.
REFERENCE_KINDS = ("tiers", "data_centres", "generations", "models", "services")
# Allowed values of a target's `kind`.
TARGET_KINDS = ("model", "service")


def check_tiers(tiers: Iterable[Tier]) -> None:
    """Raise `ConfigurationError` if the ranks are not 0, 1, 2 and so on without gaps."""
    ranks = sorted(tier.rank for tier in tiers)
    if ranks != list(range(len(ranks))):
        raise ConfigurationError("tiers", f"found ranks {ranks}, allowed are 0, 1, … without gaps")


def check_targets(targets: Iterable[Target], configuration: Configuration) -> None:
    """Raise `ConfigurationError` for a target of unknown kind or with an undefined reference."""
    for target in targets:
        field_path = f"targets.{target.name}"
        _check_known(f"{field_path}.kind", (target.kind,), TARGET_KINDS)
        _check_known(f"{field_path}.data_centre", (target.data_centre,), configuration.data_centres)
        if target.kind == "service":
            _check_known(f"{field_path}.service", (target.service,), configuration.services)
            continue
        _check_known(f"{field_path}.generation", (target.generation,), configuration.generations)
        names = tuple(model.partition("@")[0] for model in target.desired.models)
        _check_known(f"{field_path}.desired.models", names, configuration.models)


def check_workspaces(workspaces: Iterable[Workspace], configuration: Configuration) -> None:
    """Raise `ConfigurationError` for a workspace with an undefined reference or a bad value.

    Notes
    -----
    The weight has to be above 0, and limits must not be negative.
    """
    for workspace in workspaces:
        field_path = f"workspaces.{workspace.name}"
        _check_known(f"{field_path}.tiers", workspace.tiers, configuration.tiers)
        _check_known(f"{field_path}.default_tier", (workspace.default_tier,), workspace.tiers)
        _check_known(f"{field_path}.models", workspace.models, configuration.models)
        _check_known(f"{field_path}.services", workspace.services, configuration.services)
        _check_known(
            f"{field_path}.data_centres", workspace.data_centres, configuration.data_centres
        )
        if workspace.weight <= 0:
            raise ConfigurationError(
                f"{field_path}.weight", "found 0 or less, allowed is more than 0"
            )
        for field, value in workspace.limits._asdict().items():
            if value < 0:
                raise ConfigurationError(
                    f"{field_path}.limits.{field}", "found less than 0, allowed is 0 or more"
                )


def _check_known(field_path: str, names: Iterable[str], known: Container[str]) -> None:
    for name in names:
        if name not in known:
            raise ConfigurationError(field_path, f"found {name!r}, which is not defined")
