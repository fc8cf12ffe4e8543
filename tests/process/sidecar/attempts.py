"""Attempts for tests of the queue, window and statistics of a sidecar."""

from guavawalk.request.attempt import Attempt, create_attempt
from guavawalk.request.types import Offer

__all__ = ["WEIGHTS", "make_attempt"]

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}


def make_attempt(
    workspace="a", rank=0, deadline_ms=1_000, prompt=100, output=0, is_long=False
) -> Attempt:
    """Return an attempt that was offered at time 0, with its workspace's weight of `WEIGHTS`."""
    offer = Offer(
        workspace=workspace,
        model="quill",
        tier_rank=rank,
        deadline_ms=deadline_ms,
        prompt_tokens=prompt,
        expected_output_tokens=output,
        workspace_weight=WEIGHTS.get(workspace, 1.0),
    )
    attempt = create_attempt(offer, 0.0, 1_000)
    attempt.is_long = is_long
    return attempt
