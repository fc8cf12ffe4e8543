"""Finds the gateways with the newest routes and registrations by their reports and summaries."""

from collections.abc import Iterable
from typing import NamedTuple

from guavawalk.process.gateway.centres import CentreSummary
from guavawalk.process.gateway.reports import PeerReport
from guavawalk.version.list_state import NO_LIST, ListState

__all__ = [
    "ListSource",
    "VersionSource",
    "newest_routes",
    "newest_targets",
    "reported_list_state",
]


class VersionSource(NamedTuple):
    """A gateway that has a version of the routes.

    Attributes
    ----------
    address : str
        `IP:port` of its pages; empty if no other gateway is known.
    number : int
        The version; 0 if no other gateway is known.
    is_local : bool
        Whether it is in the same data centre.
    """

    address: str = ""
    number: int = 0
    is_local: bool = False


class ListSource(NamedTuple):
    """A gateway that has a list of registrations.

    Attributes
    ----------
    address : str
        `IP:port` of its pages; empty if no other gateway is known.
    state : ListState
        State of its list; `NO_LIST` if no other gateway is known.
    is_local : bool
        Whether it is in the same data centre.
    """

    address: str = ""
    state: ListState = NO_LIST
    is_local: bool = False


def newest_routes(
    reports: Iterable[PeerReport], summaries: Iterable[CentreSummary]
) -> VersionSource:
    """Return the gateway with the newest routes, a local one if there is: one with a report."""
    sources = [VersionSource(report.address, report.routes_version, True) for report in reports]
    sources += [VersionSource(summary.relay, summary.routes_version) for summary in summaries]
    return max(
        sources, key=lambda source: (source.number, source.is_local), default=VersionSource()
    )


def newest_targets(
    reports: Iterable[PeerReport], summaries: Iterable[CentreSummary], known: ListState = NO_LIST
) -> ListSource:
    """Return a gateway with the newest registrations, a local one if there is.

    Parameters
    ----------
    known : ListState, optional
        The list known here. A local gateway is chosen only if its list is newer, though the newest
        one of all may be at a later position.
    """
    sources = [ListSource(report.address, reported_list_state(report), True) for report in reports]
    sources += [ListSource(summary.relay, reported_list_state(summary)) for summary in summaries]
    newest = max(
        sources, key=lambda source: (source.state.position, source.is_local), default=ListSource()
    )
    equal = (
        source
        for source in sources
        if source.is_local
        and newest.state.confirms(source.state)
        and source.state.is_newer_than(known)
    )
    return newest if newest.is_local else next(equal, newest)


def reported_list_state(news: PeerReport | CentreSummary) -> ListState:
    """Return the state of the sender's list of registrations.

    An earlier build states only the last change that it knows, up to which its list is complete.
    """
    if news.list_state != NO_LIST:
        return news.list_state
    return ListState(news.registry_era, news.targets_revision)
