"""Building a configuration from its documents, whole or not at all.

A version mostly differs from the one before by one shard. What other shards say was parsed and
checked before, so it is joined again without a look at each item.
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


GROUP_KINDS = {"targets", "generations"}


class BuiltVersion(NamedTuple):
    """A version with the parsed shards that it consists of, by digest in the root's order."""

    configuration: Configuration
    shards: Mapping[str, ParsedShard]

    def sources(self, kind: str) -> tuple[str, ...]:
        """Return the digests of the shards that have items of a kind."""
        return tuple(shard.digest for shard in self.shards.values() if kind in shard.kinds)


def stamp_of_root(root: bytes) -> VersionStamp:
    """Return the stamp of a root document's bytes."""
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
        The version with its look-ups.

    Raises
    ------
    ConfigurationError
        If any document is unreadable, does not match its digest, or names what isn't there.
    """
    return build_version(documents).configuration


def build_version(
    documents: VersionDocuments,
    previous: BuiltVersion | None = None,
    kinds: frozenset[str] = ALL_KINDS,
) -> BuiltVersion:
    """Build a version in one go; see `build_in_steps`."""
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
        A version built before; its parsed shards are used where the digests are equal.
    kinds : frozenset of str
        Kinds of items to keep. All are checked.

    Yields
    ------
    None
        After each step.

    Returns
    -------
    BuiltVersion
        The whole version.

    Raises
    ------
    ConfigurationError
        If any document is unreadable, does not match its digest, or names what isn't there.
    """
    references = read_root(documents.root)["shards"]
    if len(references) != len(documents.shards):
        raise ConfigurationError("root.shards", "a shard is missing")
    known = previous.shards if previous else {}
    shards: dict[str, ParsedShard] = {}
    fresh: list[ParsedShard] = []
    for value, reference in zip(documents.shards, references):
        digest = reference["digest"]
        if digest in shards:
            raise ConfigurationError("root.shards", f"{digest[:12]} stands twice")
        if digest in known:
            shards[digest] = known[digest]
            continue
        shard = parse_shard(value, reference)
        fresh.append(shard)
        shards[digest] = shard.keeping(kinds)
        yield
    built = BuiltVersion(_join(documents.stamp, shards, previous), shards)
    yield
    if previous is None or _references_changed(built, previous):
        pairs = zip(documents.shards, references)
        yield from _check_all(built.configuration, shards, pairs, kinds)
    else:
        yield from _check_each(built.configuration, fresh)
    return built


def _references_changed(built: BuiltVersion, previous: BuiltVersion) -> bool:
    return any(built.sources(kind) != previous.sources(kind) for kind in REFERENCE_KINDS)


def _check_all(
    configuration: Configuration, shards: Mapping[str, ParsedShard], pairs, kinds: frozenset[str]
) -> Generator[None, None, None]:
    check_tiers(configuration.tiers.values())
    for value, reference in pairs:
        shard = shards[reference["digest"]]
        whole = shard if kinds.issuperset(shard.kinds) else parse_shard(value, reference)
        yield from _check_each(configuration, (whole,))


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
    parts = tuple(shards.values())
    same = _kinds_unchanged(parts, previous)
    old = previous.configuration._asdict() if previous else {}
    named = {kind: old[kind] if kind in same else _join_kind(kind, parts) for kind in NAMED_KINDS}
    keys = old["workspace_of_key"] if "workspaces" in same else _join_keys(parts)
    if "targets" in same:
        by_model, by_service = old["targets_of_model"], old["targets_of_service"]
    else:
        by_model = _targets_of_model(named["targets"].values())
        by_service = _targets_of_service(named["targets"].values())
    if same >= GROUP_KINDS:
        model_groups, service_groups = old["groups_of_model"], old["groups_of_service"]
    else:
        model_groups = groups_of_targets(by_model, named["targets"], named["generations"])
        service_groups = groups_of_targets(by_service, named["targets"], named["generations"])
    return Configuration(
        stamp=stamp,
        workspace_of_key=keys,
        crossings=_crossings(parts),
        targets_of_model=by_model,
        targets_of_service=by_service,
        groups_of_model=model_groups,
        groups_of_service=service_groups,
        **named,
    )


def _kinds_unchanged(parts: Sequence[ParsedShard], previous: BuiltVersion | None) -> set[str]:
    if previous is None:
        return set()
    sources = {
        kind: tuple(shard.digest for shard in parts if kind in shard.kinds) for kind in NAMED_KINDS
    }
    return {kind for kind, digests in sources.items() if digests == previous.sources(kind)}


def _join_kind(kind: str, parts: Sequence[ParsedShard]) -> dict[str, Any]:
    return _joined([shard.by_name[kind] for shard in parts if kind in shard.by_name], kind)


def _join_keys(parts: Sequence[ParsedShard]) -> dict[str, str]:
    return _joined([shard.workspace_of_key for shard in parts], "key_digests")


def _joined(mappings: Sequence[Mapping[str, Any]], kind: str) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for mapping in mappings:
        found.update(mapping)
    if len(found) != sum(map(len, mappings)):
        _refuse_duplicate(mappings, kind)
    return found


def _refuse_duplicate(mappings: Sequence[Mapping[str, Any]], kind: str) -> None:
    if kind != "key_digests":
        index_items(kind, chain.from_iterable(mapping.values() for mapping in mappings))
    owners: dict[str, str] = {}
    for digest, name in chain.from_iterable(mapping.items() for mapping in mappings):
        if digest in owners:
            place = f"workspaces.{name}.key_digests"
            raise ConfigurationError(place, f"the key is also one of {owners[digest]}")
        owners[digest] = name


def _crossings(parts: Sequence[ParsedShard]) -> dict:
    crossings = chain.from_iterable(shard.crossings for shard in parts)
    return {pair: c for c in crossings for pair in ((c.a, c.b), (c.b, c.a))}


def _targets_of_model(targets: Iterable[Target]) -> dict[str, tuple[str, ...]]:
    found: dict[str, list[str]] = {}
    for target in targets:
        for name in {model.partition("@")[0] for model in target.desired.models}:
            found.setdefault(name, []).append(target.name)
    return {name: tuple(names) for name, names in found.items()}


def _targets_of_service(targets: Iterable[Target]) -> dict[str, tuple[str, ...]]:
    found: dict[str, list[str]] = {}
    for target in targets:
        if target.service:
            found.setdefault(target.service, []).append(target.name)
    return {name: tuple(names) for name, names in found.items()}
