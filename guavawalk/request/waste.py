"""Attributes the wasted prompt tokens of one attempt to causes.

Prompt tokens are wasted if their result was discarded or if they were computed again.
"""

from enum import StrEnum
from typing import NamedTuple

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.request.types import Usage

__all__ = ["Prefill", "Waste", "WasteCause", "waste_of"]


class WasteCause(StrEnum):
    """Cause of wasted prompt tokens.

    `CRASH`: the target or its connection failed. `CANCEL`: the attempt ended early for another
    reason. `CACHE_MISS`: another target held the prefix. `EVICTED`: this target had held the prefix
    before. `MOVED` belongs to the interface, but no code assigns it.
    """

    CRASH = "crash"
    CANCEL = "cancel"
    MOVED = "moved"
    CACHE_MISS = "cache_miss"
    EVICTED = "evicted"


class Waste(NamedTuple):
    """Prompt tokens wasted for one cause."""

    cause: WasteCause
    tokens: int


class Prefill(NamedTuple):
    """A sidecar's records of an attempt's prompt, beside the `Usage` that the engine reports.

    Attributes
    ----------
    prompt_tokens : int
        Estimate of the offer; the engine's own count takes precedence.
    expected_cached_tokens : int
        Length of the longest prefix expected in the target's cache when the attempt was offered.
    seen_tokens : int
        Length of the longest prefix that was sent to this target before.
    cached_elsewhere_tokens : int
        Length of the longest prefix expected in the cache of another usable target.
    has_first_token : bool
        Whether the first token was generated, so that the whole prompt had been computed.
    max_computed_tokens : int
        Number of tokens that can be computed in the time that the attempt ran; below 0 if not
        known.
    """

    prompt_tokens: int
    expected_cached_tokens: int = 0
    seen_tokens: int = 0
    cached_elsewhere_tokens: int = 0
    has_first_token: bool = True
    max_computed_tokens: int = -1


def waste_of(code: ResultCode, usage: Usage, prefill: Prefill) -> tuple[Waste, ...]:
    """Return the prompt tokens wasted by a dispatched attempt, by cause, largest first.

    Returns
    -------
    tuple of Waste
        Empty if nothing was wasted, or if `code` states that the attempt did not run.

    Notes
    -----
    An attempt that did not complete wasted all tokens that it computed. One that completed wasted
    the tokens of a prefix that this target held before (evicted), and then those of a longer prefix
    that another target held (cache miss).

    Examples
    --------
    >>> wasted = waste_of(ResultCode.COMPLETED, Usage(1_000, 100, 5), Prefill(1_000, 0, 300, 900))
    >>> [(waste.cause.value, waste.tokens) for waste in wasted]
    [('cache_miss', 600), ('evicted', 200)]
    >>> waste_of(ResultCode.CANCELLED, Usage(), Prefill(1_000, 400))[0].tokens
    600
    """
    if code is ResultCode.COMPLETED:
        return _recomputed(usage, prefill)
    if code_class(code) is CodeClass.NOT_RUN:
        return ()
    tokens = _computed_tokens(usage, prefill)
    cause = WasteCause.CRASH if code in _CRASH_CODES else WasteCause.CANCEL
    return (Waste(cause, tokens),) if tokens else ()


_CRASH_CODES = frozenset(
    (ResultCode.TARGET_CRASHED, ResultCode.TARGET_LOST, ResultCode.TARGET_ERROR)
)


def _computed_tokens(usage: Usage, prefill: Prefill) -> int:
    if usage.prompt_tokens:
        return max(usage.prompt_tokens - usage.cached_tokens, 0)
    tokens = max(prefill.prompt_tokens - prefill.expected_cached_tokens, 0)
    if prefill.has_first_token or prefill.max_computed_tokens < 0:
        return tokens
    return min(tokens, prefill.max_computed_tokens)


def _recomputed(usage: Usage, prefill: Prefill) -> tuple[Waste, ...]:
    if not usage.prompt_tokens:
        return ()
    evicted_tokens = max(min(prefill.seen_tokens, usage.prompt_tokens) - usage.cached_tokens, 0)
    known_tokens = usage.cached_tokens + evicted_tokens
    missed_tokens = max(min(prefill.cached_elsewhere_tokens, usage.prompt_tokens) - known_tokens, 0)
    wasted = (
        Waste(WasteCause.EVICTED, evicted_tokens),
        Waste(WasteCause.CACHE_MISS, missed_tokens),
    )
    return tuple(
        sorted((waste for waste in wasted if waste.tokens), key=lambda waste: -waste.tokens)
    )
