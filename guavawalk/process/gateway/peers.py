"""Keeps the reports of the other gateways, and adds them to the state of targets and quotas."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import msgspec.msgpack

from guavawalk.process.gateway.quota import QuotaWindows
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.request.call import PromptPart

__all__ = [
    "PeerReport",
    "PeerTable",
    "TargetLoad",
    "create_peer_table",
    "decode_report",
    "encode_report",
]

# Time between two reports, in seconds, among up to `REPORT_GATEWAYS` gateways. Among more it grows
# in proportion to their number, so that a gateway sends the same bytes per second. For reports
# within a data centre only the gateways there count; reports between data centres, where traffic is
# expensive, are therefore rarer.
REPORT_INTERVAL_S = 0.2
REPORT_GATEWAYS = 6
# A gateway is silent, and its load no longer counts at the targets, once its last report is older
# than this many report intervals and than `MIN_SILENT_S` seconds.
SILENT_INTERVALS = 3.5
MIN_SILENT_S = 1.5
# A gateway whose last report is older than this, in seconds, is forgotten: it no longer counts when
# quotas are shared out.
FORGET_AFTER_S = 20.0
# Most addresses named by other gateways that are kept until the next report to all gateways.
MAX_NAMED_ADDRESSES = 64


class TargetLoad(NamedTuple):
    """What one gateway runs at one target, and has observed of it.

    Attributes
    ----------
    running : int
        Calls of the gateway at the target.
    prefill_tokens : int
        Prompt tokens to be processed for those calls that have had no event yet.
    slowness : float
        Ratio of the time between two events at the target to the nominal one; 0 if the gateway has
        not observed it.
    failed, ended : int
        Number of failed and of all ended attempts, weighted by age, in tenths of an attempt.
    """

    target_id: str
    running: int
    prefill_tokens: int
    slowness: float = 0.0
    failed: int = 0
    ended: int = 0


class PeerReport(NamedTuple):
    """State that a gateway sends to the others.

    Attributes
    ----------
    address : str
        `IP:port` at which the gateway receives reports.
    incarnation : int
        Differs between starts of the process.
    sequence : int
        Grows with each report of an incarnation.
    age_s : float
        Time since the process started, in seconds.
    routes_version : int
        Version of the routes in force; 0 before any.
    targets_revision : int
        Revision of the last change of registrations that it has applied; 0 before any.
    is_leaving : bool
        Whether the process shuts down and refuses calls.
    target_loads : tuple of TargetLoad
        Targets at which it runs calls or has seen failures.
    admitted : dict of str to float
        Running totals of admitted amounts by workspace; those that have not changed may be absent.
    sent_parts : tuple of (str, str)
        Pairs of a target's id and the id of a prompt part sent there since the previous report.
    suspects : tuple of int
        Suspected crashes of targets by requests, as `SuspectTable.newest_pairs` returns them.
    addresses : tuple of str
        Gateways whose reports it receives; empty in reports that hold only changes of `admitted`.
    data_centre : str
        Data centre of the gateway.
    """

    address: str
    incarnation: int
    sequence: int
    age_s: float = 0.0
    routes_version: int = 0
    targets_revision: int = 0
    is_leaving: bool = False
    target_loads: tuple[TargetLoad, ...] = ()
    admitted: dict[str, float] = {}
    sent_parts: tuple[tuple[str, str], ...] = ()
    suspects: tuple[int, ...] = ()
    addresses: tuple[str, ...] = ()
    data_centre: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerReport)


def encode_report(report: PeerReport) -> bytes:
    """Return a report as one datagram."""
    return _encoder.encode(report)


def decode_report(data: bytes) -> PeerReport:
    """Return the report of a datagram.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no report.
    """
    return _decoder.decode(data)


def _is_later(report: PeerReport, known: PeerReport) -> bool:
    return report.incarnation != known.incarnation or report.sequence > known.sequence


class _Peer:
    def __init__(self, report: PeerReport, last_report_s: float) -> None:
        self.report = report
        self.last_report_s = last_report_s
        # Whether its reports still arrive, so that its load is added to the targets.
        self.is_live = False


class PeerTable:
    """The other gateways by address; keeps their load added to the targets.

    Parameters
    ----------
    own_address : str
        `IP:port` at which this gateway receives reports.
    data_centre : str
        Data centre of this gateway.
    seeds : iterable of str
        Addresses of some gateways, which may be gone.

    Attributes
    ----------
    own_address, seeds
        As given.
    """

    def __init__(
        self,
        own_address: str,
        data_centre: str,
        seeds: Iterable[str],
        targets: TargetTable,
        quotas: QuotaWindows,
    ) -> None:
        self.own_address = own_address
        self._data_centre = data_centre
        # Live gateways in the same data centre, without this one.
        self._local_live = 0
        self.seeds = tuple(seeds)
        self._targets = targets
        self._quotas = quotas
        self._peers: dict[str, _Peer] = {}
        self._named_addresses: set[str] = set()

    def apply_report(self, report: PeerReport, now_s: float) -> bool:
        """Apply a report; return whether it makes its gateway live.

        Notes
        -----
        Datagrams may arrive late or twice. One that is not newer than the last is dropped, and so
        is one from this gateway itself. A gateway that leaves is removed at once.
        """
        if report.address == self.own_address:
            return False
        peer = self._peers.get(report.address)
        is_new = peer is None or not peer.is_live
        if peer is None:
            peer = self._peers[report.address] = _Peer(report, now_s)
        elif not _is_later(report, peer.report):
            return False
        self._subtract(peer)
        if report.is_leaving:
            del self._peers[report.address]
            return False
        peer.report, peer.last_report_s = report, now_s
        self._add(peer)
        self._quotas.merge(
            f"{report.address}/{report.incarnation}", report.admitted, now_s, report.age_s
        )
        for target_id, part_id in report.sent_parts:
            target = self._targets.get(target_id)
            if target is not None:
                target.record_cached_parts((PromptPart(part_id, 0),), now_s)
        return is_new

    def expire(self, now_s: float) -> list[str]:
        """Subtract the load of silent gateways; return the addresses of those live until now.

        Notes
        -----
        Gateways that have been silent for `FORGET_AFTER_S` are removed.
        """
        silent = []
        silent_s = max(SILENT_INTERVALS * self.report_interval_s(), MIN_SILENT_S)
        for address, peer in list(self._peers.items()):
            if peer.is_live and now_s - peer.last_report_s > silent_s:
                self._subtract(peer)
                silent.append(address)
            if now_s - peer.last_report_s > FORGET_AFTER_S:
                self._quotas.forget_gateway(f"{address}/{peer.report.incarnation}")
                del self._peers[address]
        return silent

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses that another gateway named, so that the next report goes to them too."""
        for address in addresses:
            is_new = address != self.own_address and address not in self._peers
            if is_new and len(self._named_addresses) < MAX_NAMED_ADDRESSES:
                self._named_addresses.add(address)

    def live_reports(self) -> list[PeerReport]:
        """Return the last reports of the gateways whose reports still arrive."""
        return [peer.report for peer in self._peers.values() if peer.is_live]

    def addresses(self) -> set[str]:
        """Return the addresses to report to.

        Notes
        -----
        These are all known gateways, silent ones included; the addresses that others have named
        since the last call; and the seeds while fewer gateways are live than there are seeds.
        """
        named, self._named_addresses = self._named_addresses, set()
        seeds = self.seeds if len(self.live_reports()) < len(self.seeds) else ()
        return {*self._peers, *named, *seeds} - {self.own_address}

    def local_addresses(self) -> set[str]:
        """Return the addresses of the live gateways in the same data centre."""
        return {report.address for report in self.live_reports() if self._is_local(report)}

    def distant_report_lag_s(self) -> float:
        """Return by how many seconds reports from other data centres are later than local ones."""
        return self.report_interval_s() - self.local_report_interval_s()

    def report_interval_s(self) -> float:
        """Return the time between two reports to all gateways, in seconds."""
        return _report_interval_s(self.count())

    def local_report_interval_s(self) -> float:
        """Return the time between two reports within the data centre, in seconds."""
        return _report_interval_s(self._local_live + 1)

    def count(self) -> int:
        """Return the number of known gateways, this one and silent ones included."""
        return len(self._peers) + 1

    def live_share(self) -> float:
        """Return the share of known gateways that are live, from 0 to 1, this one included."""
        return (sum(peer.is_live for peer in self._peers.values()) + 1) / self.count()

    def _is_local(self, report: PeerReport) -> bool:
        return report.data_centre == self._data_centre

    def _add(self, peer: _Peer) -> None:
        """Add a gateway's load to the targets."""
        peer.is_live = True
        self._local_live += self._is_local(peer.report)
        for load in peer.report.target_loads:
            target = self._targets.get(load.target_id)
            if target is not None:
                target.peer_running += load.running
                target.peer_prefill_tokens += load.prefill_tokens
                target.add_peer_attempts(load.failed, load.ended)
                # Until this gateway has observed the target itself, another's observation counts.
                if load.slowness and not target.slowness.count:
                    target.slowness.value = load.slowness

    def _subtract(self, peer: _Peer) -> None:
        """Subtract the load that `_add` added.

        Notes
        -----
        Numbers stay at 0 or above: a target that has started again since then begins at 0.
        """
        if not peer.is_live:
            return
        peer.is_live = False
        self._local_live -= self._is_local(peer.report)
        for load in peer.report.target_loads:
            target = self._targets.get(load.target_id)
            if target is not None:
                target.add_peer_attempts(-load.failed, -load.ended)
                target.peer_running = max(target.peer_running - load.running, 0)
                target.peer_prefill_tokens = max(
                    target.peer_prefill_tokens - load.prefill_tokens, 0
                )


def _report_interval_s(gateways: int) -> float:
    return REPORT_INTERVAL_S * max(gateways / REPORT_GATEWAYS, 1.0)


def create_peer_table(
    own_address: str,
    data_centre: str,
    seeds: Iterable[str],
    targets: TargetTable,
    quotas: QuotaWindows,
) -> PeerTable:
    """Create a table without peers for the gateway at an address."""
    return PeerTable(own_address, data_centre, seeds, targets, quotas)
