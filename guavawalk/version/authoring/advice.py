"""Warns of probable mistakes in a valid configuration."""

from collections.abc import Iterator
from itertools import combinations

from guavawalk.version.types import Configuration, Workspace

__all__ = ["advise"]


def advise(configuration: Configuration) -> Iterator[str]:
    """Yield a line for each probable mistake that nodes would accept.

    These are models and services that no target serves, pairs of data centres without a crossing,
    workspaces without keys or without anything to use, and models that a workspace may use but
    that no target in its data centres holds.
    """
    yield from _unserved_items(configuration)
    yield from _missing_crossings(configuration)
    for workspace in configuration.workspaces.values():
        yield from _workspace_advice(configuration, workspace)


def _unserved_items(configuration: Configuration) -> Iterator[str]:
    for name in configuration.models:
        if not _staying_names(configuration, configuration.targets_of_model.get(name, ())):
            yield f"models.{name}: no target holds it, or all that do are leaving"
    for name in configuration.services:
        if not _staying_names(configuration, configuration.targets_of_service.get(name, ())):
            yield f"services.{name}: no target serves it, or all that do are leaving"


def _staying_names(configuration: Configuration, names: tuple[str, ...]) -> list[str]:
    return [name for name in names if not configuration.targets[name].leaving]


def _missing_crossings(configuration: Configuration) -> Iterator[str]:
    for names in combinations(sorted(configuration.data_centres), 2):
        if names not in configuration.crossings:
            yield f"crossings.{'-'.join(names)}: not defined, so it counts as no delay and no price"


def _workspace_advice(configuration: Configuration, workspace: Workspace) -> Iterator[str]:
    field_path = f"workspaces.{workspace.name}"
    if not workspace.key_digests:
        yield f"{field_path}: it has no API key, so no caller can use it"
    if not workspace.models and not workspace.services:
        yield f"{field_path}: it may use neither a model nor a service"
    if not workspace.data_centres:
        return
    for model in workspace.models:
        targets = _staying_names(configuration, configuration.targets_of_model.get(model, ()))
        data_centres = {configuration.targets[name].data_centre for name in targets}
        if data_centres.isdisjoint(workspace.data_centres):
            yield f"{field_path}: no target in its data centres holds model {model}"
