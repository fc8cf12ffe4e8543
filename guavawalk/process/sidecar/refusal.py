"""Predicts whether attempts can meet their deadline at this target, to refuse the others early."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk.process.sidecar.prefill import uncached_tokens
from guavawalk.request.attempt import Attempt

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["can_meet_deadline", "expected_run_s", "expected_wait_s"]


def expected_wait_s(sidecar: Sidecar, attempt: Attempt) -> float:
    """Return the expected time until the work ahead of an attempt has been dispatched.

    Notes
    -----
    Only work of its own and more urgent tiers counts, so an attempt is never refused because of
    less urgent work, which could be shed for it. Long and short attempts wait in separate lanes, so
    only its own lane counts. While the drain rate is unknown, the time is 0.0.
    """
    ahead_tokens = sidecar.queue.cost_ahead_tokens(attempt)
    return sidecar.drain_rates.for_attempt(attempt).wait_s(ahead_tokens)


def expected_run_s(sidecar: Sidecar, attempt: Attempt) -> float:
    """Return the expected time from dispatch to the last token; an unknown rate adds nothing."""
    prefill_rate = sidecar.window.prefill_tokens_per_s
    decode_rate = sidecar.window.decode_tokens_per_s
    output_tokens = sidecar.lengths.expected_output_tokens(attempt.offer)
    prefill_s = uncached_tokens(attempt) / prefill_rate if prefill_rate else 0.0
    return prefill_s + (output_tokens / decode_rate if decode_rate else 0.0)


def can_meet_deadline(sidecar: Sidecar, attempt: Attempt, now_s: float, include_wait: bool) -> bool:
    """Return whether an attempt is expected to end before its deadline.

    Parameters
    ----------
    include_wait : bool
        Whether to include the time until its dispatch.

    Notes
    -----
    Always true while the target runs nothing: its rates may be outdated, and only new work corrects
    them.
    """
    if sidecar.attempts.running == 0:
        return True
    needed_s = expected_run_s(sidecar, attempt)
    if include_wait:
        needed_s += expected_wait_s(sidecar, attempt)
    return now_s + needed_s <= attempt.deadline_s
