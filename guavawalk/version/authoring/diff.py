"""What a new configuration would change, in words, and for whom."""

from collections.abc import Iterable, Mapping
from itertools import chain
from typing import Any, NamedTuple

from guavawalk.version.types import Configuration, Target

__all__ = ["Change", "describe_changes"]

MAX_NAMES = 3
SECRET_FIELD = "key_digests"
KINDS = (
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
        Kind and name of what changes.
    words : str
        What changes about it.
    workspaces : tuple of str
        Whom it concerns, by name.
    """

    subject: str
    words: str
    workspaces: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.subject}: {self.words}; concerns {_count_names(self.workspaces)}"


class Rules(NamedTuple):
    """What decides which parts of a configuration a workspace uses."""

    tiers: tuple[str, ...]
    models: tuple[str, ...]
    services: tuple[str, ...]
    data_centres: tuple[str, ...]


class Pair(NamedTuple):
    """Two configurations, with the workspaces of both by their rules."""

    old: Configuration
    new: Configuration
    names_by_rules: Mapping[Rules, set[str]]


def describe_changes(old: Configuration, new: Configuration) -> list[Change]:
    """Describe the way from one configuration to another, in the order of its parts."""
    pair = Pair(old, new, _names_by_rules(old, new))
    changes = [change for kind, field in KINDS for change in _changes(pair, kind, field)]
    return changes + _crossing_changes(pair) + _serving_changes(pair)


def _names_by_rules(old: Configuration, new: Configuration) -> dict[Rules, set[str]]:
    found: dict[Rules, set[str]] = {}
    for workspace in chain(old.workspaces.values(), new.workspaces.values()):
        rules = Rules(workspace.tiers, workspace.models, workspace.services, workspace.data_centres)
        found.setdefault(rules, set()).add(workspace.name)
    return found


def _changes(pair: Pair, kind: str, field: str) -> Iterable[Change]:
    before: Mapping[str, Any] = getattr(pair.old, field)
    after: Mapping[str, Any] = getattr(pair.new, field)
    for name in sorted({*before, *after}):
        words = _words(before.get(name), after.get(name))
        if words:
            yield Change(f"{kind} {name}", words, _concerned(pair, field, name))


def _words(before: Any, after: Any) -> str:
    if before == after:
        return ""
    if before is None:
        return "is new"
    if after is None:
        return "is no longer there"
    return ", ".join(_field_words(before, after))


def _field_words(before: Any, after: Any) -> Iterable[str]:
    for field, old in before._asdict().items():
        new = getattr(after, field)
        if old == new:
            continue
        if field == SECRET_FIELD:
            yield f"{len({*new} - {*old})} API keys added, {len({*old} - {*new})} withdrawn"
        elif hasattr(old, "_asdict"):
            yield from _field_words(old, new)
        elif isinstance(old, tuple):
            yield _tuple_words(field, old, new)
        else:
            yield f"{field} from {_show(old)} to {_show(new)}"


def _tuple_words(field: str, old: tuple, new: tuple) -> str:
    added = [f"+{item}" for item in new if item not in old]
    removed = [f"-{item}" for item in old if item not in new]
    return f"{field} {' '.join(added + removed) or 'in another order'}"


def _show(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return repr(value) if value == "" else str(value)


def _crossing_changes(pair: Pair) -> list[Change]:
    old, new = pair.old.crossings, pair.new.crossings
    changes = []
    for ends in sorted({*old, *new}):
        words = _words(old.get(ends), new.get(ends))
        if words and ends[0] < ends[1]:
            everyone = tuple(sorted(pair.new.workspaces))
            changes.append(Change(f"crossing {ends[0]}-{ends[1]}", words, everyone))
    return changes


def _serving_changes(pair: Pair) -> list[Change]:
    changes = []
    for kind, field, lookup in (
        ("model", "models", "targets_of_model"),
        ("service", "services", "targets_of_service"),
    ):
        old, new = getattr(pair.old, lookup), getattr(pair.new, lookup)
        for name in sorted({*old, *new}):
            before = _serving(pair.old, old.get(name, ()))
            after = _serving(pair.new, new.get(name, ()))
            if before != after:
                words = f"served by {len(after)} targets instead of {len(before)}"
                concerned = _concerned(pair, field, name)
                changes.append(Change(f"{kind} {name}", words, concerned))
    return changes


def _serving(configuration: Configuration, names: Iterable[str]) -> set[str]:
    return {name for name in names if not configuration.targets[name].leaving}


def _concerned(pair: Pair, field: str, name: str) -> tuple[str, ...]:
    if field == "workspaces":
        return (name,)
    targets = _targets_behind(pair, field, name)
    concerned: set[str] = set()
    for rules, names in pair.names_by_rules.items():
        if _uses(rules, field, name, targets):
            concerned |= names
    return tuple(sorted(concerned))


def _targets_behind(pair: Pair, field: str, name: str) -> list[Target]:
    targets = [*pair.old.targets.values(), *pair.new.targets.values()]
    if field == "targets":
        return [target for target in targets if target.name == name]
    if field == "generations":
        return [target for target in targets if target.generation == name]
    return []


def _uses(rules: Rules, field: str, name: str, targets: Iterable[Target]) -> bool:
    if field in ("tiers", "models", "services"):
        return name in getattr(rules, field)
    if field == "data_centres":
        return not rules.data_centres or name in rules.data_centres
    return any(_reaches(rules, target) for target in targets)


def _reaches(rules: Rules, target: Target) -> bool:
    if rules.data_centres and target.data_centre not in rules.data_centres:
        return False
    if target.service:
        return target.service in rules.services
    models = {model.partition("@")[0] for model in target.desired.models}
    return not models.isdisjoint(rules.models)


def _count_names(names: tuple[str, ...]) -> str:
    if not names:
        return "no workspace"
    shown = ", ".join(names[:MAX_NAMES])
    rest = len(names) - MAX_NAMES
    return f"{shown} and {rest} other workspaces" if rest > 0 else f"workspace {shown}"
