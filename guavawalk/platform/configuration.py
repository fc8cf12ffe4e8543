"""Decodes the operator's configuration, a JSON document in the platform's store, into routes."""

import math
from collections.abc import Iterable
from typing import Any

import msgspec.json
import msgspec.msgpack

from guavawalk.exception import ConfigurationError
from guavawalk.version.routes import (
    CallerLimits,
    EngineProfile,
    Quota,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
    WorkspaceAccess,
    build_route_table,
)

__all__ = ["decode_configuration"]

ROUTE_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "streaming": RouteKind.STREAM}
# Weight of the only service of a route without a traffic split. Weights are relative.
SINGLE_SERVICE_WEIGHT = 100.0


def decode_configuration(content: bytes) -> RouteTable:
    """Decode a configuration document.

    Unknown fields are ignored, and optional fields that are absent get the defaults of the decoded
    types. Without the field `tenants`, callers need no key. Durations are converted from
    milliseconds to seconds.

    Raises
    ------
    ConfigurationError
        If the content is not JSON, or a required field is missing or has a wrong type or value. Its
        `path` names the part of the document, `$` for the whole.
    """
    section = "$"
    try:
        document = msgspec.json.decode(content)
        section = "version"
        version = int(document["version"])
        section = "routes"
        routes = tuple(_route(row) for row in document.get("routes", ()))
        section = "services"
        services = tuple(_service(row) for row in document.get("services", ()))
        section = "limits"
        limits = _limits(document.get("limits") or {})
        section = "tenants"
        tenants = document.get("tenants")
        by_key = None if tenants is None else _workspaces_by_key(tenants)
        section = "$"
        table = build_route_table(version, routes, services, limits, by_key)
        # Other gateways get it in this form; a number may be too large for it.
        msgspec.msgpack.encode(table)
    except Exception as error:
        # No kind of error may end the task that reads configurations.
        raise ConfigurationError(section, f"{type(error).__name__}: {error}"[:200]) from error
    return table


def _route(row: dict[str, Any]) -> Route:
    split = row.get("trafficSplit")
    if split:
        shares = tuple(ServiceShare(part["service"], float(part["weight"])) for part in split)
    else:
        shares = (ServiceShare(row["service"], SINGLE_SERVICE_WEIGHT),)
    return Route(
        name=row["name"],
        host=row["hostname"],
        prefix=row["prefix"],
        kind=ROUTE_KINDS[row["routeType"]],
        services=shares,
        timeout_s=row["timeoutMs"] / 1000,
        latency_goal_s=row.get("latencyGoalMs", row["timeoutMs"]) / 1000,
        rank=int(row.get("priority", 0)),
        max_targets=max(int(row.get("maxAttempts", 1)), 1),
        anonymous=bool(row.get("anonymous", False)),
        resumable=bool(row.get("resumable", False)),
        event_gap_goal_s=row.get("gapGoalMs", 0) / 1000,
    )


def _service(row: dict[str, Any]) -> Service:
    engine = row.get("engine")
    return Service(
        row["name"],
        row.get("healthPath", "/"),
        int(row.get("maxConnections", Service._field_defaults["max_connections"])),
        None if engine is None else _engine(engine),
        _amount(row, "warmupS"),
        _amount(row, "warmupPerS"),
    )


def _amount(row: dict[str, Any], name: str) -> float:
    amount = float(row.get(name) or 0.0)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{name}: found {amount}, allowed is a finite number of 0 or more")
    return amount


def _engine(row: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        # "capacity" counts requests in a batch; "kvCapacity" counts tokens of cache memory.
        batch_slots=int(row["capacity"]),
        cache_tokens=int(row["kvCapacity"]),
        token_bytes=int(row["kvTokenBytes"]),
        tokens_per_event=int(row.get("stride", 1)),
        can_move=bool(row.get("moves", False)),
        can_back_up=bool(row.get("backups", False)),
    )


def _limits(row: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(row.get("maxHeaderBytes", defaults.head_bytes)),
        body_bytes=int(row.get("maxBodyBytes", defaults.body_bytes)),
        head_timeout_s=row.get("headerTimeoutMs", defaults.head_timeout_s * 1000) / 1000,
        idle_timeout_s=row.get("idleTimeoutMs", defaults.idle_timeout_s * 1000) / 1000,
    )


def _workspaces_by_key(rows: Iterable[dict[str, Any]]) -> dict[str, WorkspaceAccess]:
    by_key = {}
    for row in rows:
        rank = row.get("priority")
        quota = Quota(
            per_s=float(row.get("ratePerS") or 0.0),
            burst=float(row.get("burst") or 0.0),
            counts_tokens=row.get("unit") == "tokens",
            default_tokens=int(row.get("plainTokens") or 1),
        )
        access = WorkspaceAccess(row["name"], None if rank is None else int(rank), quota)
        for key in row.get("apiKeys", ()):
            by_key[key] = access
    return by_key
