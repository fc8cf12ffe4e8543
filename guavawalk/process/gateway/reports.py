"""Reports that the gateways of a data centre send each other, and their encoding."""

from typing import NamedTuple

import msgspec
import msgspec.msgpack

from guavawalk.bounded import Address, Amount, Name, Number
from guavawalk.process.gateway.loads import TargetLoad
from guavawalk.process.gateway.queue_reports import WaitingCalls
from guavawalk.version.evacuations import NO_EVACUATIONS, Evacuations
from guavawalk.version.list_state import NO_LIST, ListState

__all__ = ["PeerReport", "decode_report", "encode_report", "is_later"]


class PeerReport(NamedTuple):
    """State that a gateway sends to the others of its data centre.

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
        Revision of the last change of registrations that it knows; 0 before any. Only earlier
        builds order lists by it.
    is_leaving : bool
        Whether the process shuts down and refuses calls.
    target_loads : tuple of TargetLoad
        Targets at which it runs calls or has seen failures.
    admitted : dict of str to float
        Running totals of admitted amounts by workspace; those that have not changed may be absent.
    sent_parts : tuple of (str, str)
        Pairs of a target's id and the id of a prompt part sent there since the previous report.
    list_state : ListState
        How far the registrations are complete that it knows. Earlier builds have a tuple of
        integers in its place, which they don't read, and send an empty one.
    addresses : tuple of str
        Gateways whose reports it receives; empty in reports that hold only changes of `admitted`.
    data_centre : str
        Data centre of the gateway.
    is_registry_failing : bool
        Whether the registry does not answer it.
    registry_era : int
        Era of the registry that `targets_revision` belongs to.
    evacuations : Evacuations
        The last state of the evacuations that it knows; at `NO_POSITION` if it knows none.
    waiting : tuple of WaitingCalls
        Calls that wait there, by service and rank.
    received : dict of str to float
        Cost that workspaces have received there, weighted by age; the largest ones only.
    """

    address: Address
    incarnation: Number
    sequence: Number
    age_s: Amount = 0.0
    routes_version: Number = 0
    targets_revision: Number = 0
    is_leaving: bool = False
    target_loads: tuple[TargetLoad, ...] = ()
    admitted: dict[str, Amount] = {}
    sent_parts: tuple[tuple[str, str], ...] = ()
    list_state: ListState = NO_LIST
    addresses: tuple[Address, ...] = ()
    data_centre: str = ""
    is_registry_failing: bool = False
    registry_era: Number = 0
    evacuations: Evacuations = NO_EVACUATIONS
    waiting: tuple[WaitingCalls, ...] = ()
    received: dict[Name, Amount] = {}


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
        If the datagram holds no report, or a value out of bounds.
    """
    return _decoder.decode(data)


def is_later(report: PeerReport, known: PeerReport) -> bool:
    """Return whether a report was sent after a known one of the same address."""
    return report.incarnation != known.incarnation or report.sequence > known.sequence
