"""Checks the guarantees of gateways by what callers and targets receive in a random scenario."""

from collections import Counter
from typing import NamedTuple

from soak.standins import event

__all__ = [
    "LAST_EVENT",
    "QUOTA_PER_S",
    "RETRY_RATIO",
    "RETRY_SLACK",
    "ROUTE_NAMES",
    "STREAM_ROUTES",
    "Oracle",
    "RouteChange",
    "Violation",
    "complete_body",
]

ROUTE_NAMES = ("unsafe", "safe", "plan", "question")
IDEMPOTENT_ROUTES = ("safe", "question", "extra")
STREAM_ROUTES = ("plan", "question")
LAST_EVENT = 10
# Limits that the platform sets. A target gets no more calls DRAIN_LIMIT_S after its drain, a new
# configuration applies after CONFIG_LIMIT_S, and a target stops a run CANCEL_LIMIT_S after the
# caller left.
DRAIN_LIMIT_S = 2.0
CONFIG_LIMIT_S = 2.0
CANCEL_LIMIT_S = 0.5
# Limit of the repeats to a service within RETRY_WINDOW_S: RETRY_RATIO * calls + RETRY_SLACK.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.05, 3.0, 10.0
# The quota of the only workspace is low enough that scenarios exceed it. QUOTA_OVERRUN is the share
# by which the gateways together may exceed it, QUOTA_SLACK a number of calls on top.
QUOTA_PER_S, QUOTA_WINDOW_S, QUOTA_OVERRUN, QUOTA_SLACK = 20.0, 8.0, 0.25, 20.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(AssertionError):
    """A guarantee was broken; the message begins with its name."""


class RouteChange(NamedTuple):
    """A change of the routes: `value` says whether the route `extra` exists from then on."""

    at_s: float
    value: object


