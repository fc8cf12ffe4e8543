"""Ends a sidecar's attempts, and updates its prefix index, lengths and waste totals from them."""

from guavawalk.codes import ResultCode
from guavawalk.process.sidecar.prefix_index import cache_capacity_blocks
from guavawalk.process.sidecar.state import Sidecar
from guavawalk.request.attempt import Attempt, AttemptState
from guavawalk.request.types import Offer
from guavawalk.request.waste import Prefill, waste_of

__all__ = ["account_for_end", "end_attempt", "expected_cached_tokens", "record_first_token"]

# Result codes after which the engine's cache is assumed to be empty.
CACHE_LOST_CODES = frozenset((ResultCode.TARGET_CRASHED, ResultCode.TARGET_UNREACHABLE))


def expected_cached_tokens(sidecar: Sidecar, offer: Offer) -> int:
    """Return how many prompt tokens of an offer the engine is expected to have in its cache."""
    sidecar.prefixes.set_capacity(
        cache_capacity_blocks(sidecar.active.configuration, sidecar.target_name)
    )
    return min(sidecar.prefixes.cached_tokens(offer.prefix_hashes), max(offer.prompt_tokens, 0))


def record_first_token(sidecar: Sidecar, attempt: Attempt, elapsed_ms: float) -> None:
    """Record an attempt's first token, which shows that its prompt has been computed.

    Parameters
    ----------
    elapsed_ms : float
        Time from dispatch to the first token.
    """
    sidecar.window.observe_first_token(attempt, elapsed_ms)
    prefix_hashes = attempt.offer.prefix_hashes
    # Read before the prompt itself is recorded, which would make all of it count as seen.
    attempt.seen_tokens = sidecar.prefixes.seen_tokens(prefix_hashes)
    sidecar.prefixes.record_computed(prefix_hashes)


def account_for_end(sidecar: Sidecar, attempt: Attempt, code: ResultCode) -> None:
    """Update the statistics, and the waste of an attempt that is about to end with `code`.

    Notes
    -----
    After a crash, or when the target cannot be reached, the prefix index is cleared, even if the
    attempt was not dispatched. The answer length of a completed attempt is recorded. Waste is
    computed only for dispatched attempts whose offer names a model.
    """
    if code in CACHE_LOST_CODES:
        sidecar.prefixes.clear()
    if not attempt.has_run:
        return
    offer, usage = attempt.offer, attempt.usage
    if code is ResultCode.COMPLETED and usage.output_tokens:
        sidecar.lengths.record_answer(offer, usage.output_tokens)
    if not offer.model:
        return
    attempt.waste = waste_of(code, usage, _prefill_of(sidecar, attempt))
    sidecar.waste.computed_tokens += max(usage.prompt_tokens - usage.cached_tokens, 0)
    sidecar.waste.record(offer.workspace, offer.tier_rank, attempt.waste)


def end_attempt(sidecar: Sidecar, attempt: Attempt, code: ResultCode, detail: str = "") -> None:
    """End an attempt, account for it, and keep its answer until it is evicted.

    Notes
    -----
    An attempt that has already ended keeps its code. If the attempt was not dispatched, the record
    of its ticket is removed, so that the ticket may be used again.
    """
    if attempt.state is not AttemptState.DONE:
        account_for_end(sidecar, attempt, code)
    attempt.finish(code, sidecar.clock.now_s(), detail)
    if not attempt.has_run and attempt.offer.idempotency_key:
        sidecar.records.remove(attempt)
    for evicted in sidecar.attempts.retire(attempt):
        sidecar.records.drop_answer(evicted)


def _prefill_of(sidecar: Sidecar, attempt: Attempt) -> Prefill:
    run_s = sidecar.clock.now_s() - attempt.dispatched_s
    rate = sidecar.window.prefill_tokens_per_s
    return Prefill(
        prompt_tokens=attempt.offer.prompt_tokens,
        expected_cached_tokens=attempt.cached_tokens,
        seen_tokens=attempt.seen_tokens,
        cached_elsewhere_tokens=attempt.offer.cached_elsewhere_tokens,
        has_first_token=attempt.first_token_s > 0,
        max_computed_tokens=int(run_s * rate) if rate else -1,
    )
