"""What callers and targets must see of gateways in a random story."""

from collections import Counter
from typing import NamedTuple

from soak.standins import event

__all__ = [
    "KINDS",
    "LAST_EVENT",
    "QUOTA_PER_S",
    "RETRY_RATIO",
    "RETRY_SLACK",
    "STREAMS",
    "Fact",
    "Oracle",
    "Violation",
    "whole_answer",
]

KINDS = ("unsafe", "safe", "plan", "question")
IDEMPOTENT = ("safe", "question", "extra")
STREAMS = ("plan", "question")
LAST_EVENT = 10
# Bounds of the platform that stories are judged by; the quota is low enough to bind.
DRAIN_S = 2.0
CONFIG_S = 2.0
GONE_S = 0.5
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.05, 3.0, 10.0
QUOTA_PER_S, QUOTA_WINDOW_S, QUOTA_OVERRUN, QUOTA_SLACK = 20.0, 8.0, 0.25, 20.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(AssertionError):
    """A promise was broken; the text begins with its name."""


class Fact(NamedTuple):
    """What holds since a moment."""

    begun_s: float
    value: object


class Oracle:
    """What was sent, ran and was answered, and what that says of the promises."""

    def __init__(self):
        self.runs = Counter()
        self.sent = []
        self.arrivals = []
        self.left_s = {}
        self.refused = set()
        self.statuses = Counter()
        self.store_trouble_s = [-100.0]
        self.extra = [Fact(0.0, False)]
        self.draining_s = {}
        self.broken = []

    def record_run(self, request, target_id, name, request_id, now_s):
        """Check a request that begins to run at a target."""
        headers = dict(request.headers)
        is_repeat = self.runs[request_id] > 0
        self.runs[request_id] += 1
        self.arrivals.append((now_s, name, is_repeat))
        if is_repeat and name not in IDEMPOTENT:
            self.broken.append(f"TWICE: {request_id} ran again")
        if headers.get(b"Tenant") != b"w" or b"Authorization" in headers:
            self.broken.append(f"UNASKED: {request_id} came with the wrong workspace or its key")
        since_s = self.draining_s.get(target_id)
        if since_s is not None and now_s > since_s + DRAIN_S and self._was_calm(since_s, now_s):
            self.broken.append(
                f"DRAIN: {request_id} reached {target_id} {now_s - since_s:.1f} s on"
            )

    def record_answer(self, request_id, name, status, headers, body, sent_s):
        """Check a whole answer."""
        self.statuses[status] += 1
        if status == 200:
            whole = whole_answer(request_id, name)
            if body != whole or b"Server-Stamp" not in headers:
                rule = "ORDER" if name in STREAMS else "MIXED"
                self.broken.append(f"{rule}: {request_id} got {body[:60]!r}")
        elif status in NOT_RUN_STATUSES:
            self.refused.add(request_id)
        if status in (401, 403, 404) and name != "extra":
            self.broken.append(f"DENIED: {request_id} got {status}")
        if name == "extra" and status in (200, 404):
            self._judge_extra(request_id, status == 200, sent_s)

    def record_work(self, request_id, name, now_s):
        """Check a target that still works on a request."""
        left_s = self.left_s.get(request_id, now_s)
        if name != "unsafe" and now_s > left_s + GONE_S:
            self.broken.append(
                f"GONE: {request_id} ran {now_s - left_s:.1f} s after its caller left"
            )

    def close(self):
        """Raise the first promise that was broken."""
        for request_id in self.refused:
            if self.runs[request_id] and request_id.split("-")[0] not in IDEMPOTENT:
                self.broken.append(f"REFUSED: {request_id} was told not run, and ran")
        self._judge_budget()
        self._judge_quota()
        if self.broken:
            raise Violation(self.broken[0])

    def _judge_extra(self, request_id, was_there, sent_s):
        lately = [fact for fact in self.extra if fact.begun_s > sent_s - CONFIG_S]
        before = [fact for fact in self.extra if fact.begun_s <= sent_s - CONFIG_S]
        if lately or not self._was_calm(before[-1].begun_s, sent_s):
            return
        if was_there is not before[-1].value:
            self.broken.append(f"CONFIG: {request_id} was handled by an older version")

    def _judge_budget(self):
        for service in ("desk", "model"):
            names = STREAMS if service == "model" else ("unsafe", "safe", "extra")
            sent = [at_s for at_s, name in self.sent if name in names]
            again = [at_s for at_s, name, is_repeat in self.arrivals if is_repeat and name in names]
            for end_s in again:
                repeats = _within(again, end_s, RETRY_WINDOW_S)
                asked = max(
                    _within(sent, end_s - lag_s, RETRY_WINDOW_S) for lag_s in (0.0, 5.0, 10.0)
                )
                if repeats > RETRY_RATIO * asked + RETRY_SLACK:
                    self.broken.append(
                        f"BUDGET: {repeats} repeats of {asked} requests at {service}"
                    )
                    return

    def _judge_quota(self):
        times = [at_s for at_s, _, _ in self.arrivals]
        allowed = QUOTA_PER_S * (QUOTA_WINDOW_S + 1) * (1 + QUOTA_OVERRUN) + QUOTA_SLACK
        for end_s in times:
            if _within(times, end_s, QUOTA_WINDOW_S) > allowed:
                self.broken.append(f"QUOTA: {_within(times, end_s, QUOTA_WINDOW_S)} ran")
                return

    def _was_calm(self, from_s, to_s):
        return not any(from_s - 1.0 <= at_s <= to_s + 1.0 for at_s in self.store_trouble_s)


def _within(times, end_s, span_s):
    return sum(end_s - span_s < at_s <= end_s for at_s in times)


def whole_answer(request_id, name):
    """Return the body of a whole answer to a request."""
    if name in STREAMS:
        return b"".join(map(event, range(1, LAST_EVENT + 1)))
    return b"answer to " + request_id.encode()