class Oracle:
    """Records calls, runs and answers, and the guarantees that were broken.

    Attributes
    ----------
    runs : Counter
        Number of runs by request id.
    sent : list of tuple
        Time and route of each call.
    arrivals : list of tuple
        Time and route of each run, and whether it is a repeat.
    left_s : dict of str to float
        Time at which the caller of a request left.
    refused : set of str
        Ids of requests whose status says that they did not run.
    statuses : Counter
        Number of answers by status, or by `lost`.
    store_failures_s : list of float
        Times at which the store was failing.
    extra : list of RouteChange
        Changes of the route `extra`.
    draining_s : dict of str to float
        Time at which a target started to drain.
    broken : list of str
        Broken guarantees.
    """

    def __init__(self):
        self.runs = Counter()
        self.sent = []
        self.arrivals = []
        self.left_s = {}
        self.refused = set()
        self.statuses = Counter()
        self.store_failures_s = [-100.0]
        self.extra = [RouteChange(0.0, False)]
        self.draining_s = {}
        self.broken = []

    def record_run(self, request, target_id, route, request_id, now_s):
        """Record the start of a run at a target, and check that it is allowed."""
        headers = dict(request.headers)
        is_repeat = self.runs[request_id] > 0
        self.runs[request_id] += 1
        self.arrivals.append((now_s, route, is_repeat))
        if is_repeat and route not in IDEMPOTENT_ROUTES:
            self.broken.append(f"TWICE: {request_id} ran again")
        if headers.get(b"Tenant") != b"w" or b"Authorization" in headers:
            self.broken.append(f"UNASKED: {request_id} came with the wrong workspace or its key")
        since_s = self.draining_s.get(target_id)
        if (
            since_s is not None
            and now_s > since_s + DRAIN_LIMIT_S
            and self._did_store_answer(since_s, now_s)
        ):
            self.broken.append(
                f"DRAIN: {request_id} reached {target_id} {now_s - since_s:.1f} s after its drain"
            )

    def record_answer(self, request_id, route, status, headers, body, sent_s):
        """Record and check a complete answer."""
        self.statuses[status] += 1
        if status == 200:
            expected = complete_body(request_id, route)
            if body != expected or b"Server-Stamp" not in headers:
                rule = "ORDER" if route in STREAM_ROUTES else "MIXED"
                self.broken.append(f"{rule}: {request_id} got {body[:60]!r}")
        elif status in NOT_RUN_STATUSES:
            self.refused.add(request_id)
        if status in (401, 403, 404) and route != "extra":
            self.broken.append(f"DENIED: {request_id} got {status}")
        if route == "extra" and status in (200, 404):
            self._check_extra(request_id, status == 200, sent_s)

    def record_work(self, request_id, route, now_s):
        """Check that a run does not go on for more than `CANCEL_LIMIT_S` after its caller left.

        Runs of the route `unsafe` may.
        """
        left_s = self.left_s.get(request_id, now_s)
        if route != "unsafe" and now_s > left_s + CANCEL_LIMIT_S:
            self.broken.append(
                f"GONE: {request_id} ran {now_s - left_s:.1f} s after its caller left"
            )

    def close(self):
        """Check the guarantees on the whole scenario.

        Raises
        ------
        Violation
            If any guarantee was broken; the first one found is named.
        """
        for request_id in self.refused:
            if self.runs[request_id] and request_id.split("-")[0] not in IDEMPOTENT_ROUTES:
                self.broken.append(
                    f"REFUSED: {request_id} ran, but its caller was told that it did not"
                )
        self._check_budget()
        self._check_quota()
        if self.broken:
            raise Violation(self.broken[0])

    def _check_extra(self, request_id, was_found, sent_s):
        recent = [change for change in self.extra if change.at_s > sent_s - CONFIG_LIMIT_S]
        before = [change for change in self.extra if change.at_s <= sent_s - CONFIG_LIMIT_S]
        if recent or not self._did_store_answer(before[-1].at_s, sent_s):
            return
        if was_found is not before[-1].value:
            self.broken.append(f"CONFIG: {request_id} was handled by an older version")

    def _check_budget(self):
        for service in ("desk", "model"):
            routes = STREAM_ROUTES if service == "model" else ("unsafe", "safe", "extra")
            sent = [at_s for at_s, route in self.sent if route in routes]
            repeated = [
                at_s for at_s, route, is_repeat in self.arrivals if is_repeat and route in routes
            ]
            for end_s in repeated:
                repeats = _count_within(repeated, end_s, RETRY_WINDOW_S)
                # The calls of the window, or of one that ended 5 or 10 s earlier.
                calls = max(
                    _count_within(sent, end_s - lag_s, RETRY_WINDOW_S) for lag_s in (0.0, 5.0, 10.0)
                )
                if repeats > RETRY_RATIO * calls + RETRY_SLACK:
                    self.broken.append(
                        f"BUDGET: {repeats} repeats of {calls} requests to {service}"
                    )
                    return

    def _check_quota(self):
        times = [at_s for at_s, _, _ in self.arrivals]
        # The burst is the quota of one second.
        allowed = QUOTA_PER_S * (QUOTA_WINDOW_S + 1) * (1 + QUOTA_OVERRUN) + QUOTA_SLACK
        for end_s in times:
            if _count_within(times, end_s, QUOTA_WINDOW_S) > allowed:
                self.broken.append(f"QUOTA: {_count_within(times, end_s, QUOTA_WINDOW_S)} ran")
                return

    def _did_store_answer(self, from_s, to_s):
        return not any(from_s - 1.0 <= at_s <= to_s + 1.0 for at_s in self.store_failures_s)


def _count_within(times, end_s, span_s):
    return sum(end_s - span_s < at_s <= end_s for at_s in times)


def complete_body(request_id, route):
    """Return the body of the complete answer to a request."""
    if route in STREAM_ROUTES:
        return b"".join(map(event, range(1, LAST_EVENT + 1)))
    return b"answer to " + request_id.encode()
