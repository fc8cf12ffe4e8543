"""The other gateways, and what they last told."""

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

# Time between reports where a few gateways hear each other, in seconds. With more of them it grows
# in proportion, so that a gateway's bytes stay the same; the more so between data centres, where
# bytes are dear.
REPORT_EVERY_S = 0.2
REPORT_GATEWAYS = 6
# A gateway not heard for so many reports, and at least this long, no longer counts for loads.
SILENT_REPORTS = 3.5
LEAST_SILENT_S = 1.5
# A gateway not heard for this long no longer counts for shares of quotas.
FORGOTTEN_S = 20.0
# Addresses that a report passes on, and the most that are known.
MAX_ADDRESSES = 64


class TargetLoad(NamedTuple):
    """What one gateway has at one target, and has lately seen of it.

    Attributes
    ----------
    failed, ended : int
        Tenths of attempts that failed, and of all that ended, as much as they still count.
    """

    target_id: str
    running: int
    prefill_tokens: int
    slowness: float = 0.0
    failed: int = 0
    ended: int = 0


class PeerReport(NamedTuple):
    """What a gateway tells the others.

    Attributes
    ----------
    address : str
        Where it hears reports, `IP:port`.
    incarnation : int
        Differs between starts of the process.
    sequence : int
        Grows with each report of an incarnation.
    age_s : float
        How long the process has run.
    routes_version : int
        Version in force.
    targets_revision : int
        Revision of the registration that it took last.
    is_leaving : bool
        Whether it ends now.
    admitted : dict
        Running totals of admitted amounts by workspace.
    sent_parts : tuple
        Prompt parts that it has lately sent, with their target.
    suspects : tuple of int
        Requests that crashed targets, as `SuspectTable.newest_pairs` gives them.
    addresses : tuple of str
        Gateways that it has heard itself.
    data_centre : str
        Where it runs.
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
        If it isn't one.
    """
    return _decoder.decode(data)


def _is_later(report: PeerReport, known: PeerReport) -> bool:
    return report.incarnation != known.incarnation or report.sequence > known.sequence


class _Peer:
    def __init__(self, report: PeerReport, last_report_s: float) -> None:
        self.report = report
        self.last_report_s = last_report_s
        self.counts = False


class PeerTable:
    """Reports by address; sums them into what is believed of targets and quotas.

    Attributes
    ----------
    seeds : tuple of str
        Addresses of some gateways, perhaps old ones.
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
        self._near = 0
        self.seeds = tuple(seeds)
        self._targets = targets
        self._quotas = quotas
        self._peers: dict[str, _Peer] = {}
        self._introduced: set[str] = set()

    def apply_report(self, report: PeerReport, now_s: float) -> bool:
        """Take a report; say whether its gateway was not heard before.

        Notes
        -----
        Datagrams may come late or twice; one older than the last is dropped.
        """
        if report.address == self.own_address:
            return False
        peer = self._peers.get(report.address)
        is_new = peer is None or not peer.counts
        if peer is None:
            peer = self._peers[report.address] = _Peer(report, now_s)
        elif not _is_later(report, peer.report):
            return False
        self._discount(peer)
        if report.is_leaving:
            del self._peers[report.address]
            return False
        peer.report, peer.last_report_s = report, now_s
        self._count(peer)
        self._quotas.merge(
            f"{report.address}/{report.incarnation}", report.admitted, now_s, report.age_s
        )
        for target_id, part_id in report.sent_parts:
            target = self._targets.get(target_id)
            if target is not None:
                target.record_cached_parts((PromptPart(part_id, 0),), now_s)
        return is_new

    def expire(self, now_s: float) -> list[str]:
        """Stop counting the gateways that are silent; return those that have just become so."""
        silent = []
        silent_s = max(SILENT_REPORTS * self.report_interval_s(), LEAST_SILENT_S)
        for address, peer in list(self._peers.items()):
            if peer.counts and now_s - peer.last_report_s > silent_s:
                self._discount(peer)
                silent.append(address)
            if now_s - peer.last_report_s > FORGOTTEN_S:
                self._quotas.forget_gateway(f"{address}/{peer.report.incarnation}")
                del self._peers[address]
        return silent

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Note gateways that another one hears, to be told of this one."""
        for address in addresses:
            is_new = address != self.own_address and address not in self._peers
            if is_new and len(self._introduced) < MAX_ADDRESSES:
                self._introduced.add(address)

    def live_reports(self) -> list[PeerReport]:
        """Return the last reports of the gateways that are heard."""
        return [peer.report for peer in self._peers.values() if peer.counts]

    def addresses(self) -> set[str]:
        """Return the addresses to report to.

        Notes
        -----
        Those of the gateways known, silent ones too, those that others have named since the last
        call, and the seeds while fewer gateways than these are heard.
        """
        introduced, self._introduced = self._introduced, set()
        seeds = self.seeds if len(self.live_reports()) < len(self.seeds) else ()
        return {*self._peers, *introduced, *seeds} - {self.own_address}

    def local_addresses(self) -> set[str]:
        """Return the addresses of the gateways that are heard in the same data centre."""
        return {report.address for report in self.live_reports() if self._is_near(report)}

    def distant_report_lag_s(self) -> float:
        """Return by how much reports from other data centres come later than those from here."""
        return self.report_interval_s() - self.local_report_interval_s()

    def report_interval_s(self) -> float:
        """Return the time between two reports to all gateways."""
        return _report_every_s(self.count())

    def local_report_interval_s(self) -> float:
        """Return the time between two reports within the data centre."""
        return _report_every_s(self._near + 1)

    def count(self) -> int:
        """Return how many gateways there are, with this one and those lately silent."""
        return len(self._peers) + 1

    def live_share(self) -> float:
        """Return the part of all gateways that is heard, this one included."""
        return (sum(peer.counts for peer in self._peers.values()) + 1) / self.count()

    def _is_near(self, report: PeerReport) -> bool:
        return report.data_centre == self._data_centre

    def _count(self, peer: _Peer) -> None:
        peer.counts = True
        self._near += self._is_near(peer.report)
        for load in peer.report.target_loads:
            target = self._targets.get(load.target_id)
            if target is not None:
                target.peer_running += load.running
                target.peer_prefill_tokens += load.prefill_tokens
                target.add_peer_attempts(load.failed, load.ended)
                if load.slowness and not target.slowness.count:
                    target.slowness.value = load.slowness

    def _discount(self, peer: _Peer) -> None:
        if not peer.counts:
            return
        peer.counts = False
        self._near -= self._is_near(peer.report)
        for load in peer.report.target_loads:
            target = self._targets.get(load.target_id)
            if target is not None:
                target.add_peer_attempts(-load.failed, -load.ended)
                target.peer_running = max(target.peer_running - load.running, 0)
                target.peer_prefill_tokens = max(
                    target.peer_prefill_tokens - load.prefill_tokens, 0
                )


def _report_every_s(gateways: int) -> float:
    return REPORT_EVERY_S * max(gateways / REPORT_GATEWAYS, 1.0)


def create_peer_table(
    own_address: str,
    data_centre: str,
    seeds: Iterable[str],
    targets: TargetTable,
    quotas: QuotaWindows,
) -> PeerTable:
    """Create a table without gateways for the gateway at an address."""
    return PeerTable(own_address, data_centre, seeds, targets, quotas)
