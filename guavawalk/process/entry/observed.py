"""Records the results of requests in the log, the metrics and the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.exception import RequestError
from guavawalk.process.observe.histograms import Measure
from guavawalk.process.observe.names import sanitize_metric_part
from guavawalk.process.observe.refusals import Refusal
from guavawalk.request.types import Offer, Outcome, Work
from guavawalk.version.types import Target

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["record_invalid", "record_link_broken", "record_not_run", "record_outcome"]

MAX_LOGGED_CHARS = 200


def record_outcome(entry: Entry, work: Work, outcome: Outcome) -> None:
    """Log the outcome of a request and count it in metrics and histograms.

    Notes
    -----
    Latencies are recorded only for completed requests, refusals only for requests that did not run.
    """
    entry.log.emit(
        events.REQUEST_ENDED,
        trace_id=work.trace_id,
        workspace=work.workspace.name,
        tier=work.tier.name,
        code=int(outcome.code),
        target=outcome.target,
        attempts=outcome.attempts,
        first_token_ms=round(outcome.first_token_ms, 1),
        total_ms=round(outcome.total_ms, 1),
    )
    tier = sanitize_metric_part(work.tier.name)
    entry.metrics.count(f"request.{tier}.{outcome.code.name.lower()}")
    _record_refusal(entry, work, outcome)
    histograms = entry.observed.histograms
    histograms.record_request(work.workspace.name, work.tier.name)
    if outcome.code is not ResultCode.COMPLETED:
        return
    entry.metrics.time(f"request.{tier}.first_token_ms", outcome.first_token_ms)
    entry.metrics.time(f"request.{tier}.whole_ms", outcome.total_ms)
    key = (work.workspace.name, work.tier.name)
    histograms.record(*key, Measure.FIRST_TOKEN, outcome.first_token_ms)
    histograms.record(*key, Measure.WHOLE, outcome.total_ms)


def _record_refusal(entry: Entry, work: Work, outcome: Outcome) -> None:
    if code_class(outcome.code) is not CodeClass.NOT_RUN:
        return
    refusal = Refusal(
        at_s=entry.clock.now_s(),
        code=outcome.code,
        workspace=work.workspace.name,
        tier=work.tier.name,
        trace_id=work.trace_id,
        target=outcome.target,
    )
    entry.observed.refusals.record(refusal)


def record_not_run(entry: Entry, work: Work, outcome: Outcome) -> None:
    """Log an attempt that the target did not run; other outcomes are ignored."""
    if code_class(outcome.code) is not CodeClass.NOT_RUN:
        return
    entry.log.emit(
        events.OFFER_NOT_RUN,
        trace_id=work.trace_id,
        target=outcome.target,
        code=int(outcome.code),
        attempts=outcome.attempts,
        reason=outcome.detail[:MAX_LOGGED_CHARS],
    )


def record_link_broken(entry: Entry, offer: Offer, target: Target, reason: str) -> None:
    """Log that a link broke during an offer, which is then resumed on a new link."""
    entry.log.emit(
        events.OFFER_LINK_BROKEN,
        trace_id=offer.trace_id,
        attempt_id=offer.attempt_id,
        target=target.name,
        reason=reason[:MAX_LOGGED_CHARS],
    )


def record_invalid(entry: Entry, error: RequestError, path: str, trace_id: str) -> None:
    """Log and count a request that was refused before it was turned into `Work`.

    Notes
    -----
    It is recorded without a workspace and a tier.
    """
    entry.log.emit(
        events.REQUEST_INVALID,
        trace_id=trace_id,
        code=int(error.code),
        path=path[:MAX_LOGGED_CHARS],
        reason=str(error)[:MAX_LOGGED_CHARS],
    )
    entry.metrics.count(f"request.invalid.{error.code.name.lower()}")
    entry.observed.refusals.record(Refusal(entry.clock.now_s(), error.code, "", "", trace_id))
