"""The operations of the administration API, independent of the transport."""

import re
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio.lowlevel

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.events import Event
from guavawalk.exception import RequestError
from guavawalk.process.admin.access import AdminCaller, require_all_workspaces
from guavawalk.process.admin.documents import (
    ActionDocument,
    ClearSuspectRequest,
    ConfigurationDocument,
    HistogramDocument,
    HistogramsDocument,
    LogLevelRequest,
    QueuesDocument,
    RefusalCountDocument,
    RefusalDocument,
    RefusalsDocument,
    StateDocument,
    StopRequest,
    SuspectsDocument,
    TargetsDocument,
    WasteDocument,
)
from guavawalk.process.admin.node import AdminNode, CommonNode
from guavawalk.process.admin.suspects import PART, REQUEST
from guavawalk.process.observe.histograms import HistogramSummary
from guavawalk.process.observe.log import LOG_LEVELS
from guavawalk.process.observe.refusals import Refusal

__all__ = ["OPERATIONS", "Operation"]

MAX_REASON_CHARS = 200
# Most suspects in one document.
MAX_SUSPECTS_SHOWN = 200
KEY_PATTERN = re.compile("[0-9a-f]{16}")
ALL_ROLES = ("entry", "sidecar", "gateway")

Run = Callable[[AdminNode, AdminCaller, Any], Awaitable[Any]]


class Operation(NamedTuple):
    """An operation of the administration API.

    Attributes
    ----------
    required_role : str
        Lowest role of the keys that permit the operation.
    node_roles : tuple of str
        Roles of the processes that offer the operation.
    run : callable
        Performs the operation; raises `RequestError` if it is refused.
    answer : type
        Type of the document returned.
    body : type or None
        Type of the document that the caller sends; None if it sends none.
    """

    name: str
    method: str
    path: str
    required_role: str
    summary: str
    run: Run
    answer: type
    body: type | None = None
    node_roles: tuple[str, ...] = ("entry", "sidecar")


async def read_state(node: CommonNode, caller: AdminCaller, body: None) -> StateDocument:
    """Return the identity, version and load of the process."""
    return node.state()


async def read_configuration(
    node: AdminNode, caller: AdminCaller, body: None
) -> ConfigurationDocument:
    """Return the version in force; raise `RequestError` (`NO_CONFIGURATION`) before the first."""
    configuration = node.active.configuration
    if configuration is None:
        raise RequestError(ResultCode.NO_CONFIGURATION)
    tiers = sorted(configuration.tiers.values(), key=lambda tier: tier.rank)
    documents = node.active.documents
    return ConfigurationDocument(
        version=configuration.stamp.version,
        digest=configuration.stamp.digest,
        shards=len(documents.shards) if documents else 0,
        tiers=[tier.name for tier in tiers],
        targets=len(configuration.targets),
        workspaces=len(configuration.workspaces),
    )


async def read_targets(node: CommonNode, caller: AdminCaller, body: None) -> TargetsDocument:
    """Return what the process knows of its targets."""
    return TargetsDocument(targets=node.targets())


async def read_queues(node: AdminNode, caller: AdminCaller, body: None) -> QueuesDocument:
    """Return queued and running attempts by workspace and tier."""
    return QueuesDocument(queues=node.queues(caller))


async def read_refusals(node: AdminNode, caller: AdminCaller, body: None) -> RefusalsDocument:
    """Return recent refusals in the workspaces that the caller may see, newest first."""
    refusals = node.observed.refusals.recent(caller.workspaces)
    counts = sorted(Counter(refusal.code for refusal in refusals).items())
    now_s = node.clock.now_s()
    return RefusalsDocument(
        counts=[
            RefusalCountDocument(number=int(code), name=code.name, count=count)
            for code, count in counts
        ],
        recent=[_refusal(refusal, now_s) for refusal in refusals],
    )


def _refusal(refusal: Refusal, now_s: float) -> RefusalDocument:
    return RefusalDocument(
        age_s=round(now_s - refusal.at_s, 3),
        number=int(refusal.code),
        name=refusal.code.name,
        workspace=refusal.workspace,
        tier=refusal.tier,
        trace_id=refusal.trace_id,
        target=refusal.target,
    )


async def read_histograms(node: AdminNode, caller: AdminCaller, body: None) -> HistogramsDocument:
    """Return the histograms that the caller may see; yield to other tasks between them."""
    histograms = []
    for summary in node.observed.histograms.summaries(caller.workspaces):
        histograms.append(_histogram(summary))
        await anyio.lowlevel.checkpoint()
    return HistogramsDocument(histograms=histograms)


def _histogram(summary: HistogramSummary) -> HistogramDocument:
    figures = summary._asdict()
    key = figures.pop("key")
    return HistogramDocument(workspace=key.workspace, tier=key.tier, **figures)


async def read_waste(node: AdminNode, caller: AdminCaller, body: None) -> WasteDocument:
    """Return the prompt tokens wasted since the process started."""
    return node.waste(caller)


async def drain_sidecar_target(
    node: AdminNode, caller: AdminCaller, body: StopRequest
) -> ActionDocument:
    """Make the sidecar refuse new work; attempts that run go on."""
    return _stop(node, caller, body, "drain", events.ADMIN_DRAINED)


