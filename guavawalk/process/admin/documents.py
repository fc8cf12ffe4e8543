"""The documents of the administration API."""

from typing import TypedDict

__all__ = [
    "ActionDocument",
    "ClearSuspectRequest",
    "ConfigurationDocument",
    "HistogramDocument",
    "HistogramsDocument",
    "LogLevelRequest",
    "QueueDocument",
    "QueuesDocument",
    "RefusalCountDocument",
    "RefusalDocument",
    "RefusalsDocument",
    "StateDocument",
    "StopRequest",
    "SuspectDocument",
    "SuspectsDocument",
    "TargetDocument",
    "TargetsDocument",
    "WasteCauseDocument",
    "WasteDocument",
    "WorkspaceWasteDocument",
]


class StateDocument(TypedDict):
    """What a process is and does now.

    The incarnation is in hexadecimal; `records` are the idempotency records that it holds.
    """

    role: str
    instance: str
    incarnation: str
    version: int
    digest: str
    stopping: bool
    running: int
    queued: int
    window: int | None
    records: int | None
    uptime_s: float
    resident_bytes: int
    log_level: str


class ConfigurationDocument(TypedDict):
    """The version in force and what it holds."""

    version: int
    digest: str
    shards: int
    tiers: list[str]
    targets: int
    workspaces: int


class TargetDocument(TypedDict):
    """A target, as this process last heard of it; null where it never has."""

    name: str
    kind: str
    data_centre: str
    leaving: bool
    usable: bool
    running: int
    window: int
    queued: int
    own_running: int
    report_age_s: float | None


class TargetsDocument(TypedDict):
    """Targets by name."""

    targets: list[TargetDocument]


class QueueDocument(TypedDict):
    """Attempts of one workspace and tier at this sidecar."""

    workspace: str
    tier: str
    queued: int
    running: int
    oldest_queued_s: float


class QueuesDocument(TypedDict):
    """Attempts that wait or run, by workspace and tier."""

    queues: list[QueueDocument]


class RefusalCountDocument(TypedDict):
    """Refusals of one code, of those kept."""

    number: int
    name: str
    count: int


class RefusalDocument(TypedDict):
    """One request that was not run."""

    age_s: float
    number: int
    name: str
    workspace: str
    tier: str
    trace_id: str
    target: str


class RefusalsDocument(TypedDict):
    """The last refusals, the newest first, and their number by code."""

    counts: list[RefusalCountDocument]
    recent: list[RefusalDocument]


class HistogramDocument(TypedDict):
    """Figures of one histogram; an empty workspace stands for all that are not kept apart."""

    workspace: str
    tier: str
    measure: str
    count: int
    mean: float
    p50: float
    p95: float
    p99: float
    highest: float


class HistogramsDocument(TypedDict):
    """Histograms of the busiest workspaces and tiers, and of the rest."""

    histograms: list[HistogramDocument]


class WasteCauseDocument(TypedDict):
    """Prompt tokens wasted for one cause in one tier."""

    cause: str
    tier: str
    tokens: int


class WorkspaceWasteDocument(TypedDict):
    """Prompt tokens that one workspace wasted, between two bounds."""

    workspace: str
    least_tokens: int
    most_tokens: int


class WasteDocument(TypedDict):
    """Prompt tokens computed and wasted since the process started.

    `rest_tokens` belong to no workspace listed for sure. A key limited to some workspaces gets
    these alone, without causes and totals.
    """

    computed_tokens: int
    rest_tokens: int
    causes: list[WasteCauseDocument]
    workspaces: list[WorkspaceWasteDocument]


class SuspectDocument(TypedDict):
    """A request, or a part of prompts, that was in flight when targets ended.

    The kind is `request` or `part`; the key has 16 hexadecimal digits. The name is the part's id,
    and empty for a request, or if only other processes have seen the part. `is_blamed` tells
    whether requests are refused for it, for a part alone or with others that were at the same ends.
    `next_trial_s` is the time until one request with the part may run again, null for a request.
    """

    kind: str
    key: str
    name: str
    ends: int
    last_end_age_s: float
    is_blamed: bool
    trials: int
    next_trial_s: float | None


class SuspectsDocument(TypedDict):
    """Suspects, the last updated first."""

    suspects: list[SuspectDocument]


class ClearSuspectRequest(TypedDict):
    """A suspect by its kind and key, and why it is cleared."""

    kind: str
    key: str
    reason: str


class StopRequest(TypedDict):
    """Why a process is to take no more work."""

    reason: str


class LogLevelRequest(TypedDict):
    """A level: DEBUG, INFO, WARNING or ERROR."""

    level: str


class ActionDocument(TypedDict):
    """What an action did."""

    action: str
    changed: bool
    running: int
