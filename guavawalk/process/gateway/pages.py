"""Pages that a gateway serves over HTTP: readiness, metrics, and state that its peers fetch."""

from collections.abc import Callable
from itertools import chain, repeat
from typing import NamedTuple

import msgspec
import msgspec.msgpack

from guavawalk.bounded import Amount, Number
from guavawalk.connection.tasks.serve_probe import PageAnswer
from guavawalk.platform.settings import READINESS_PATH
from guavawalk.process.gateway.gauges import register_gauges
from guavawalk.process.gateway.state import Gateway
from guavawalk.version.registrations import ListedTargets, Registration

__all__ = [
    "METRICS_PATH",
    "ROUTES_PATH",
    "TARGETS_PATH",
    "TARGET_LIST_PATH",
    "Pages",
    "decode_target_list",
    "metric_pages",
    "peer_pages",
    "readiness_pages",
]

# Functions that make a page, by its path.
Pages = dict[bytes, Callable[[], PageAnswer]]

METRICS_PATH = "/metrics"
ROUTES_PATH = "/routes"
TARGET_LIST_PATH = "/target-list"
# Page for gateways of earlier builds, which reject a list with more fields than they know.
TARGETS_PATH = "/targets"
# Number of fields that earlier builds know.
EARLIER_FIELDS = 6
OK_STATUS = 200
UNREADY_STATUS = 503


class _RawTargets(NamedTuple):
    """A page of `ListedTargets` whose registrations are not decoded yet."""

    revision: Number
    registrations: tuple[msgspec.Raw, ...]
    lapsing: tuple[tuple[str, Amount], ...] = ()
    era: Number = 0
    item_revisions: tuple[Number, ...] = ()
    era_read_revision: Number = 0
    digest: Number = 0
    last_change: Number | None = None


def readiness_pages(gateway: Gateway) -> Pages:
    """Return the page for the load balancer: 200 if new connections are accepted, else 503."""

    def readiness() -> PageAnswer:
        return PageAnswer(OK_STATUS if gateway.is_ready() else UNREADY_STATUS)

    return {READINESS_PATH.encode(): readiness}


def metric_pages(gateway: Gateway) -> Pages:
    """Return the page of the metrics; registers the gauges of the gateway's state."""
    register_gauges(gateway)
    return {METRICS_PATH.encode(): lambda: PageAnswer(OK_STATUS, gateway.metrics.render().encode())}


def peer_pages(gateway: Gateway) -> Pages:
    """Return the pages for other gateways, in msgpack: routes in force and all registrations."""

    def routes() -> PageAnswer:
        return PageAnswer(OK_STATUS, msgspec.msgpack.encode(gateway.routes.table))

    def target_list() -> PageAnswer:
        listed = gateway.targets.listed(gateway.clock.now_s())
        return PageAnswer(OK_STATUS, msgspec.msgpack.encode(listed))

    def targets() -> PageAnswer:
        listed = gateway.targets.listed(gateway.clock.now_s())
        # Earlier builds compare the revision with the last change that reports state.
        listed = listed._replace(revision=gateway.targets.last_change)
        return PageAnswer(OK_STATUS, msgspec.msgpack.encode(listed[:EARLIER_FIELDS]))

    return {
        ROUTES_PATH.encode(): routes,
        TARGET_LIST_PATH.encode(): target_list,
        TARGETS_PATH.encode(): targets,
    }


def decode_target_list(body: bytes) -> tuple[ListedTargets, list[str]]:
    """Return the registrations on another gateway's page, and the problems of those left out.

    The page of an earlier build has no digest, and its revision is that of the last change.

    Raises
    ------
    msgspec.DecodeError
        If the body holds no list of registrations.
    """
    raw = msgspec.msgpack.decode(body, type=_RawTargets)
    registrations, item_revisions, problems = [], [], []
    for encoded, revision in zip(raw.registrations, chain(raw.item_revisions, repeat(0))):
        try:
            registrations.append(msgspec.msgpack.decode(encoded, type=Registration))
            item_revisions.append(revision)
        except msgspec.DecodeError as error:
            problems.append(str(error)[:200])
    listed = ListedTargets(
        raw.revision,
        tuple(registrations),
        raw.lapsing,
        raw.era,
        tuple(item_revisions),
        raw.era_read_revision,
        raw.digest,
        raw.last_change,
    )
    return listed, problems
