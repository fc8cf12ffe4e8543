"""Describes the differences between two configurations, with the workspaces that they affect."""

from collections.abc import Iterable, Mapping
from itertools import chain
from typing import Any, NamedTuple

from guavawalk.version.types import Configuration, Target

__all__ = ["Change", "describe_changes"]

# Largest number of workspaces that the text of a change names; others are counted.
MAX_NAMES_SHOWN = 3
# Field of which only the number of changed values is shown.
SECRET_FIELD = "key_digests"
# Kinds of items: the name in descriptions, and the field of `Configuration`.
ITEM_KINDS = (
    ("tier", "tiers"),
    ("data centre", "data_centres"),
    ("generation", "generations"),
    ("model", "models"),
    ("service", "services"),
    ("target", "targets"),
    ("workspace", "workspaces"),
)


class Change(NamedTuple):
    """One difference between two configurations.

    Attributes
    ----------
    subject : str
        Kind and name of the item that changes.
    description : str
        Its changed fields with old and new values, or that the item is new or removed.
    workspaces : tuple of str
        Names of the workspaces that are affected.
    """

    subject: str
    description: str
    workspaces: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.subject}: {self.description}; concerns {_list_names(self.workspaces)}"


class AccessRules(NamedTuple):
    """Fields of a workspace that determine which items of a configuration it uses."""

    tiers: tuple[str, ...]
    models: tuple[str, ...]
    services: tuple[str, ...]
    data_centres: tuple[str, ...]


class ConfigurationPair(NamedTuple):
    """Two configurations, with the names of the workspaces of both by their access rules."""

    old: Configuration
    new: Configuration
    workspaces_by_rules: Mapping[AccessRules, set[str]]


def describe_changes(old: Configuration, new: Configuration) -> list[Change]:
    """Return the changes from one configuration to another.

    They are sorted by kind of item and name, followed by changes of crossings and of the targets
    that serve a model or service. The list is empty if nothing changes.
    """
    pair = ConfigurationPair(old, new, _workspaces_by_rules(old, new))
    changes = [change for kind, field in ITEM_KINDS for change in _item_changes(pair, kind, field)]
    return changes + _crossing_changes(pair) + _serving_changes(pair)


def _workspaces_by_rules(old: Configuration, new: Configuration) -> dict[AccessRules, set[str]]:
    workspaces_by_rules: dict[AccessRules, set[str]] = {}
    for workspace in chain(old.workspaces.values(), new.workspaces.values()):
        rules = AccessRules(
            workspace.tiers, workspace.models, workspace.services, workspace.data_centres
        )
        workspaces_by_rules.setdefault(rules, set()).add(workspace.name)
    return workspaces_by_rules


def _item_changes(pair: ConfigurationPair, kind: str, field: str) -> Iterable[Change]:
    before: Mapping[str, Any] = getattr(pair.old, field)
    after: Mapping[str, Any] = getattr(pair.new, field)
    for name in sorted({*before, *after}):
        description = _describe(before.get(name), after.get(name))
        if description:
            yield Change(f"{kind} {name}", description, _affected_workspaces(pair, field, name))


def _describe(before: Any, after: Any) -> str:
    if before == after:
        return ""
    if before is None:
        return "is new"
    if after is None:
        return "is removed"
    return ", ".join(_describe_fields(before, after))


def _describe_fields(before: Any, after: Any) -> Iterable[str]:
    for field, old in before._asdict().items():
        new = getattr(after, field)
        if old == new:
            continue
        if field == SECRET_FIELD:
            yield f"{len({*new} - {*old})} API keys added, {len({*old} - {*new})} withdrawn"
        elif hasattr(old, "_asdict"):
            yield from _describe_fields(old, new)
        elif isinstance(old, tuple):
            yield _describe_tuple(field, old, new)
        else:
            yield f"{field} from {_format_value(old)} to {_format_value(new)}"


def _describe_tuple(field: str, old: tuple, new: tuple) -> str:
    added = [f"+{item}" for item in new if item not in old]
    removed = [f"-{item}" for item in old if item not in new]
    return f"{field} {' '.join(added + removed) or 'in another order'}"


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return repr(value) if value == "" else str(value)


def _crossing_changes(pair: ConfigurationPair) -> list[Change]:
    old, new = pair.old.crossings, pair.new.crossings
    changes = []
    for data_centres in sorted({*old, *new}):
        description = _describe(old.get(data_centres), new.get(data_centres))
        if description and data_centres[0] < data_centres[1]:
            all_workspaces = tuple(sorted(pair.new.workspaces))
            changes.append(
                Change(f"crossing {data_centres[0]}-{data_centres[1]}", description, all_workspaces)
            )
    return changes


def _serving_changes(pair: ConfigurationPair) -> list[Change]:
    changes = []
    for kind, field, lookup in (
        ("model", "models", "targets_of_model"),
        ("service", "services", "targets_of_service"),
    ):
        old, new = getattr(pair.old, lookup), getattr(pair.new, lookup)
        for name in sorted({*old, *new}):
            before = _serving_names(pair.old, old.get(name, ()))
            after = _serving_names(pair.new, new.get(name, ()))
            if before != after:
                description = f"served by {len(after)} targets instead of {len(before)}"
                affected = _affected_workspaces(pair, field, name)
                changes.append(Change(f"{kind} {name}", description, affected))
    return changes


def _serving_names(configuration: Configuration, names: Iterable[str]) -> set[str]:
    return {name for name in names if not configuration.targets[name].leaving}


def _affected_workspaces(pair: ConfigurationPair, field: str, name: str) -> tuple[str, ...]:
    if field == "workspaces":
        return (name,)
    targets = _targets_of_item(pair, field, name)
    affected: set[str] = set()
    for rules, names in pair.workspaces_by_rules.items():
        if _uses_item(rules, field, name, targets):
            affected |= names
    return tuple(sorted(affected))


def _targets_of_item(pair: ConfigurationPair, field: str, name: str) -> list[Target]:
    targets = [*pair.old.targets.values(), *pair.new.targets.values()]
    if field == "targets":
        return [target for target in targets if target.name == name]
    if field == "generations":
        return [target for target in targets if target.generation == name]
    return []


def _uses_item(rules: AccessRules, field: str, name: str, targets: Iterable[Target]) -> bool:
    if field in ("tiers", "models", "services"):
        return name in getattr(rules, field)
    if field == "data_centres":
        return not rules.data_centres or name in rules.data_centres
    return any(_may_use_target(rules, target) for target in targets)


def _may_use_target(rules: AccessRules, target: Target) -> bool:
    if rules.data_centres and target.data_centre not in rules.data_centres:
        return False
    if target.service:
        return target.service in rules.services
    models = {model.partition("@")[0] for model in target.desired.models}
    return not models.isdisjoint(rules.models)


def _list_names(names: tuple[str, ...]) -> str:
    if not names:
        return "no workspace"
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    hidden = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {hidden} other workspaces" if hidden > 0 else f"workspace {shown}"
