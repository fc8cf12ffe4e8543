"""Builds a configuration from its published documents, completely or not at all.

A version usually differs from the previous one in a single shard. The other shards have been
parsed and checked before, so their items are merged without parsing or checking them again.
"""

from collections.abc import Generator, Iterable, Mapping, Sequence
from itertools import chain
from typing import Any, NamedTuple

from guavawalk.exception import ConfigurationError
from guavawalk.version.checks import (
    REFERENCE_KINDS,
    check_targets,
    check_tiers,
    check_workspaces,
)
from guavawalk.version.documents import VersionDocuments, digest_bytes, read_root
from guavawalk.version.group import groups_of_targets
from guavawalk.version.shards import (
    ALL_KINDS,
    NAMED_KINDS,
    ParsedShard,
    index_items,
    parse_shard,
)
from guavawalk.version.types import Configuration, Target, VersionStamp

__all__ = [
    "BuiltVersion",
    "build_configuration",
    "build_in_steps",
    "build_version",
    "stamp_of_root",
]


# Kinds of items that the groups of targets depend on.
GROUPING_KINDS = {"targets", "generations"}


class BuiltVersion(NamedTuple):
    """A version with its parsed shards.

    Attributes
    ----------
    shards : mapping of str to ParsedShard
        Shards by digest, in the root's order.
    """

    configuration: Configuration
    shards: Mapping[str, ParsedShard]

    def shard_digests(self, kind: str) -> tuple[str, ...]:
        """Return the digests of the shards with items of a kind, in the root's order."""
        return tuple(shard.digest for shard in self.shards.values() if kind in shard.kinds)


def stamp_of_root(root: bytes) -> VersionStamp:
    """Return the stamp of a root document; `ConfigurationError` if it is unreadable."""
    return VersionStamp(read_root(root)["version"], digest_bytes(root))


def build_configuration(documents: VersionDocuments) -> Configuration:
    """Build a version from its root and shards.

    Parameters
    ----------
    documents : VersionDocuments
        Root and shards, in the root's order.

    Returns
    -------
    Configuration
        The version as look-up tables.

    Raises
    ------
    ConfigurationError
        If a document is unreadable, does not match its digest, or refers to an undefined item.
    """
    return build_version(documents).configuration


def build_version(
    documents: VersionDocuments,
    previous: BuiltVersion | None = None,
    kinds: frozenset[str] = ALL_KINDS,
) -> BuiltVersion:
    """Build a version without interruption; parameters and errors are those of `build_in_steps`."""
    steps = build_in_steps(documents, previous, kinds)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def build_in_steps(
    documents: VersionDocuments,
    previous: BuiltVersion | None = None,
    kinds: frozenset[str] = ALL_KINDS,
) -> Generator[None, None, BuiltVersion]:
    """Build a version in short steps, so that other tasks can run between them.

    Parameters
    ----------
    documents : VersionDocuments
        Root and shards, in the root's order.
    previous : BuiltVersion, optional
        An earlier version, built with the same `kinds`, whose parsed shards are used again where
        the digests are equal; None to parse all shards.
    kinds : frozenset of str
        Kinds of items to keep. Items of the other kinds are checked too.

    Yields
    ------
    None
        After each step.

    Returns
    -------
    BuiltVersion
        The complete version.

    Raises
    ------
    ConfigurationError
        If a document is unreadable, does not match its digest, or refers to an undefined item.

    Notes
    -----
    All items are checked again if a kind that others refer to has changed; otherwise only those of
    new shards.
    """
    references = read_root(documents.root)["shards"]
    if len(references) != len(documents.shards):
        raise ConfigurationError(
            "root.shards", "the number of shards differs from that in the root"
        )
    parsed_before = previous.shards if previous else {}
    shards: dict[str, ParsedShard] = {}
    new_shards: list[ParsedShard] = []
    for value, reference in zip(documents.shards, references):
        digest = reference["digest"]
        if digest in shards:
            raise ConfigurationError("root.shards", f"shard {digest[:12]} is listed twice")
        if digest in parsed_before:
            shards[digest] = parsed_before[digest]
            continue
        shard = parse_shard(value, reference)
        new_shards.append(shard)
        shards[digest] = shard.restricted_to(kinds)
        yield
    built = BuiltVersion(_join(documents.stamp, shards, previous), shards)
    yield
    if previous is None or _references_changed(built, previous):
        pairs = zip(documents.shards, references)
        yield from _check_all(built.configuration, shards, pairs, kinds)
    else:
        yield from _check_each(built.configuration, new_shards)
    return built


def _references_changed(built: BuiltVersion, previous: BuiltVersion) -> bool:
    return any(
        built.shard_digests(kind) != previous.shard_digests(kind) for kind in REFERENCE_KINDS
    )


