"""Gossip between gateways: sends this gateway's reports and applies those of the others.

Reports are UDP datagrams; a lost one is made up for by the next. Routes and registrations that are
newer at another gateway than here, and that the registry has not delivered, are fetched from that
gateway over HTTP.
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

# Delay before a newer version that another gateway reports is fetched from it, in seconds; by then
# the registry has usually delivered it.
FETCH_DELAY_S = 0.25
FETCH_TIMEOUT_S = 1.0
# One in this many rounds of reports to all gateways is full, in case earlier reports were lost.
FULL_REPORT_EVERY = 8
# Number of first rounds of a process in which all reports are full, so that all gateways soon know
# each other.
INITIAL_FULL_REPORTS = 8
# Largest number of recently sent prompt parts that one report carries.
MAX_REPORTED_PARTS = 32


def make_report(
    gateway: Gateway, incarnation: int, sequence: int, since_change: int = 0
) -> PeerReport:
    """Return this gateway's report of its present state.

    Parameters
    ----------
    incarnation : int
        Number of this run of the process.
    sequence : int
        Number of the report within the incarnation.
    since_change : int, optional
        Change number of the quotas: the report contains only the admitted totals that have
        changed since. With 0, the default, it is a full report: all totals, and the addresses of
        the gateways whose reports still arrive here.

    Notes
    -----
    The recently sent prompt parts are removed from the target table, so that each is reported once.
    """
    now_s = gateway.clock.now_s()
    loads = tuple(_target_load(target, now_s) for target in gateway.targets)
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
        sent_parts=gateway.targets.pop_sent_parts(MAX_REPORTED_PARTS),
        suspects=gateway.suspects.newest_pairs(),
        addresses=() if since_change else _live_addresses(gateway),
        data_centre=gateway.settings.data_centre,
    )


def _target_load(target: TrackedTarget, now_s: float) -> TargetLoad:
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
    """Send reports to all known gateways, more often within the data centre, until cancelled.

    The load of gateways whose reports no longer arrive is no longer counted, and each of them is
    logged.

    Parameters
    ----------
    incarnation : int
        Number of this run of the process.
    """
    peers, quotas, now_s = gateway.peers, gateway.quotas, gateway.clock.now_s
    # `all_change`, `local_change`: change number of the quotas at the last report to all gateways,
    # and at the last report of either kind; gateways of the data centre get both kinds.
    sequence = rounds = all_change = local_change = 0
    next_for_all_s = now_s()
    while True:
        sequence += 1
        if now_s() >= next_for_all_s:
            next_for_all_s = now_s() + _jittered_s(peers.report_interval_s())
            rounds += 1
            is_full = rounds <= INITIAL_FULL_REPORTS or rounds % FULL_REPORT_EVERY == 1
            since_change, all_change = (0 if is_full else all_change), quotas.change_number
            addresses = peers.addresses()
        else:
            since_change, addresses = local_change, peers.local_addresses()
        local_change = quotas.change_number
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
    """Apply the reports of other gateways until cancelled.

    Routes and registrations that are newer there than here are fetched. Datagrams that can't be
    decoded are logged and dropped.
    """
    newer_sender, newer_reports = anyio.create_memory_object_stream[PeerReport](1)

    async def fetch_newer() -> None:
        async for report in newer_reports:
            await anyio.sleep(FETCH_DELAY_S)
            await _fetch_newer(gateway, report)

    async with newer_reports, newer_sender, anyio.create_task_group() as tasks:
        tasks.start_soon(fetch_newer)
        async for data, (host, port) in socket:
            try:
                report = decode_report(data)
            except msgspec.DecodeError as error:
                gateway.log.emit(
                    events.LINK_REJECTED, peer=f"{host}:{port}", reason=f"{error}"[:200]
                )
                continue
            _apply_report(gateway, report)
            if _is_ahead(gateway, report):
                # While a fetch is running and another one waits, the report is skipped; a later one
                # triggers the next fetch.
                with suppress(anyio.WouldBlock):
                    newer_sender.send_nowait(report)


def _apply_report(gateway: Gateway, report: PeerReport) -> None:
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
    """Fetch routes and registrations from a gateway if they are still newer there than here."""
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
