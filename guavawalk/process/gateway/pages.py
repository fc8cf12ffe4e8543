"""Pages that a gateway serves over HTTP: readiness, metrics, and state that its peers fetch."""

from collections.abc import Callable

import msgspec.msgpack

from guavawalk.connection.tasks.serve_probe import PageAnswer
from guavawalk.platform.settings import READINESS_PATH
from guavawalk.process.gateway.gauges import register_gauges
from guavawalk.process.gateway.state import Gateway

__all__ = [
    "METRICS_PATH",
    "ROUTES_PATH",
    "TARGETS_PATH",
    "Pages",
    "metric_pages",
    "peer_pages",
    "readiness_pages",
]

# Functions that make a page, by its path.
Pages = dict[bytes, Callable[[], PageAnswer]]

METRICS_PATH = "/metrics"
ROUTES_PATH = "/routes"
TARGETS_PATH = "/targets"
OK_STATUS = 200
UNREADY_STATUS = 503


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

    def targets() -> PageAnswer:
        return PageAnswer(
            OK_STATUS, msgspec.msgpack.encode(gateway.targets.listed(gateway.clock.now_s()))
        )

    return {ROUTES_PATH.encode(): routes, TARGETS_PATH.encode(): targets}
