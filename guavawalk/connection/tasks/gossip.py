"""Gossip between gateways: sends and applies the reports of gateways and summaries of data centres.

Both are UDP datagrams; a lost one is made up for by the next. Routes and registrations that are
newer at another gateway than here are fetched from it by `fetch_newer`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

import anyio
from anyio.abc import UDPSocket

from guavawalk import events
from guavawalk.connection.tasks.crash_news import apply_crash_news, apply_part_news
from guavawalk.connection.tasks.datagrams import send_datagram
from guavawalk.connection.tasks.fetch_newer import fetch_newer, is_ahead, reject_message
from guavawalk.connection.tasks.registry_news import apply_evacuations, observe_era
from guavawalk.process.gateway.centres import (
    SUMMARY_TAG,
    CentreSummary,
    decode_summary,
    encode_summary,
)
from guavawalk.process.gateway.crash_news import CRASH_NEWS_TAG, PART_NEWS_TAG
from guavawalk.process.gateway.loads import measure_load, sum_loads
from guavawalk.process.gateway.queue_reports import sum_received, sum_waiting
from guavawalk.process.gateway.reports import PeerReport, decode_report, encode_report
from guavawalk.process.gateway.version_sources import reported_list_state
from guavawalk.version.position import NO_POSITION

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["make_report", "make_summary", "receive_reports", "send_reports"]

# Pause after a fetch, in seconds: changes in quick succession are fetched together.
FETCH_PAUSE_S = 0.05
# Shortest time between two reports, in seconds, while there is news.
MIN_REPORT_INTERVAL_S = 0.02
# One in this many reports goes to silent and unknown gateways too, and holds all totals in case
# earlier reports were lost.
FULL_REPORT_EVERY = 8
# Number of first reports of a process that are full, so that all gateways soon know each other.
INITIAL_FULL_REPORTS = 8
# Each summary holds the totals that changed since this many summaries before, in case some were
# lost.
SUMMARIES_REPEATED = 4
# One in this many summaries goes to the seeds that are no known gateways too.
SEED_SUMMARY_EVERY = 16
# Largest numbers of recently sent prompt parts that one report and one summary carry.
MAX_REPORTED_PARTS = 32
MAX_SUMMARY_PARTS = 64


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
    loads = tuple(measure_load(target, now_s) for target in gateway.targets)
    return PeerReport(
        address=gateway.settings.peer_listen,
        incarnation=incarnation,
        sequence=sequence,
        age_s=round(now_s - gateway.started_s, 1),
        routes_version=gateway.routes.table.version,
        targets_revision=gateway.targets.last_change,
        is_leaving=gateway.callers.is_refusing,
        target_loads=tuple(load for load in loads if load.running or load.failed),
        admitted=gateway.quotas.admitted.changed_since(since_change),
        sent_parts=gateway.targets.pop_sent_parts(MAX_REPORTED_PARTS),
        list_state=gateway.targets.list_state,
        addresses=() if since_change else gateway.peers.named_addresses(),
        data_centre=gateway.settings.data_centre,
        is_registry_failing=gateway.duty.is_failing(),
        registry_era=gateway.targets.position.era,
        evacuations=gateway.evacuations.state,
        waiting=gateway.dispatcher.report_waiting(),
        received=gateway.dispatcher.report_received(),
    )


def make_summary(
    gateway: Gateway, own: PeerReport, sequence: int, since_change: int
) -> CentreSummary:
    """Return the summary of the data centre's gateways.

    Parameters
    ----------
    own : PeerReport
        The last report of this gateway, which is the relay.
    sequence : int
        Number of the summary within the incarnation.
    since_change : int
        Change number of the data centre's totals: only those that have changed since are in it.
    """
    reports = (own, *gateway.peers.live_reports())
    return CentreSummary(
        data_centre=own.data_centre,
        relay=own.address,
        incarnation=own.incarnation,
        sequence=sequence,
        routes_version=gateway.routes.table.version,
        targets_revision=gateway.targets.last_change,
        live=tuple(report.address for report in reports),
        silent=gateway.peers.silent_count(),
        target_loads=sum_loads((*own.target_loads, *gateway.peers.target_loads())),
        admitted=gateway.quotas.admitted_in_centre.changed_since(since_change),
        sent_parts=gateway.peers.pop_summary_parts(MAX_SUMMARY_PARTS),
        list_state=gateway.targets.list_state,
        contacts=gateway.peers.uncovered_contacts(),
        registry_era=gateway.targets.position.era,
        evacuations=gateway.evacuations.state,
        waiting=sum_waiting(calls for report in reports for calls in report.waiting),
        received=sum_received(report.received for report in reports),
    )


class _Sender:
    """Sends this gateway's reports, and its data centre's summaries while it is the relay."""

    def __init__(self, gateway: Gateway, socket: UDPSocket, incarnation: int) -> None:
        self._gateway = gateway
        self._socket = socket
        self._incarnation = incarnation
        self._sequence = 0
        self._summary_sequence = 0
        self._reported_change = 0
        # Change numbers of the data centre's totals at the last summaries, the oldest first.
        self._summary_changes = [0] * SUMMARIES_REPEATED
        self._report = PeerReport("", incarnation, 0)

    async def send_report(self) -> None:
        peers, quotas = self._gateway.peers, self._gateway.quotas
        self._sequence += 1
        is_full = self._sequence <= INITIAL_FULL_REPORTS or self._sequence % FULL_REPORT_EVERY == 1
        since_change = 0 if is_full else self._reported_change
        self._reported_change = quotas.admitted.change_number
        report = make_report(self._gateway, self._incarnation, self._sequence, since_change)
        self._report = report
        peers.add_summary_parts(report.sent_parts)
        addresses = peers.addresses() if is_full else peers.local_addresses()
        await self._send(encode_report(report), addresses)

    async def send_summary(self) -> None:
        peers, totals = self._gateway.peers, self._gateway.quotas.admitted_in_centre
        if not peers.is_relay():
            return
        self._summary_sequence += 1
        addresses = peers.summary_addresses()
        if self._summary_sequence % SEED_SUMMARY_EVERY == 1:
            addresses |= peers.unknown_seeds()
        if not addresses:
            return
        since_change = self._summary_changes.pop(0)
        self._summary_changes.append(totals.change_number)
        summary = make_summary(self._gateway, self._report, self._summary_sequence, since_change)
        await self._send(encode_summary(summary), addresses)

    async def _send(self, data: bytes, addresses: Iterable[str]) -> None:
        await send_datagram(self._gateway, self._socket, data, addresses)


async def send_reports(gateway: Gateway, socket: UDPSocket, incarnation: int) -> None:
    """Send reports and summaries until cancelled.

    Gateways and data centres from which none arrive any more are logged, and their load is no
    longer counted.

    Parameters
    ----------
    incarnation : int
        Number of this run of the process.
    """
    peers, now_s = gateway.peers, gateway.clock.now_s
    sender = _Sender(gateway, socket, incarnation)
    next_report_s = next_summary_s = now_s()
    while True:
        if now_s() >= next_report_s or peers.news.is_set():
            peers.news = anyio.Event()
            next_report_s = now_s() + _jittered_s(peers.report_interval_s())
            await sender.send_report()
            # Slots that were left to other gateways are left no longer.
            gateway.dispatcher.dispatch_all()
        if now_s() >= next_summary_s:
            next_summary_s = now_s() + _jittered_s(peers.summary_interval_s())
            await sender.send_summary()
        for address in peers.expire(now_s()):
            gateway.log.emit(events.GATEWAY_SILENT, peer=address)
        for data_centre in peers.centres.expire(now_s()):
            gateway.log.emit(events.GATEWAY_SILENT, peer=data_centre)
        with anyio.move_on_after(max(min(next_report_s, next_summary_s) - now_s(), 0.0)):
            await peers.news.wait()
            await anyio.sleep(MIN_REPORT_INTERVAL_S)


def _jittered_s(every_s: float) -> float:
    return random.uniform(0.8, 1.2) * every_s


async def receive_reports(gateway: Gateway, socket: UDPSocket) -> None:
    """Apply the reports and summaries of other gateways until cancelled.

    Routes and registrations that are newer there than here are fetched. Datagrams that can't be
    decoded are logged and dropped.
    """
    has_news = anyio.Event()

    async def fetch_news() -> None:
        nonlocal has_news
        while True:
            await has_news.wait()
            has_news = anyio.Event()
            try:
                await fetch_newer(gateway)
            except Exception as error:
                # A page that can't be used must not end the task that receives reports.
                reject_message(gateway, "", error)
            await anyio.sleep(FETCH_PAUSE_S)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fetch_news)
        async for data, (host, port) in socket:
            try:
                if data.startswith(CRASH_NEWS_TAG):
                    apply_crash_news(gateway, data)
                    continue
                if data.startswith(PART_NEWS_TAG):
                    apply_part_news(gateway, data)
                    continue
                if data.startswith(SUMMARY_TAG):
                    news = decode_summary(data)
                    _apply_registry_news(gateway, news, news.relay)
                    is_new = _apply_summary(gateway, news)
                    if is_new and news.relay == f"{host}:{port}":
                        await send_datagram(gateway, socket, data, gateway.peers.local_addresses())
                else:
                    news = decode_report(data)
                    _apply_registry_news(gateway, news, news.address)
                    _apply_report(gateway, news)
            except Exception as error:
                # Nor must a datagram, whatever it holds.
                reject_message(gateway, f"{host}:{port}", error)
                continue
            if is_ahead(gateway, news):
                has_news.set()


def _apply_report(gateway: Gateway, report: PeerReport) -> None:
    if gateway.peers.apply_report(report, gateway.clock.now_s()):
        gateway.log.emit(
            events.GATEWAY_HEARD,
            peer=report.address,
            incarnation=report.incarnation,
            routes_version=report.routes_version,
        )
        _greet(gateway, report.address)
    if report.data_centre == gateway.settings.data_centre:
        gateway.dispatcher.slot_yield.reports.apply(
            report.address, report.waiting, report.received, gateway.clock.now_s()
        )
    gateway.dispatcher.dispatch_all()
    if report.data_centre == gateway.settings.data_centre:
        gateway.peers.add_addresses(report.addresses)


def _apply_summary(gateway: Gateway, summary: CentreSummary) -> bool:
    if summary.data_centre == gateway.settings.data_centre:
        return False
    was_live = gateway.peers.centres.is_live(summary.data_centre)
    if not gateway.peers.centres.apply(summary, gateway.clock.now_s()):
        # Another relay of that data centre is followed: the two may not know each other yet.
        gateway.peers.add_contact(summary.relay, gateway.clock.now_s())
        return False
    if not was_live:
        gateway.log.emit(
            events.GATEWAY_HEARD,
            peer=summary.relay,
            incarnation=summary.incarnation,
            routes_version=summary.routes_version,
        )
        _greet(gateway, summary.relay)
    gateway.dispatcher.slot_yield.reports.apply(
        summary.data_centre,
        summary.waiting,
        summary.received,
        gateway.clock.now_s(),
        is_local=False,
    )
    gateway.dispatcher.dispatch_all()
    gateway.peers.add_addresses(summary.contacts)
    return True


def _greet(gateway: Gateway, address: str) -> None:
    """Have the most suspected requests and parts sent to a gateway that may know none."""
    gateway.crash_news.greet(address)
    gateway.part_news.greet(address)


def _apply_registry_news(gateway: Gateway, news: PeerReport | CentreSummary, source: str) -> None:
    """Take the era, the evacuations and the state of the list that another gateway reports."""
    list_state = reported_list_state(news)
    gateway.targets.confirm(list_state)
    position = max(list_state.position, news.evacuations.position)
    if position != NO_POSITION:
        observe_era(gateway, position.era, source)
    if news.evacuations.position != NO_POSITION:
        apply_evacuations(gateway, news.evacuations, source)
