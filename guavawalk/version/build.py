"""Building a configuration from its documents, whole or not at all."""

from collections.abc import Iterable, Sequence
from itertools import chain

from guavawalk.exception import ConfigurationError
from guavawalk.version.documents import (
    ShardDocument,
    VersionDocuments,
    digest_bytes,
    read_root,
    read_shard,
)
from guavawalk.version.types import (
    Configuration,
    Target,
    Tier,
    VersionStamp,
    Workspace,
)

__all__ = ["build_configuration", "configuration_from_shards", "stamp_of_root"]

TARGET_KINDS = ("model", "service")


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
    root = read_root(documents.root)
    references = root["shards"]
    if len(references) != len(documents.shards):
        raise ConfigurationError("root.shards", "a shard is missing")
    shards = [read_shard(value, ref) for value, ref in zip(documents.shards, references)]
    stamp = VersionStamp(root["version"], digest_bytes(documents.root))
    return configuration_from_shards(stamp, shards)


def configuration_from_shards(
    stamp: VersionStamp, shards: Sequence[ShardDocument]
) -> Configuration:
    """Join shards into a checked configuration.

    Raises
    ------
    ConfigurationError
        If a name stands twice, or refers to what isn't there.
    """
    tiers = _by_name("tiers", _joined(shards, "tiers"))
    targets = _by_name("targets", _joined(shards, "targets"))
    workspaces = _by_name("workspaces", _joined(shards, "workspaces"))
    crossings = tuple(_joined(shards, "crossings"))
    services = _joined(shards, "services")
    configuration = Configuration(
        stamp=stamp,
        tiers=tiers,
        data_centres=_by_name("data_centres", _joined(shards, "data_centres")),
        generations=_by_name("generations", _joined(shards, "generations")),
        models=_by_name("models", _joined(shards, "models")),
        services=_by_name("services", services, "path"),
        targets=targets,
        workspaces=workspaces,
        workspace_of_key=_workspace_of_key(workspaces.values()),
        crossings={pair: c for c in crossings for pair in ((c.a, c.b), (c.b, c.a))},
        targets_of_model=_targets_of_model(targets.values()),
        targets_of_service=_targets_of_service(targets.values()),
    )
    _check_tiers(tiers.values())
    _check_targets(configuration)
    _check_workspaces(configuration)
    return configuration


def _joined(shards: Sequence[ShardDocument], field: str) -> Iterable:
    return chain.from_iterable(shard.get(field, ()) for shard in shards)


def _by_name(kind: str, items: Iterable, field: str = "name") -> dict:
    found: dict = {}
    for item in items:
        name = getattr(item, field)
        if name in found:
            raise ConfigurationError(f"{kind}.{name}", "the name stands twice")
        found[name] = item
    return found


def _workspace_of_key(workspaces: Iterable[Workspace]) -> dict[str, str]:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            if digest in owners:
                place = f"workspaces.{workspace.name}.key_digests"
                raise ConfigurationError(place, f"the key is also one of {owners[digest]}")
            owners[digest] = workspace.name
    return owners


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


def _check_tiers(tiers: Iterable[Tier]) -> None:
    ranks = sorted(tier.rank for tier in tiers)
    if ranks != list(range(len(ranks))):
        raise ConfigurationError("tiers", f"found ranks {ranks}, allowed are 0, 1, … without gaps")


def _check_targets(configuration: Configuration) -> None:
    for target in configuration.targets.values():
        place = f"targets.{target.name}"
        _check_known(f"{place}.kind", (target.kind,), TARGET_KINDS)
        _check_known(f"{place}.data_centre", (target.data_centre,), configuration.data_centres)
        if target.kind == "service":
            _check_known(f"{place}.service", (target.service,), configuration.services)
            continue
        _check_known(f"{place}.generation", (target.generation,), configuration.generations)
        names = tuple(model.partition("@")[0] for model in target.desired.models)
        _check_known(f"{place}.desired.models", names, configuration.models)


def _check_workspaces(configuration: Configuration) -> None:
    for workspace in configuration.workspaces.values():
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


def _check_known(place: str, names: Iterable[str], known) -> None:
    for name in names:
        if name not in known:
            raise ConfigurationError(place, f"found {name!r}, which is not defined")
