"""The tasks that tell the other gateways of this one, and hear of them.

Reports go as datagrams; whatever one lacks is in the next. Routes and registrations that another
gateway has and the registry has not given go over a connection to it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import msgspec
import msgspec.msgpack
from anyio.abc import UDPSocket

from guavawalk import events
from guavawalk.connection.address import split_address
from guavawalk.connection.http_client import create_http_client
from guavawalk.connection.tasks.follow_registry import apply_routes, apply_target_list
from guavawalk.exception import TargetError
from guavawalk.process.gateway.pages import ROUTES_PATH, TARGETS_PATH
from guavawalk.process.gateway.peers import (
    PeerReport,
    TargetLoad,
    decode_report,
    encode_report,
)
from guavawalk.version.registrations import ListedTargets
from guavawalk.version.routes import RouteTable

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway
    from guavawalk.process.gateway.targets import TrackedTarget

__all__ = ["make_report", "receive_reports", "send_reports"]

# A newer version told by another gateway is fetched after this time unless the registry gives it.
FETCH_AFTER_S = 0.25
FETCH_TIMEOUT_S = 1.0
# Of so many reports one tells everything, in case the others were lost.
FULL_EVERY = 8
# The first reports of a process tell everything, so that all gateways are soon known to it.
FULL_AT_FIRST = 8
# Parts sent lately that one report passes on.
MAX_PARTS = 32


def make_report(
    gateway: Gateway, incarnation: int, sequence: int, since_change: int = 0
) -> PeerReport:
    """Return what this gateway tells now.

    Parameters
    ----------
    since_change : int
        Of the quotas: only totals that have changed since are told. With 0 all are told, and
        which gateways are heard.
    """
    now_s = gateway.clock.now_s()
    loads = tuple(_load(target, now_s) for target in gateway.targets)
    return PeerReport(
        address=gateway.settings.peer_listen,
        incarnation=incarnation,
        sequence=sequence,
        age_s=round(now_s - gateway.started_s, 1),
        routes_version=gateway.routes.table.version,
        targets_revision=gateway.targets.revision,
        is_leaving=gateway.callers.is_refusing,
        target_loads=tuple(load for load in loads if load.running or load.failed),
        admitted=gateway.quotas.admitted_since(since_change),
        sent_parts=gateway.targets.pop_sent_parts(MAX_PARTS),
        suspects=gateway.suspects.newest_pairs(),
        addresses=() if since_change else _live_addresses(gateway),
        data_centre=gateway.settings.data_centre,
    )


def _load(target: TrackedTarget, now_s: float) -> TargetLoad:
    failed, ended = target.failures.weighted_counts(now_s)
    return TargetLoad(
        target.registration.target_id,
        target.running,
        target.prefill_tokens,
        round(target.slowness.value, 2) if target.slowness.count else 0.0,
        round(10 * failed),
        round(10 * ended),
    )


def _live_addresses(gateway: Gateway) -> tuple[str, ...]:
    return tuple(report.address for report in gateway.peers.live_reports())


async def send_reports(gateway: Gateway, socket: UDPSocket, incarnation: int) -> None:
    """Send reports to all gateways known, and more often to those of the same data centre."""
    peers, quotas, now_s = gateway.peers, gateway.quotas, gateway.clock.now_s
    sequence = rounds = all_change = near_change = 0
    next_for_all_s = now_s()
    while True:
        sequence += 1
        if now_s() >= next_for_all_s:
            next_for_all_s = now_s() + _jittered_s(peers.report_interval_s())
            rounds += 1
            is_full = rounds <= FULL_AT_FIRST or rounds % FULL_EVERY == 1
            since_change, all_change = (0 if is_full else all_change), quotas.change_number
            addresses = peers.addresses()
        else:
            since_change, addresses = near_change, peers.local_addresses()
        near_change = quotas.change_number
        data = encode_report(make_report(gateway, incarnation, sequence, since_change))
        await _send_to(gateway, socket, data, addresses)
        wait_s = min(_jittered_s(peers.local_report_interval_s()), next_for_all_s - now_s())
        await anyio.sleep(max(wait_s, 0.0))
        for address in peers.expire(now_s()):
            gateway.log.emit(events.GATEWAY_SILENT, peer=address)


def _jittered_s(every_s: float) -> float:
    return random.uniform(0.8, 1.2) * every_s


async def _send_to(
    gateway: Gateway, socket: UDPSocket, data: bytes, addresses: Iterable[str]
) -> None:
    for address in addresses:
        try:
            await socket.sendto(data, *split_address(address))
        except OSError as error:
            gateway.log.emit(events.PEER_UNREACHABLE, peer=address, reason=str(error))


async def receive_reports(gateway: Gateway, socket: UDPSocket) -> None:
    """Take the reports of other gateways, and fetch routes newer than those in force."""
    notify_newer, newer = anyio.create_memory_object_stream[PeerReport](1)

    async def fetch_newer() -> None:
        async for report in newer:
            await anyio.sleep(FETCH_AFTER_S)
            await _fetch_newer(gateway, report)

    async with newer, notify_newer, anyio.create_task_group() as tasks:
        tasks.start_soon(fetch_newer)
        async for data, (host, port) in socket:
            try:
                report = decode_report(data)
            except msgspec.DecodeError as error:
                gateway.log.emit(
                    events.LINK_REJECTED, peer=f"{host}:{port}", reason=f"{error}"[:200]
                )
                continue
            _take_report(gateway, report)
            if _is_ahead(gateway, report):
                # While a fetch is under way the next report asks again.
                with suppress(anyio.WouldBlock):
                    notify_newer.send_nowait(report)


def _take_report(gateway: Gateway, report: PeerReport) -> None:
    if gateway.peers.apply_report(report, gateway.clock.now_s()):
        gateway.log.emit(
            events.GATEWAY_HEARD,
            peer=report.address,
            incarnation=report.incarnation,
            routes_version=report.routes_version,
        )
    gateway.dispatcher.dispatch_all()
    gateway.suspects.merge(report.suspects)
    gateway.peers.add_addresses(report.addresses)


def _is_ahead(gateway: Gateway, report: PeerReport) -> bool:
    return (
        report.routes_version > gateway.routes.table.version
        or report.targets_revision > gateway.targets.revision
    )


async def _fetch_newer(gateway: Gateway, report: PeerReport) -> None:
    """Take from a gateway what it has and the registry has not given here meanwhile."""
    client = create_http_client(report.address)
    try:
        if report.routes_version > gateway.routes.table.version:
            answer = await client.get(ROUTES_PATH, FETCH_TIMEOUT_S)
            table = msgspec.msgpack.decode(answer.body, type=RouteTable)
            apply_routes(gateway, table, report.address)
        if report.targets_revision > gateway.targets.revision:
            answer = await client.get(TARGETS_PATH, FETCH_TIMEOUT_S)
            listed = msgspec.msgpack.decode(answer.body, type=ListedTargets)
            await apply_target_list(gateway, listed, report.address)
    except (TargetError, msgspec.DecodeError) as error:
        gateway.log.emit(events.PEER_UNREACHABLE, peer=report.address, reason=str(error))
    finally:
        await client.aclose()
