"""A version of the fleet's configuration, as immutable values.

Source: what the operators publish through the platform's configuration service.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "NO_VERSION",
    "Configuration",
    "Crossing",
    "DataCentre",
    "DesiredState",
    "Generation",
    "Model",
    "Service",
    "Target",
    "TargetGroup",
    "Tier",
    "VersionStamp",
    "Workspace",
    "WorkspaceLimits",
]


class VersionStamp(NamedTuple):
    """Identity of a configuration: its number and the digest of its root."""

    version: int
    digest: str


NO_VERSION = VersionStamp(0, "")


class Tier(NamedTuple):
    """Class of urgency.

    Attributes
    ----------
    rank : int
        0 is the most urgent; ranks have no gaps.
    reserved_share : float
        Part of a target's dispatch window kept for this tier and more urgent ones.
    """

    name: str
    rank: int
    deadline_ms: int = 60_000
    first_token_ms: int = 10_000
    reserved_share: float = 0.0


class DataCentre(NamedTuple):
    """A data centre and the region that it lies in."""

    name: str
    region: str


class Crossing(NamedTuple):
    """Cost of going between two data centres, in either direction."""

    a: str
    b: str
    delay_ms: float
    price: float = 0.0


class Generation(NamedTuple):
    """Speed of one generation of hardware, for one target."""

    name: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slots: int
    cache_tokens: int = 0


class Model(NamedTuple):
    """A model that callers may name."""

    name: str
    context_tokens: int = 131_072
    expected_output_tokens: int = 256


class Service(NamedTuple):
    """A plain service; `path` is the first segment of its URLs."""

    path: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    deadline_ms: int = 10_000


class DesiredState(NamedTuple):
    """What a model engine should hold.

    Attributes
    ----------
    models : tuple of str
        Models, each `name` or `name@version`.
    adapters : tuple of str
        Adapters.
    role : str
        `mixed`, `prefill` or `decode`.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


class Target(NamedTuple):
    """A back end with its one sidecar.

    Attributes
    ----------
    kind : str
        `model` or `service`.
    sidecar : str
        Address of the sidecar, `IP:port`.
    service : str
        Path of the service served; empty for a model engine.
    checks_fencing : bool
        Whether the engine refuses an order with an old fencing number.
    """

    name: str
    kind: str
    data_centre: str
    sidecar: str
    generation: str = ""
    service: str = ""
    desired: DesiredState = DesiredState()
    checks_fencing: bool = False
    leaving: bool = False


class WorkspaceLimits(NamedTuple):
    """Limits of one workspace over the whole system; 0 means none."""

    requests_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    long_requests: int = 0


class Workspace(NamedTuple):
    """A customer's share of the system.

    Attributes
    ----------
    key_digests : tuple of str
        Hex BLAKE2b-256 digests of the API keys; the keys are not published.
    data_centres : tuple of str
        Where its work may run; empty for anywhere.
    """

    name: str
    key_digests: tuple[str, ...]
    tiers: tuple[str, ...]
    default_tier: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    weight: float = 1.0
    limits: WorkspaceLimits = WorkspaceLimits()


class TargetGroup(NamedTuple):
    """Targets that may serve the same model or service, with what placement needs of them all.

    Attributes
    ----------
    names : tuple of str
        Their names, in the same order.
    weights : tuple of float
        Tokens that each generates in a second with a full batch; 1 for a plain service.
    index : mapping of str to int
        Place of each name.
    by_data_centre : mapping of str to tuple of Target
        Those of each data centre.
    """

    targets: tuple[Target, ...] = ()
    names: tuple[str, ...] = ()
    weights: tuple[float, ...] = ()
    index: Mapping[str, int] = {}
    by_data_centre: Mapping[str, tuple[Target, ...]] = {}


class Configuration(NamedTuple):
    """A whole version, with the look-ups that every request needs.

    Attributes
    ----------
    groups_of_model, groups_of_service : mapping of str to TargetGroup
        Targets that neither leave nor only fill caches.
    """

    stamp: VersionStamp
    tiers: Mapping[str, Tier]
    data_centres: Mapping[str, DataCentre]
    generations: Mapping[str, Generation]
    models: Mapping[str, Model]
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    workspaces: Mapping[str, Workspace]
    workspace_of_key: Mapping[str, str]
    crossings: Mapping[tuple[str, str], Crossing]
    targets_of_model: Mapping[str, tuple[str, ...]]
    targets_of_service: Mapping[str, tuple[str, ...]]
    groups_of_model: Mapping[str, TargetGroup] = {}
    groups_of_service: Mapping[str, TargetGroup] = {}