async def stop_admitting(node: AdminNode, caller: AdminCaller, body: StopRequest) -> ActionDocument:
    """Make the entry refuse new requests; those in progress go on."""
    return _stop(node, caller, body, "stop-admitting", events.ADMIN_ADMITTING_STOPPED)


def _stop(
    node: AdminNode, caller: AdminCaller, body: StopRequest, action: str, event: Event
) -> ActionDocument:
    require_all_workspaces(caller)
    reason = _checked_reason(body["reason"])
    changed = node.stop()
    node.log.emit(event, key_name=caller.name, reason=reason, changed=changed)
    return ActionDocument(action=action, changed=changed, running=node.state()["running"])


def _checked_reason(text: str) -> str:
    reason = text.strip()
    if not reason or len(reason) > MAX_REASON_CHARS or not reason.isprintable():
        detail = f"reason: allowed are 1 to {MAX_REASON_CHARS} printable characters"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    return reason


async def read_suspects(node: CommonNode, caller: AdminCaller, body: None) -> SuspectsDocument:
    """Return what was in flight when targets ended; a gateway's clearing holds at all gateways."""
    require_all_workspaces(caller)
    return SuspectsDocument(suspects=node.suspects()[:MAX_SUSPECTS_SHOWN])


async def clear_suspect(
    node: CommonNode, caller: AdminCaller, body: ClearSuspectRequest
) -> ActionDocument:
    """Let a suspect run again: at all gateways, or at this entry or sidecar."""
    require_all_workspaces(caller)
    reason = _checked_reason(body["reason"])
    kind, key = body["kind"], body["key"]
    if kind not in (PART, REQUEST):
        detail = f"kind: found {kind!r:.40}, allowed is {PART} or {REQUEST}"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    if not KEY_PATTERN.fullmatch(key):
        raise RequestError(
            ResultCode.BAD_REQUEST, f"key: found {key!r:.40}, allowed are 16 hex digits"
        )
    changed = node.clear_suspect(kind, int(key, 16))
    node.log.emit(
        events.ADMIN_SUSPECT_CLEARED,
        key_name=caller.name,
        reason=reason,
        kind=kind,
        key=key,
        changed=changed,
    )
    running = node.state()["running"]
    return ActionDocument(action="clear-suspect", changed=changed, running=running)


async def set_log_level(
    node: CommonNode, caller: AdminCaller, body: LogLevelRequest
) -> ActionDocument:
    """Set the lowest level that the process logs."""
    require_all_workspaces(caller)
    level = body["level"]
    if level not in LOG_LEVELS:
        detail = f"level: found {level!r:.40}, allowed is one of {', '.join(LOG_LEVELS)}"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    before = node.log.level
    node.log.level = level
    node.log.emit(events.ADMIN_LOG_LEVEL_SET, key_name=caller.name, before=before, after=level)
    running = node.state()["running"]
    return ActionDocument(action="log-level", changed=before != level, running=running)


def _read(
    path: str,
    summary: str,
    run: Run,
    answer: type,
    node_roles: tuple[str, ...] = ("entry", "sidecar"),
) -> Operation:
    return Operation(run.__name__, "GET", path, "read", summary, run, answer, node_roles=node_roles)


OPERATIONS = (
    _read("/v1/state", "What the process is and does now", read_state, StateDocument, ALL_ROLES),
    _read("/v1/configuration", "The version in force", read_configuration, ConfigurationDocument),
    _read(
        "/v1/targets",
        "What the process knows of targets",
        read_targets,
        TargetsDocument,
        ALL_ROLES,
    ),
    _read(
        "/v1/suspects",
        "What was in flight when targets ended",
        read_suspects,
        SuspectsDocument,
        ALL_ROLES,
    ),
    Operation(
        "clear_suspect",
        "POST",
        "/v1/clear-suspect",
        "operate",
        "Let a suspect run again",
        clear_suspect,
        ActionDocument,
        ClearSuspectRequest,
        ALL_ROLES,
    ),
    _read("/v1/queues", "What waits and runs", read_queues, QueuesDocument),
    _read("/v1/refusals", "The last refusals", read_refusals, RefusalsDocument),
    _read("/v1/histograms", "Times and waste", read_histograms, HistogramsDocument),
    Operation(
        "read_waste",
        "GET",
        "/v1/waste",
        "read",
        "Prompt work that was thrown away or done again",
        read_waste,
        WasteDocument,
        node_roles=("sidecar",),
    ),
    Operation(
        "drain_sidecar_target",
        "POST",
        "/v1/drain",
        "operate",
        "Let this target leave: no new work, what runs goes on",
        drain_sidecar_target,
        ActionDocument,
        StopRequest,
        ("sidecar",),
    ),
    Operation(
        "stop_admitting",
        "POST",
        "/v1/stop-admitting",
        "operate",
        "Admit no more requests here; those under way go on",
        stop_admitting,
        ActionDocument,
        StopRequest,
        ("entry",),
    ),
    Operation(
        "set_log_level",
        "POST",
        "/v1/log-level",
        "operate",
        "Set the log level",
        set_log_level,
        ActionDocument,
        LogLevelRequest,
        ALL_ROLES,
    ),
)
