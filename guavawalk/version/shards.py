"""One shard as it was read: parsed and checked once, and used by each version that names it."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from guavawalk.exception import ConfigurationError
from guavawalk.version.documents import ShardReference, read_shard
from guavawalk.version.types import Crossing, Workspace

__all__ = ["ALL_KINDS", "NAMED_KINDS", "SIDECAR_KINDS", "ParsedShard", "parse_shard"]

NAMED_KINDS = (
    "tiers",
    "data_centres",
    "generations",
    "models",
    "services",
    "targets",
    "workspaces",
)
ALL_KINDS = frozenset(NAMED_KINDS)
SIDECAR_KINDS = ALL_KINDS - {"workspaces"}
NAME_FIELDS = {"services": "path"}


class ParsedShard(NamedTuple):
    """The items of one shard.

    Attributes
    ----------
    by_name : mapping
        Items of each kind in it by name; what the process does not keep is empty.
    kinds : tuple of str
        Kinds of which the shard has items, kept or not.
    """

    digest: str
    by_name: Mapping[str, Mapping[str, Any]]
    workspace_of_key: Mapping[str, str]
    crossings: tuple[Crossing, ...]
    kinds: tuple[str, ...]

    def keeping(self, kinds: frozenset[str]) -> "ParsedShard":
        """Return the shard with the items of some kinds only."""
        if kinds.issuperset(self.by_name):
            return self
        kept = {kind: items for kind, items in self.by_name.items() if kind in kinds}
        return self._replace(by_name=kept, workspace_of_key={})


def parse_shard(value: bytes, reference: ShardReference) -> ParsedShard:
    """Read a shard and index its items.

    Raises
    ------
    ConfigurationError
        If the bytes do not match the digest, are no shard, or name something twice.
    """
    document = read_shard(value, reference)
    by_name = {
        kind: index_items(kind, document[kind]) for kind in NAMED_KINDS if document.get(kind)
    }
    crossings = tuple(document.get("crossings", ()))
    kinds = (*by_name, "crossings") if crossings else tuple(by_name)
    keys = _workspace_of_key(by_name.get("workspaces", {}).values())
    return ParsedShard(reference["digest"], by_name, keys, crossings, kinds)


def index_items(kind: str, items: Iterable[Any]) -> dict[str, Any]:
    """Index items by name; `ConfigurationError` if a name stands twice."""
    field = NAME_FIELDS.get(kind, "name")
    found: dict[str, Any] = {}
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
