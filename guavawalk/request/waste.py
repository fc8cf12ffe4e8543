"""Prompt work that was computed and thrown away."""

from guavawalk.codes import ResultCode
from guavawalk.request.attempt import Attempt

__all__ = ["wasted_prompt_tokens"]


def wasted_prompt_tokens(attempt: Attempt) -> int:
    """Return the prompt tokens that an ended attempt computed for nothing.

    Notes
    -----
    An attempt that ran and did not complete wasted its prompt, without what was cached. Without a
    usage report from the engine, the prompt counts whole: an upper bound.
    """
    if not attempt.has_run or attempt.code is ResultCode.COMPLETED:
        return 0
    usage = attempt.usage
    prompt_tokens = usage.prompt_tokens or attempt.offer.prompt_tokens
    return max(prompt_tokens - usage.cached_tokens, 0)
