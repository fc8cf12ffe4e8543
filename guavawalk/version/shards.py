"""Parsed shards: each is parsed once and used by all versions that refer to it."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from guavawalk.exception import ConfigurationError
from guavawalk.version.documents import ShardReference, read_shard
from guavawalk.version.types import Crossing, Workspace

__all__ = ["ALL_KINDS", "NAMED_KINDS", "SIDECAR_KINDS", "ParsedShard", "parse_shard"]

# Kinds of items that have names: all but crossings.
NAMED_KINDS = (
    "tiers",
    "data_centres",
    "generations",
    "models",
    "services",
    "targets",
    "workspaces",
)
# Kinds of items that a process may keep or leave out; crossings are always kept.
ALL_KINDS = frozenset(NAMED_KINDS)
# Kinds of items that a sidecar keeps.
SIDECAR_KINDS = ALL_KINDS - {"workspaces"}
# Field that serves as the name of an item, where it is not `name`.
NAME_FIELDS = {"services": "path"}


class ParsedShard(NamedTuple):
    """The items of one shard.

    Attributes
    ----------
    by_name : mapping
        For each kind that the process keeps, the items by name.
    workspace_of_key : mapping of str to str
        Name of the workspace of each key digest; empty if workspaces are not kept.
    kinds : tuple of str
        Kinds of which the shard has items, kept or not.
    """

    digest: str
    by_name: Mapping[str, Mapping[str, Any]]
    workspace_of_key: Mapping[str, str]
    crossings: tuple[Crossing, ...]
    kinds: tuple[str, ...]

    def restricted_to(self, kinds: frozenset[str]) -> "ParsedShard":
        """Return the shard without items of other kinds; its list of `kinds` stays the same."""
        if kinds.issuperset(self.by_name):
            return self
        kept = {kind: items for kind, items in self.by_name.items() if kind in kinds}
        return self._replace(by_name=kept, workspace_of_key={})


def parse_shard(value: bytes, reference: ShardReference) -> ParsedShard:
    """Decode a shard and index its items by name.

    Raises
    ------
    DamagedValue
        If the bytes do not match the digest.
    ConfigurationError
        If they are no shard, or if a name or a key is used twice.
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
    """Index items by name; `ConfigurationError` if a name is used twice."""
    field = NAME_FIELDS.get(kind, "name")
    items_by_name: dict[str, Any] = {}
    for item in items:
        name = getattr(item, field)
        if name in items_by_name:
            raise ConfigurationError(f"{kind}.{name}", "the name is used twice")
        items_by_name[name] = item
    return items_by_name


def _workspace_of_key(workspaces: Iterable[Workspace]) -> dict[str, str]:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            if digest in owners:
                field_path = f"workspaces.{workspace.name}.key_digests"
                raise ConfigurationError(
                    field_path, f"the key also belongs to workspace {owners[digest]}"
                )
            owners[digest] = workspace.name
    return owners
