"""Refusing early what cannot meet its deadline at this target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavawalk.process.sidecar.prefill import uncached_tokens
from guavawalk.request.attempt import Attempt

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["can_meet_deadline", "expected_run_s", "expected_wait_s"]


def expected_wait_s(sidecar: Sidecar, attempt: Attempt) -> float:
    """Return how long what goes out before an attempt takes, at the measured drain rate.

    Notes
    -----
    Only its own and higher tiers count as waiting before it, so lower work that could be shed for
    it never has it refused. Long and short attempts have separate lanes, so each include_wait only for
    its own kind.
    """
    ahead_tokens = sidecar.queue.cost_ahead_tokens(attempt)
    return sidecar.drain_rates.for_attempt(attempt).wait_s(ahead_tokens)


def expected_run_s(sidecar: Sidecar, attempt: Attempt) -> float:
    """Return the time from dispatch to the last token; a rate not yet known counts nothing."""
    prefill_rate = sidecar.window.prefill_tokens_per_s
    decode_rate = sidecar.window.decode_tokens_per_s
    output_tokens = sidecar.lengths.expected_output_tokens(attempt.offer)
    prefill_s = uncached_tokens(attempt) / prefill_rate if prefill_rate else 0.0
    return prefill_s + (output_tokens / decode_rate if decode_rate else 0.0)


def can_meet_deadline(sidecar: Sidecar, attempt: Attempt, now_s: float, include_wait: bool) -> bool:
    """Say whether an attempt can still end in time.

    Parameters
    ----------
    include_wait : bool
        Whether to count the waiting time before it.

    Notes
    -----
    A target that runs nothing takes anything: its rates may be old, and only work corrects them.
    """
    if sidecar.attempts.running == 0:
        return True
    needed_s = expected_run_s(sidecar, attempt)
    if include_wait:
        needed_s += expected_wait_s(sidecar, attempt)
    return now_s + needed_s <= attempt.deadline_s
