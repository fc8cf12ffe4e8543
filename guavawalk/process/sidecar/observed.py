"""Records attempts in the log, the metrics, the histograms and the list of refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk import events
from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.exception import RequestError
from guavawalk.process.observe.histograms import Measure
from guavawalk.process.observe.names import sanitize_metric_part
from guavawalk.process.observe.refusals import Refusal
from guavawalk.request.attempt import Attempt
from guavawalk.request.types import Offer
from guavawalk.version.active import ActiveVersion

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["record_attempt_end", "record_refused", "record_tokens", "tier_name"]


def tier_name(active: ActiveVersion, rank: int) -> str:
    """Return the name of the tier of a rank in the active configuration.

    Notes
    -----
    A rank without a tier gets a name of the form `rank-3`.
    """
    configuration = active.configuration
    for tier in configuration.tiers.values() if configuration else ():
        if tier.rank == rank:
            return tier.name
    return f"rank-{rank}"


def record_tokens(sidecar: Sidecar, attempt: Attempt, tokens: int, elapsed_ms: float) -> None:
    """Record the time between tokens: `tokens`, at least 1, came `elapsed_ms` after the last."""
    offer = attempt.offer
    tier = tier_name(sidecar.active, offer.tier_rank)
    each_ms = elapsed_ms / tokens
    sidecar.observed.histograms.record(
        offer.workspace, tier, Measure.BETWEEN_TOKENS, each_ms, tokens
    )


def record_attempt_end(sidecar: Sidecar, attempt: Attempt) -> None:
    """Record the end of an attempt, whether it was dispatched or not."""
    offer = attempt.offer
    sidecar.log.emit(
        events.ATTEMPT_ENDED,
        trace_id=offer.trace_id,
        attempt_id=offer.attempt_id,
        target=sidecar.target_name,
        workspace=offer.workspace,
        tier_rank=offer.tier_rank,
        code=int(attempt.code),
        queue_ms=round(_queue_ms(attempt), 1),
        run_ms=round(_run_ms(attempt), 1),
    )
    tier = tier_name(sidecar.active, offer.tier_rank)
    sidecar.observed.histograms.record_request(offer.workspace, tier)
    sidecar.metrics.count(f"attempt.{sanitize_metric_part(tier)}.{attempt.code.name.lower()}")
    if code_class(attempt.code) is CodeClass.NOT_RUN:
        _record_refusal(sidecar, offer, attempt.code)
    if attempt.has_run:
        _record_times(sidecar, attempt, tier)


def _queue_ms(attempt: Attempt) -> float:
    left_s = attempt.dispatched_s if attempt.has_run else attempt.ended_s
    return (left_s - attempt.offered_s) * 1000


def _run_ms(attempt: Attempt) -> float:
    return (attempt.ended_s - attempt.dispatched_s) * 1000 if attempt.has_run else 0.0


def _record_times(sidecar: Sidecar, attempt: Attempt, tier: str) -> None:
    histograms = sidecar.observed.histograms
    key = (attempt.offer.workspace, tier)
    part = sanitize_metric_part(tier)
    histograms.record(*key, Measure.QUEUE, _queue_ms(attempt))
    sidecar.metrics.time(f"attempt.{part}.queue_ms", _queue_ms(attempt))
    if attempt.first_token_s:
        first_token_ms = (attempt.first_token_s - attempt.offered_s) * 1000
        histograms.record(*key, Measure.FIRST_TOKEN, first_token_ms)
        sidecar.metrics.time(f"attempt.{part}.first_token_ms", first_token_ms)
    if attempt.code is ResultCode.COMPLETED:
        histograms.record(*key, Measure.WHOLE, (attempt.ended_s - attempt.offered_s) * 1000)
    wasted_tokens = attempt.wasted_tokens
    if wasted_tokens:
        histograms.record(*key, Measure.WASTED, wasted_tokens)
        sidecar.metrics.count(f"attempt.{part}.wasted_prompt_tokens", wasted_tokens)


def record_refused(sidecar: Sidecar, offer: Offer, error: RequestError) -> None:
    """Record an offer that was refused."""
    sidecar.log.emit(
        events.ATTEMPT_REFUSED,
        trace_id=offer.trace_id,
        attempt_id=offer.attempt_id,
        target=sidecar.target_name,
        workspace=offer.workspace,
        code=int(error.code),
    )
    tier = tier_name(sidecar.active, offer.tier_rank)
    sidecar.metrics.count(f"attempt.{sanitize_metric_part(tier)}.{error.code.name.lower()}")
    _record_refusal(sidecar, offer, error.code)


def _record_refusal(sidecar: Sidecar, offer: Offer, code: ResultCode) -> None:
    refusal = Refusal(
        at_s=sidecar.clock.now_s(),
        code=code,
        workspace=offer.workspace,
        tier=tier_name(sidecar.active, offer.tier_rank),
        trace_id=offer.trace_id,
        target=sidecar.target_name,
    )
    sidecar.observed.refusals.record(refusal)
