"""Fetches routes and registrations that are newer at another gateway than here, over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec.msgpack

from guavawalk import events
from guavawalk.connection.http_client import create_http_client
from guavawalk.connection.tasks.apply_targets import apply_target_list
from guavawalk.connection.tasks.follow_registry import apply_routes
from guavawalk.exception import RegistrationInvalid, TargetError
from guavawalk.process.gateway.pages import (
    ROUTES_PATH,
    TARGET_LIST_PATH,
    TARGETS_PATH,
    decode_target_list,
)
from guavawalk.process.gateway.version_sources import reported_list_state
from guavawalk.version.routes import RouteTable

if TYPE_CHECKING:
    from guavawalk.process.gateway.centres import CentreSummary
    from guavawalk.process.gateway.reports import PeerReport
    from guavawalk.process.gateway.state import Gateway

__all__ = ["fetch_newer", "is_ahead", "reject_message"]

# Delay before a newer version that another gateway reports is fetched from it, in seconds, if this
# gateway watches the registry, or the other one is in another data centre: by then the registry, or
# a watching gateway of this data centre, has usually delivered it.
FETCH_DELAY_S = 0.25
FETCH_TIMEOUT_S = 1.0


def is_ahead(gateway: Gateway, news: PeerReport | CentreSummary) -> bool:
    """Return whether the sender has newer routes or registrations than this gateway."""
    return news.routes_version > gateway.routes.table.version or reported_list_state(
        news
    ).is_newer_than(gateway.targets.list_state)


async def fetch_newer(gateway: Gateway) -> None:
    """Fetch routes and registrations from the gateways where they are newest, if still newer."""
    peers, routes, targets = gateway.peers, gateway.routes, gateway.targets
    is_near = (
        peers.newest_routes().is_local
        if peers.newest_routes().number > routes.table.version
        else peers.newest_targets(targets.list_state).is_local
    )
    if not is_near or gateway.duty.is_watcher():
        await anyio.sleep(FETCH_DELAY_S)
    newest_routes = peers.newest_routes()
    if newest_routes.number > routes.table.version:
        body = await _fetch(gateway, newest_routes.address, ROUTES_PATH)
        if body is not None:
            table = msgspec.msgpack.decode(body, type=RouteTable)
            apply_routes(gateway, table, newest_routes.address)
    newest_targets = peers.newest_targets(targets.list_state)
    if newest_targets.state.is_newer_than(targets.list_state):
        await _fetch_targets(gateway, newest_targets.address)


async def _fetch_targets(gateway: Gateway, address: str) -> None:
    body = await _fetch(gateway, address, TARGET_LIST_PATH)
    if body == b"":
        # An earlier build has no such page.
        body = await _fetch(gateway, address, TARGETS_PATH)
    if body is not None:
        listed, problems = decode_target_list(body)
        for problem in problems:
            reject_message(gateway, address, RegistrationInvalid("", problem))
        await apply_target_list(gateway, listed, address)


async def _fetch(gateway: Gateway, address: str, path: str) -> bytes | None:
    """Return a page of another gateway; None if it can't be had, so that this gateway watches.

    The page is empty if the other gateway doesn't have it.
    """
    client = create_http_client(address)
    try:
        answer = await client.get(path, FETCH_TIMEOUT_S)
    except TargetError as error:
        gateway.log.emit(events.PEER_UNREACHABLE, peer=address, reason=str(error))
        gateway.duty.take_over()
        return None
    finally:
        await client.aclose()
    return answer.body


def reject_message(gateway: Gateway, peer: str, error: Exception) -> None:
    """Count and log a message of another gateway that can't be used."""
    gateway.metrics.count("peer_messages_rejected_total")
    reason = f"{type(error).__name__}: {error}"[:200]
    gateway.log.emit(events.LINK_REJECTED, peer=peer, reason=reason)
