"""What a valid configuration probably lacks, in words."""

from collections.abc import Iterator
from itertools import combinations

from guavawalk.version.types import Configuration, Workspace

__all__ = ["advise"]


def advise(configuration: Configuration) -> Iterator[str]:
    """Give a line for each thing that nodes would take but that hardly is meant."""
    yield from _unserved(configuration)
    yield from _missing_crossings(configuration)
    for workspace in configuration.workspaces.values():
        yield from _workspace_advice(configuration, workspace)


def _unserved(configuration: Configuration) -> Iterator[str]:
    for name in configuration.models:
        if not _live(configuration, configuration.targets_of_model.get(name, ())):
            yield f"models.{name}: no target that stays holds it"
    for name in configuration.services:
        if not _live(configuration, configuration.targets_of_service.get(name, ())):
            yield f"services.{name}: no target that stays serves it"


def _live(configuration: Configuration, names: tuple[str, ...]) -> list[str]:
    return [name for name in names if not configuration.targets[name].leaving]


def _missing_crossings(configuration: Configuration) -> Iterator[str]:
    for pair in combinations(sorted(configuration.data_centres), 2):
        if pair not in configuration.crossings:
            yield f"crossings.{'-'.join(pair)}: not given, so the way costs nothing"


def _workspace_advice(configuration: Configuration, workspace: Workspace) -> Iterator[str]:
    field_path = f"workspaces.{workspace.name}"
    if not workspace.key_digests:
        yield f"{field_path}: it has no key, so nobody can call"
    if not workspace.models and not workspace.services:
        yield f"{field_path}: it may use no model and no service"
    if not workspace.data_centres:
        return
    for model in workspace.models:
        targets = _live(configuration, configuration.targets_of_model.get(model, ()))
        centres = {configuration.targets[name].data_centre for name in targets}
        if centres.isdisjoint(workspace.data_centres):
            yield f"{field_path}: none of its data centres holds model {model}"
