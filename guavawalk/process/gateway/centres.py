"""Keeps the summaries of the other data centres, and adds them to targets and quotas.

Within a data centre every gateway reports to every other. Between data centres, where traffic is
expensive, the relay of each, its first live gateway by rank, sends a summary of all its gateways to
two gateways of every other; these forward it to the gateways beside them. A summary only tells:
nothing that must happen once depends on it, and of two relays of a data centre one is followed.
"""

from typing import NamedTuple

import msgspec.msgpack

from guavawalk.bounded import Address, Amount, Name, Number
from guavawalk.process.gateway.loads import (
    AddedLoads,
    TargetLoad,
    add_loads,
    add_missing_loads,
    add_sent_parts,
    subtract_loads,
)
from guavawalk.process.gateway.queue_reports import WaitingCalls
from guavawalk.process.gateway.quota import QuotaWindows
from guavawalk.process.gateway.targets import TargetTable
from guavawalk.process.spread.ranking import rank_nodes
from guavawalk.version.evacuations import NO_EVACUATIONS, Evacuations
from guavawalk.version.list_state import NO_LIST, ListState

__all__ = [
    "SUMMARY_TAG",
    "CentreSummary",
    "CentreTable",
    "create_centre_table",
    "decode_summary",
    "encode_summary",
]

# First byte of the datagram of a summary; no msgpack value begins with it, so no report does.
SUMMARY_TAG = b"\xc1"
# Gateways of another data centre to which a relay sends its summary: a second one, so that nothing
# is lost while the first one's end has not been noticed.
RECEIVERS_PER_CENTRE = 2
# Time without a summary after which a data centre's gateways count as silent, and their load at
# targets no longer counts, in seconds; less if it has one gateway, since no other can take over.
SILENT_AFTER_S = 2.5
ALONE_SILENT_AFTER_S = 1.5
# Time without a summary after which that of another relay of the same data centre is followed, in
# seconds. A relay that ranks before the present one is followed at once.
SWITCH_AFTER_S = 1.0
# Time without a summary after which a data centre's gateways no longer count when quotas are shared
# out, in seconds. Summaries are sent to its gateways further on, so that a healed link is noticed.
FORGET_AFTER_S = 20.0


class CentreSummary(NamedTuple):
    """State of all gateways of a data centre, which its relay sends to the others.

    Attributes
    ----------
    relay : str
        `IP:port` at which the sender receives reports.
    incarnation : int
        Differs between starts of the relay's process.
    sequence : int
        Grows with each summary of an incarnation.
    routes_version : int
        Version of the routes in force at the relay; 0 before any.
    targets_revision : int
        Revision of the last change of registrations that the relay knows; 0 before any. Only
        earlier builds order lists by it.
    live : tuple of str
        Addresses of the gateways whose reports reach the relay, itself included.
    silent : int
        Number of gateways whose reports no longer reach it, but which may run.
    target_loads : tuple of TargetLoad
        What all gateways of the data centre run at each target.
    admitted : dict of str to float
        Running totals of what they admitted together, by workspace, since the relay's start; those
        that have not changed may be absent.
    sent_parts : tuple of (str, str)
        Pairs of a target's id and the id of a prompt part sent there since the previous summary.
    list_state : ListState
        How far the registrations are complete that the relay knows. Earlier builds have a tuple of
        integers in its place, which they don't read, and send an empty one.
    contacts : tuple of str
        Gateways of other data centres that reported to this one and are in no summary. They may
        not have found the gateways beside them yet.
    registry_era : int
        Era of the registry that `targets_revision` belongs to.
    evacuations : Evacuations
        The last state of the evacuations that the relay knows.
    waiting : tuple of WaitingCalls
        Calls that wait at all gateways of the data centre, by service and rank.
    received : dict of str to float
        Cost that workspaces have received there, weighted by age; the largest ones only.
    """

    data_centre: str
    relay: Address
    incarnation: Number
    sequence: Number
    routes_version: Number = 0
    targets_revision: Number = 0
    live: tuple[Address, ...] = ()
    silent: Number = 0
    target_loads: tuple[TargetLoad, ...] = ()
    admitted: dict[str, Amount] = {}
    sent_parts: tuple[tuple[str, str], ...] = ()
    list_state: ListState = NO_LIST
    contacts: tuple[Address, ...] = ()
    registry_era: Number = 0
    evacuations: Evacuations = NO_EVACUATIONS
    waiting: tuple[WaitingCalls, ...] = ()
    received: dict[Name, Amount] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CentreSummary)


def encode_summary(summary: CentreSummary) -> bytes:
    """Return a summary as one datagram."""
    return SUMMARY_TAG + _encoder.encode(summary)


