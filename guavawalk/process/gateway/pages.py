"""The pages that a gateway serves to the balancer, to collectors of metrics and to its peers."""

from collections.abc import Callable

import msgspec.msgpack

from guavawalk.connection.tasks.serve_probe import PageAnswer
from guavawalk.platform.settings import READINESS_PATH
from guavawalk.process.gateway.gauges import register_gauges
from guavawalk.process.gateway.state import Gateway
from guavawalk.version.registrations import ListedTargets

__all__ = [
    "METRICS_PATH",
    "ROUTES_PATH",
    "TARGETS_PATH",
    "Pages",
    "metric_pages",
    "peer_pages",
    "readiness_pages",
]

Pages = dict[bytes, Callable[[], PageAnswer]]

METRICS_PATH = "/metrics"
ROUTES_PATH = "/routes"
TARGETS_PATH = "/targets"
OK_STATUS = 200
UNREADY_STATUS = 503


def readiness_pages(gateway: Gateway) -> Pages:
    """Return the page that says whether new connections are welcome."""

    def readiness() -> PageAnswer:
        return PageAnswer(OK_STATUS if gateway.is_ready() else UNREADY_STATUS)

    return {READINESS_PATH.encode(): readiness}


def metric_pages(gateway: Gateway) -> Pages:
    """Return the page of the metrics."""
    register_gauges(gateway)
    return {METRICS_PATH.encode(): lambda: PageAnswer(OK_STATUS, gateway.metrics.render().encode())}


def peer_pages(gateway: Gateway) -> Pages:
    """Return what other gateways fetch: the routes in force and the entries of all targets."""

    def routes() -> PageAnswer:
        return PageAnswer(OK_STATUS, msgspec.msgpack.encode(gateway.routes.table))

    def targets() -> PageAnswer:
        registrations = tuple(target.registration for target in gateway.targets)
        listed = ListedTargets(gateway.targets.revision, registrations)
        return PageAnswer(OK_STATUS, msgspec.msgpack.encode(listed))

    return {ROUTES_PATH.encode(): routes, TARGETS_PATH.encode(): targets}
