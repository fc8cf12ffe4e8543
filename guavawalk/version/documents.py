"""Documents in which a version is published: one root and the shards that it refers to.

The root states the version's number and the digest of each shard. A shard is published under a key
that contains its digest, so that a reader can't mix shards of two versions.
"""

import hashlib
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from guavawalk.exception import ConfigurationError, DamagedValue
from guavawalk.version.types import (
    Crossing,
    DataCentre,
    Generation,
    Model,
    Service,
    Target,
    Tier,
    VersionStamp,
    Workspace,
)

__all__ = [
    "FORMAT",
    "MAX_VALUE_BYTES",
    "ROOT_KEY",
    "RootDocument",
    "ShardDocument",
    "ShardReference",
    "VersionDocuments",
    "digest_bytes",
    "read_root",
    "read_shard",
    "shard_key",
]

# Format number of root documents.
FORMAT = 1
# Key of the root document.
ROOT_KEY = "guavawalk/root"
# Largest root or shard that is published or read.
MAX_VALUE_BYTES = 1_000_000
DIGEST_BYTES = 32


class ShardReference(TypedDict):
    """A root's reference to one shard: hex digest and size."""

    digest: str
    size_bytes: int


class RootDocument(TypedDict):
    """The document under `ROOT_KEY`."""

    format: int
    version: int
    shards: list[ShardReference]


class ShardDocument(TypedDict):
    """Part of a configuration; a version is the union of its shards."""

    tiers: NotRequired[list[Tier]]
    data_centres: NotRequired[list[DataCentre]]
    crossings: NotRequired[list[Crossing]]
    generations: NotRequired[list[Generation]]
    models: NotRequired[list[Model]]
    services: NotRequired[list[Service]]
    targets: NotRequired[list[Target]]
    workspaces: NotRequired[list[Workspace]]


class VersionDocuments(NamedTuple):
    """Documents of one version as bytes: the root, and the shards in the root's order."""

    stamp: VersionStamp
    root: bytes
    shards: tuple[bytes, ...]


def digest_bytes(value: bytes) -> str:
    """Return the hex BLAKE2b-256 digest of a value.

    Examples
    --------
    >>> digest_bytes(b"")[:16]
    '0e5751c026e543b2'
    """
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).hexdigest()


def shard_key(digest: str) -> str:
    """Return the key under which a shard is published."""
    return f"guavawalk/shard/{digest}"


def read_root(value: bytes) -> RootDocument:
    """Decode a root document.

    Raises
    ------
    ConfigurationError
        If the value is too large, is no root document, has another format number, or has a version
        below 1.
    """
    root = _read(value, RootDocument, "root")
    if root["format"] != FORMAT:
        raise ConfigurationError("root.format", f"found {root['format']}, allowed is {FORMAT}")
    if root["version"] < 1:
        raise ConfigurationError("root.version", f"found {root['version']}, allowed is 1 or more")
    return root


def read_shard(value: bytes, reference: ShardReference) -> ShardDocument:
    """Decode a shard and verify its digest.

    Raises
    ------
    DamagedValue
        If the bytes do not match the digest of the reference.
    ConfigurationError
        If the value is too large or is no shard document.
    """
    name = f"shard {reference['digest'][:12]}"
    digest = digest_bytes(value)
    if digest != reference["digest"]:
        raise DamagedValue(name, f"the bytes have digest {digest[:12]}")
    return _read(value, ShardDocument, name)


def _read(value: bytes, kind: type, name: str):
    if len(value) > MAX_VALUE_BYTES:
        raise ConfigurationError(
            name, f"found {len(value)} bytes, allowed are {MAX_VALUE_BYTES} or fewer"
        )
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(name, str(error)) from error