def decode_summary(data: bytes) -> CentreSummary:
    """Return the summary of a datagram that begins with `SUMMARY_TAG`.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no summary, or a value out of bounds.
    """
    return _decoder.decode(data[len(SUMMARY_TAG) :])


class _Centre:
    def __init__(self, summary: CentreSummary, now_s: float) -> None:
        self.summary = summary
        self.received_s = now_s
        # Whether summaries still arrive, so that the load is added to the targets.
        self.is_live = False
        # What of the load has been added.
        self.added_loads: AddedLoads = ()
        # Whether its gateways count when quotas are shared out.
        self.is_counted = True


class CentreTable:
    """The other data centres; keeps the load of their gateways added to the targets."""

    def __init__(self, targets: TargetTable, quotas: QuotaWindows) -> None:
        self._targets = targets
        self._quotas = quotas
        self._centres: dict[str, _Centre] = {}

    def apply(self, summary: CentreSummary, now_s: float) -> bool:
        """Apply a summary; return whether it was newer than the last, and of the relay followed."""
        centre = self._centres.get(summary.data_centre)
        if centre is None:
            centre = self._centres[summary.data_centre] = _Centre(summary, now_s)
        elif not self._is_followed(summary, centre, now_s):
            return False
        if centre.is_live:
            subtract_loads(centre.added_loads)
        centre.summary, centre.received_s = summary, now_s
        centre.is_live = centre.is_counted = True
        centre.added_loads = add_loads(self._targets, summary.target_loads)
        add_sent_parts(self._targets, summary.sent_parts, now_s)
        # What a relay has counted before its first summary here was told by the relay before it.
        self._quotas.merge(_stream_name(summary), summary.admitted, now_s)
        return True

    def _is_followed(self, summary: CentreSummary, centre: _Centre, now_s: float) -> bool:
        known = centre.summary
        if summary.relay == known.relay:
            return summary.incarnation != known.incarnation or summary.sequence > known.sequence
        if now_s - centre.received_s > SWITCH_AFTER_S:
            return True
        return rank_nodes((summary.relay, known.relay))[0] == summary.relay

    def expire(self, now_s: float) -> list[str]:
        """Subtract the load of silent data centres; return the names of those live until now."""
        silent = []
        for data_centre, centre in self._centres.items():
            silent_s = now_s - centre.received_s
            is_alone = len(centre.summary.live) <= 1
            if centre.is_live and silent_s > (ALONE_SILENT_AFTER_S if is_alone else SILENT_AFTER_S):
                centre.is_live = False
                subtract_loads(centre.added_loads)
                silent.append(data_centre)
            if centre.is_counted and silent_s > FORGET_AFTER_S:
                centre.is_counted = False
                self._quotas.forget_gateway(_stream_name(centre.summary))
        return silent

    def count_missing_loads(self) -> None:
        """Add the loads of targets that were not known when they were reported."""
        for centre in self._centres.values():
            if centre.is_live:
                centre.added_loads = add_missing_loads(
                    self._targets, centre.summary.target_loads, centre.added_loads
                )

    def live_summaries(self) -> list[CentreSummary]:
        """Return the last summaries of the data centres whose summaries still arrive."""
        return [centre.summary for centre in self._centres.values() if centre.is_live]

    def is_live(self, data_centre: str) -> bool:
        """Return whether summaries of a data centre arrive."""
        centre = self._centres.get(data_centre)
        return centre is not None and centre.is_live

    def is_silent(self, data_centre: str) -> bool:
        """Return whether summaries of a data centre have arrived and no longer do."""
        centre = self._centres.get(data_centre)
        return centre is not None and not centre.is_live

    def receivers(self) -> set[str]:
        """Return the addresses to which a relay sends its summary."""
        return {
            address
            for centre in self._centres.values()
            for address in rank_nodes(centre.summary.live)[:RECEIVERS_PER_CENTRE]
        }

    def live_addresses(self) -> set[str]:
        """Return the addresses of the gateways that are live by summaries that still arrive."""
        return {address for summary in self.live_summaries() for address in summary.live}

    def last_addresses(self) -> set[str]:
        """Return the addresses of the gateways by the last summaries, however old they are."""
        return {address for centre in self._centres.values() for address in centre.summary.live}

    def count(self) -> int:
        """Return the number of known gateways, silent ones included."""
        return sum(
            len(centre.summary.live) + centre.summary.silent
            for centre in self._centres.values()
            if centre.is_counted
        )

    def live_count(self) -> int:
        """Return the number of gateways that are live by summaries that still arrive."""
        return sum(len(summary.live) for summary in self.live_summaries())


def _stream_name(summary: CentreSummary) -> str:
    return f"{summary.data_centre}/{summary.relay}/{summary.incarnation}"


def create_centre_table(targets: TargetTable, quotas: QuotaWindows) -> CentreTable:
    """Create a table without data centres."""
    return CentreTable(targets, quotas)
