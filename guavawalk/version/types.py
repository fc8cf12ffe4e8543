"""Immutable values of one version of the fleet's configuration.

Operators publish it through the platform's configuration service.
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
    """Identity of a version: its number and the hex digest of its root document."""

    version: int
    digest: str


NO_VERSION = VersionStamp(0, "")


class Tier(NamedTuple):
    """Priority class of requests.

    Attributes
    ----------
    rank : int
        Urgency; 0 is the most urgent, and ranks have no gaps.
    deadline_ms : int
        Time limit of requests that state none.
    first_token_ms : int
        Intended time to the first token; it does not affect scheduling.
    reserved_share : float
        Share of a target's dispatch window reserved for this tier and more urgent ones, from 0 to
        1.
    """

    name: str
    rank: int
    deadline_ms: int = 60_000
    first_token_ms: int = 10_000
    reserved_share: float = 0.0


class DataCentre(NamedTuple):
    """A data centre and its region."""

    name: str
    region: str


class Crossing(NamedTuple):
    """Cost of traffic between two data centres, the same in both directions.

    Attributes
    ----------
    a, b : str
        Names of the data centres.
    delay_ms : float
        One-way delay.
    price : float
        Price relative to other crossings; 0 for none.
    """

    a: str
    b: str
    delay_ms: float
    price: float = 0.0


class Generation(NamedTuple):
    """Speed of a target on one generation of hardware.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prefill rate of the target.
    decode_tokens_per_s : float
        Decoding rate of one request in a full batch.
    batch_slots : int
        Requests in a full batch.
    cache_tokens : int
        Capacity of the prefix cache in tokens; 0 if not known.
    """

    name: str
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slots: int
    cache_tokens: int = 0


class Model(NamedTuple):
    """A model that callers may request.

    Attributes
    ----------
    context_tokens : int
        Largest total length of prompt and answer.
    expected_output_tokens : int
        Expected length of an answer for which the caller sets no limit, until lengths of answers
        have been observed.
    """

    name: str
    context_tokens: int = 131_072
    expected_output_tokens: int = 256


class Service(NamedTuple):
    """A plain service, which runs no model.

    Attributes
    ----------
    path : str
        First segment of its URLs, which serves as its name.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once.
    deadline_ms : int
        Time limit of requests that state none.
    """

    path: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    deadline_ms: int = 10_000


class DesiredState(NamedTuple):
    """Models, adapters and role that a model engine is meant to have.

    Attributes
    ----------
    models : tuple of str
        Models to load, each `name` or `name@version`.
    adapters : tuple of str
        Adapters to load.
    role : str
        `mixed`, `prefill` or `decode`; one with `prefill` only fills caches for other engines.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


class Target(NamedTuple):
    """A model engine or an instance of a plain service, with its sidecar.

    Attributes
    ----------
    kind : str
        `model` or `service`.
    sidecar : str
        Address of the sidecar, `IP:port`.
    generation : str
        Name of its generation of hardware; empty for a plain service.
    service : str
        Path of its service; empty for a model engine.
    desired : DesiredState
        Models and role of a model engine; not used for a plain service.
    checks_fencing : bool
        Whether the engine rejects orders with an old fencing number.
    leaving : bool
        Whether it gets no new requests.
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
    """Limits of one workspace over all targets and entries; 0 for no limit.

    Attributes
    ----------
    long_requests : int
        Long requests that run at once.
    """

    requests_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    long_requests: int = 0


class Workspace(NamedTuple):
    """A customer's keys, rights and limits.

    Attributes
    ----------
    key_digests : tuple of str
        Hex BLAKE2b-256 digests of the API keys; the keys are not published.
    tiers : tuple of str
        Tiers that it may use.
    default_tier : str
        Tier of requests that name none.
    models, services : tuple of str
        Models and paths of plain services that it may use.
    data_centres : tuple of str
        Data centres in which its requests may run; empty for all.
    weight : float
        Weight of its share beside other workspaces when a queue is full.
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
    """Targets that may serve the same model or service, indexed for placement.

    Attributes
    ----------
    names : tuple of str
        Names of the targets, in the order of `targets`.
    weights : tuple of float
        Tokens per second of each target with a full batch; 1 for a plain service.
    index : mapping of str to int
        Position of each name in `names`.
    by_data_centre : mapping of str to tuple of Target
        Targets of each data centre.
    """

    targets: tuple[Target, ...] = ()
    names: tuple[str, ...] = ()
    weights: tuple[float, ...] = ()
    index: Mapping[str, int] = {}
    by_data_centre: Mapping[str, tuple[Target, ...]] = {}


class Configuration(NamedTuple):
    """A complete version as look-up tables by name.

    Attributes
    ----------
    workspace_of_key : mapping of str to str
        Name of the workspace of each key digest.
    crossings : mapping of (str, str) to Crossing
        Crossings by their data centres, in both orders.
    targets_of_model, targets_of_service : mapping of str to tuple of str
        Names of all targets of a model or service.
    groups_of_model, groups_of_service : mapping of str to TargetGroup
        Targets of a model or service without those that are leaving or only fill caches.
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
