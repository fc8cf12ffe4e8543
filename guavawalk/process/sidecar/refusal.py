"""Refusing early what cannot meet its deadline at this target."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from guavawalk.process.sidecar.prefill import uncached_tokens
from guavawalk.request.attempt import Attempt

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["ServiceEstimate", "can_meet_deadline", "estimate_service"]


class ServiceEstimate(NamedTuple):
    """How long an attempt needs here, by the lower of what is known.

    Attributes
    ----------
    wait_s : float
        Until what goes out before it has gone, at the measured drain rate.
    """

    wait_s: float = 0.0
    prefill_s: float = 0.0
    generation_s: float = 0.0

    @property
    def run_s(self) -> float:
        """Time from dispatch to the last token."""
        return self.prefill_s + self.generation_s


def estimate_service(sidecar: Sidecar, attempt: Attempt) -> ServiceEstimate:
    """Estimate an attempt's times; a part of which nothing is known counts as 0.

    Notes
    -----
    Only its own and higher tiers count as waiting before it, so lower work that could be shed for
    it never has it refused. Long and short attempts have separate lanes, so each waits only for
    its own kind.
    """
    window, offer = sidecar.window, attempt.offer
    ahead_tokens = sidecar.queue.cost_ahead_tokens(attempt)
    prefill_rate = window.prefill_tokens_per_s
    output_tokens = sidecar.lengths.expected_output_tokens(offer)
    decode_rate = window.decode_tokens_per_s
    return ServiceEstimate(
        wait_s=sidecar.drains.of(attempt).wait_s(ahead_tokens),
        prefill_s=uncached_tokens(attempt) / prefill_rate if prefill_rate else 0.0,
        generation_s=output_tokens / decode_rate if decode_rate else 0.0,
    )


def can_meet_deadline(sidecar: Sidecar, attempt: Attempt, now_s: float, waits: bool) -> bool:
    """Say whether an attempt can still end in time.

    Parameters
    ----------
    waits : bool
        Whether to count the waiting time before it.

    Notes
    -----
    A target that runs nothing takes anything: its rates may be old, and only work corrects them.
    """
    if sidecar.attempts.running == 0:
        return True
    estimate = estimate_service(sidecar, attempt)
    needed_s = estimate.run_s + (estimate.wait_s if waits else 0.0)
    return now_s + needed_s <= attempt.deadline_s
