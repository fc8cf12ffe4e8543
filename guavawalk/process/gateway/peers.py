"""Keeps the reports of the gateways of the same data centre, and adds them to targets and quotas.

Gateways of other data centres count by the summaries of `centres`. Reports from there arrive only
before a summary has: they name a gateway to which a summary can be sent.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator

import anyio

from guavawalk.process.gateway.centres import CentreTable
from guavawalk.process.gateway.loads import (
    AddedLoads,
    TargetLoad,
    add_loads,
    add_missing_loads,
    add_sent_parts,
    subtract_loads,
)
from guavawalk.process.gateway.quota import QuotaWindows
from guavawalk.process.gateway.reports import PeerReport, is_later
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.gateway.version_sources import (
    ListSource,
    VersionSource,
    newest_routes,
    newest_targets,
)
from guavawalk.process.spread.ranking import rank_nodes
from guavawalk.version.list_state import NO_LIST, ListState

__all__ = ["PeerTable", "create_peer_table"]

# Time between two reports, in seconds, among up to `REPORT_GATEWAYS` gateways of a data centre.
# Among more it grows in proportion to their number, so that a gateway sends the same bytes per
# second.
REPORT_INTERVAL_S = 0.2
REPORT_GATEWAYS = 6
# Time between two summaries of a data centre for the others, in seconds, among up to
# `REPORT_GATEWAYS` gateways in all. Among more it grows in proportion to their number, to at most
# `MAX_SUMMARY_INTERVAL_S` seconds: the summaries of few gateways are small.
SUMMARY_INTERVAL_S = 0.1
MAX_SUMMARY_INTERVAL_S = 0.3
# A gateway is silent, and its load no longer counts at the targets, once its last report is older
# than this many report intervals and than `MIN_SILENT_S` seconds.
SILENT_INTERVALS = 3.5
MIN_SILENT_S = 1.5
# A gateway whose last report is older than this, in seconds, is forgotten: it no longer counts when
# quotas are shared out.
FORGET_AFTER_S = 20.0
# Most addresses named by other gateways that are kept until the next report to all gateways.
MAX_NAMED_ADDRESSES = 64
# Most sent prompt parts that are kept for the next summary; the oldest are dropped first.
MAX_SUMMARY_PARTS = 256


class _Peer:
    def __init__(self, report: PeerReport, last_report_s: float) -> None:
        self.report = report
        self.last_report_s = last_report_s
        # Whether its reports still arrive, so that its load is added to the targets.
        self.is_live = False
        # What of its load has been added.
        self.added_loads: AddedLoads = ()

    @property
    def is_serving(self) -> bool:
        """Whether its reports still arrive, and it takes calls."""
        return self.is_live and not self.report.is_leaving


class PeerTable:
    """The other gateways; keeps the load of those in the data centre added to the targets.

    Parameters
    ----------
    own_address : str
        `IP:port` at which this gateway receives reports.
    data_centre : str
        Data centre of this gateway.
    seeds : iterable of str
        Addresses of some gateways, which may be gone.
    centres : CentreTable
        The other data centres.

    Attributes
    ----------
    own_address, seeds, centres
        As given.
    changed : anyio.Event
        Set, and replaced, when a gateway of the data centre becomes live or silent, or its registry
        begins or ceases to answer it.
    registry_failed_s : float
        When another gateway of the data centre last reported that the registry does not answer it;
        minus infinity before any.
    news : anyio.Event
        Set when the next report is due at once; the sender replaces it.
    send_lock : anyio.Lock
        Held while datagrams are sent.
    """

    def __init__(
        self,
        own_address: str,
        data_centre: str,
        seeds: Iterable[str],
        targets: TargetTable,
        quotas: QuotaWindows,
        centres: CentreTable,
    ) -> None:
        self.own_address = own_address
        self._data_centre = data_centre
        self.seeds = tuple(seeds)
        self.centres = centres
        self._targets = targets
        self._quotas = quotas
        self._peers: dict[str, _Peer] = {}
        # Live gateways of the data centre by rank, this one included.
        self._ranked: tuple[str, ...] = (own_address,)
        # When gateways of other data centres last reported here, by address.
        self._contacts: dict[str, float] = {}
        self._named_addresses: set[str] = set()
        self._summary_parts: deque[tuple[str, str]] = deque(maxlen=MAX_SUMMARY_PARTS)
        self.registry_failed_s = -math.inf
        self.changed = anyio.Event()
        self.news = anyio.Event()
        self.send_lock = anyio.Lock()

    def report_news(self) -> None:
        """Have the next report sent at once, since a newer version is known here."""
        self.news.set()

    def apply_report(self, report: PeerReport, now_s: float) -> bool:
        """Apply a report; return whether it makes its gateway live, or is the first of its start.

        Notes
        -----
        Datagrams may arrive late or twice. One that is not newer than the last is dropped, and so
        is one from this gateway itself. A gateway that leaves is no longer live, but its load
        counts while its reports arrive, since its calls go on.
        """
        if report.address == self.own_address:
            return False
        if report.data_centre != self._data_centre:
            self.add_contact(report.address, now_s)
            return False
        peer = self._peers.get(report.address)
        was_serving = peer is not None and peer.is_serving
        if peer is None:
            peer = self._peers[report.address] = _Peer(report, now_s)
        elif not is_later(report, peer.report):
            return False
        is_new_start = report.incarnation != peer.report.incarnation
        was_failing = peer.report.is_registry_failing
        if peer.is_live:
            subtract_loads(peer.added_loads)
        peer.report, peer.last_report_s = report, now_s
        peer.is_live = True
        if report.is_registry_failing:
            self.registry_failed_s = now_s
        peer.added_loads = add_loads(self._targets, report.target_loads)
        self._quotas.merge_local(
            f"{report.address}/{report.incarnation}", report.admitted, now_s, report.age_s
        )
        add_sent_parts(self._targets, report.sent_parts, now_s)
        self.add_summary_parts(report.sent_parts)
        if was_serving != peer.is_serving or was_failing != report.is_registry_failing:
            self._record_change()
        return peer.is_serving and (not was_serving or is_new_start)

    def add_contact(self, address: str, now_s: float) -> None:
        """Record that a gateway of another data centre was heard, and may be in no summary."""
        if len(self._contacts) < MAX_NAMED_ADDRESSES or address in self._contacts:
            self._contacts[address] = now_s

    def _record_change(self) -> None:
        live = (address for address, peer in self._peers.items() if peer.is_serving)
        self._ranked = rank_nodes((self.own_address, *live))
        self.changed.set()
        self.changed = anyio.Event()

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
                peer.is_live = False
                subtract_loads(peer.added_loads)
                if not peer.report.is_leaving:
                    silent.append(address)
            if now_s - peer.last_report_s > FORGET_AFTER_S:
                self._quotas.forget_gateway(f"{address}/{peer.report.incarnation}")
                del self._peers[address]
        for address, reported_s in list(self._contacts.items()):
            if now_s - reported_s > FORGET_AFTER_S:
                del self._contacts[address]
        if silent:
            self._record_change()
        return silent

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses that another gateway named, so that the next full report goes to them too.

        Of those named by gateways of other data centres only contacts may be added: to report to
        all gateways of another data centre would have all of them report here.
        """
        for address in addresses:
            is_new = address != self.own_address and address not in self._peers
            if is_new and len(self._named_addresses) < MAX_NAMED_ADDRESSES:
                self._named_addresses.add(address)

    def count_missing_loads(self) -> None:
        """Add the loads of targets that were not known when they were reported."""
        for peer in self._peers.values():
            if peer.is_live:
                peer.added_loads = add_missing_loads(
                    self._targets, peer.report.target_loads, peer.added_loads
                )
        self.centres.count_missing_loads()

    def live_reports(self) -> list[PeerReport]:
        """Return the last reports of the data centre's live gateways."""
        return [peer.report for peer in self._peers.values() if peer.is_serving]

    def target_loads(self) -> Iterator[TargetLoad]:
        """Yield the loads that the data centre's gateways reported last, leaving ones included."""
        for peer in self._peers.values():
            if peer.is_live:
                yield from peer.report.target_loads

    def addresses(self) -> set[str]:
        """Return the addresses to report to, those of silent and unknown gateways included.

        Notes
        -----
        These are all known gateways of the data centre, silent ones included; the addresses that
        others have named since the last call; and the seeds while fewer gateways are live than
        there are seeds.
        """
        named, self._named_addresses = self._named_addresses, set()
        seeds = self.seeds if self.live_count() <= len(self.seeds) else ()
        return {*self._peers, *named, *seeds} - {self.own_address}

    def local_addresses(self) -> set[str]:
        """Return the addresses of the gateways in the same data centre whose reports arrive.

        Those that leave are included: they still choose targets for calls that wait or are resumed.
        """
        return {address for address, peer in self._peers.items() if peer.is_live}

    def named_addresses(self) -> tuple[str, ...]:
        """Return the addresses to name to others of the data centre.

        Notes
        -----
        These are its live gateways, and the uncovered contacts.
        """
        return (*self._ranked, *self.uncovered_contacts())

    def summary_addresses(self) -> set[str]:
        """Return the addresses to which a relay sends its summary."""
        return {*self.centres.receivers(), *self.uncovered_contacts()}

    def unknown_seeds(self) -> set[str]:
        """Return the seeds at which no known gateway is, such as those of a data centre cut off."""
        known = {self.own_address, *self._peers, *self.centres.live_addresses()}
        return set(self.seeds) - known

    def uncovered_contacts(self) -> tuple[str, ...]:
        """Return the gateways of other data centres that reported here and are in no summary."""
        if not self._contacts:
            return ()
        covered = self.centres.live_addresses()
        return tuple(address for address in self._contacts if address not in covered)

    def is_relay(self) -> bool:
        """Return whether this gateway sends the data centre's summaries: the first live by rank."""
        return self._ranked[0] == self.own_address

    def ranked_by_registry(self, is_own_failing: bool) -> tuple[str, ...]:
        """Return the live gateways of the data centre by rank, those with a failing registry last.

        Parameters
        ----------
        is_own_failing : bool
            Whether the registry does not answer this gateway.
        """

        def is_failing(address: str) -> bool:
            if address == self.own_address:
                return is_own_failing
            return self._peers[address].report.is_registry_failing

        return tuple(sorted(self._ranked, key=is_failing))

    def add_summary_parts(self, sent_parts: Iterable[tuple[str, str]]) -> None:
        """Keep prompt parts that were sent from the data centre for its next summary."""
        self._summary_parts.extend(sent_parts)

    def pop_summary_parts(self, max_parts: int) -> tuple[tuple[str, str], ...]:
        """Remove and return the oldest of the kept prompt parts."""
        parts = self._summary_parts
        return tuple(parts.popleft() for _ in range(min(max_parts, len(parts))))

    def newest_routes(self) -> VersionSource:
        """Return the gateway with the newest routes, one of the same data centre if there is."""
        return newest_routes(self.live_reports(), self.centres.live_summaries())

    def newest_targets(self, known: ListState = NO_LIST) -> ListSource:
        """Return a gateway with the newest registrations, of the same data centre if possible.

        Parameters
        ----------
        known : ListState, optional
            The list known here; a gateway nearby is preferred only if its list is newer.
        """
        return newest_targets(self.live_reports(), self.centres.live_summaries(), known)

    def report_interval_s(self) -> float:
        """Return the time between two reports within the data centre, in seconds."""
        return REPORT_INTERVAL_S * max(len(self._ranked) / REPORT_GATEWAYS, 1.0)

    def summary_interval_s(self) -> float:
        """Return the time between two summaries of the data centre, in seconds."""
        interval_s = SUMMARY_INTERVAL_S * max(self.count() / REPORT_GATEWAYS, 1.0)
        return min(interval_s, MAX_SUMMARY_INTERVAL_S)

    def count(self) -> int:
        """Return the number of known gateways, this one and silent ones included."""
        return self.local_count() + self.centres.count()

    def local_count(self) -> int:
        """Return the number of known gateways of the data centre, this one included.

        Those that leave do not count.
        """
        return sum(not peer.report.is_leaving for peer in self._peers.values()) + 1

    def silent_count(self) -> int:
        """Return the number of known gateways of the data centre that are silent."""
        return self.local_count() - len(self._ranked)

    def live_count(self) -> int:
        """Return the number of live gateways, this one included."""
        return len(self._ranked) + self.centres.live_count()

    def live_share(self) -> float:
        """Return the share of known gateways that are live, from 0 to 1, this one included."""
        return min(self.live_count() / self.count(), 1.0)

    def sharing_addresses(self) -> set[str]:
        """Return the addresses of all known gateways, this one, silent ones and seeds included."""
        named = {key for peer in self._peers.values() for key in peer.report.addresses}
        known = {self.own_address, *self._peers, *self._contacts, *self.seeds}
        return known | named | self.centres.last_addresses()


def create_peer_table(
    own_address: str,
    data_centre: str,
    seeds: Iterable[str],
    targets: TargetTable,
    quotas: QuotaWindows,
    centres: CentreTable,
) -> PeerTable:
    """Create a table without peers for the gateway at an address."""
    return PeerTable(own_address, data_centre, seeds, targets, quotas, centres)