def _check_all(
    configuration: Configuration, shards: Mapping[str, ParsedShard], pairs, kinds: frozenset[str]
) -> Generator[None, None, None]:
    check_tiers(configuration.tiers.values())
    for value, reference in pairs:
        shard = shards[reference["digest"]]
        # The items of kinds that the process does not keep are parsed again to be checked.
        full_shard = shard if kinds.issuperset(shard.kinds) else parse_shard(value, reference)
        yield from _check_each(configuration, (full_shard,))


def _check_each(
    configuration: Configuration, shards: Iterable[ParsedShard]
) -> Generator[None, None, None]:
    for shard in shards:
        check_targets(shard.by_name.get("targets", {}).values(), configuration)
        check_workspaces(shard.by_name.get("workspaces", {}).values(), configuration)
        yield


def _join(
    stamp: VersionStamp, shards: Mapping[str, ParsedShard], previous: BuiltVersion | None
) -> Configuration:
    parsed_shards = tuple(shards.values())
    unchanged = _kinds_unchanged(parsed_shards, previous)
    previous_fields = previous.configuration._asdict() if previous else {}
    named = {
        kind: previous_fields[kind] if kind in unchanged else _join_kind(kind, parsed_shards)
        for kind in NAMED_KINDS
    }
    keys = (
        previous_fields["workspace_of_key"]
        if "workspaces" in unchanged
        else _join_keys(parsed_shards)
    )
    if "targets" in unchanged:
        names_by_model, names_by_service = (
            previous_fields["targets_of_model"],
            previous_fields["targets_of_service"],
        )
    else:
        names_by_model = _targets_of_model(named["targets"].values())
        names_by_service = _targets_of_service(named["targets"].values())
    if unchanged >= GROUPING_KINDS:
        model_groups, service_groups = (
            previous_fields["groups_of_model"],
            previous_fields["groups_of_service"],
        )
    else:
        model_groups = groups_of_targets(names_by_model, named["targets"], named["generations"])
        service_groups = groups_of_targets(names_by_service, named["targets"], named["generations"])
    return Configuration(
        stamp=stamp,
        workspace_of_key=keys,
        crossings=_index_crossings(parsed_shards),
        targets_of_model=names_by_model,
        targets_of_service=names_by_service,
        groups_of_model=model_groups,
        groups_of_service=service_groups,
        **named,
    )


def _kinds_unchanged(shards: Sequence[ParsedShard], previous: BuiltVersion | None) -> set[str]:
    if previous is None:
        return set()
    digests_by_kind = {
        kind: tuple(shard.digest for shard in shards if kind in shard.kinds) for kind in NAMED_KINDS
    }
    return {
        kind for kind, digests in digests_by_kind.items() if digests == previous.shard_digests(kind)
    }


def _join_kind(kind: str, shards: Sequence[ParsedShard]) -> dict[str, Any]:
    return _merge([shard.by_name[kind] for shard in shards if kind in shard.by_name], kind)


def _join_keys(shards: Sequence[ParsedShard]) -> dict[str, str]:
    return _merge([shard.workspace_of_key for shard in shards], "key_digests")


def _merge(mappings: Sequence[Mapping[str, Any]], kind: str) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for mapping in mappings:
        merged.update(mapping)
    if len(merged) != sum(map(len, mappings)):
        _raise_duplicate(mappings, kind)
    return merged


def _raise_duplicate(mappings: Sequence[Mapping[str, Any]], kind: str) -> None:
    if kind != "key_digests":
        # Raises for the name that is used twice.
        index_items(kind, chain.from_iterable(mapping.values() for mapping in mappings))
    owners: dict[str, str] = {}
    for digest, name in chain.from_iterable(mapping.items() for mapping in mappings):
        if digest in owners:
            field_path = f"workspaces.{name}.key_digests"
            raise ConfigurationError(
                field_path, f"the key also belongs to workspace {owners[digest]}"
            )
        owners[digest] = name


def _index_crossings(shards: Sequence[ParsedShard]) -> dict:
    crossings = chain.from_iterable(shard.crossings for shard in shards)
    return {pair: c for c in crossings for pair in ((c.a, c.b), (c.b, c.a))}


def _targets_of_model(targets: Iterable[Target]) -> dict[str, tuple[str, ...]]:
    names_by_model: dict[str, list[str]] = {}
    for target in targets:
        for name in {model.partition("@")[0] for model in target.desired.models}:
            names_by_model.setdefault(name, []).append(target.name)
    return {name: tuple(names) for name, names in names_by_model.items()}


def _targets_of_service(targets: Iterable[Target]) -> dict[str, tuple[str, ...]]:
    names_by_service: dict[str, list[str]] = {}
    for target in targets:
        if target.service:
            names_by_service.setdefault(target.service, []).append(target.name)
    return {name: tuple(names) for name, names in names_by_service.items()}
