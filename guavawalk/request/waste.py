"""Prompt work of one attempt that was thrown away, or done again."""

from enum import StrEnum
from typing import NamedTuple

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.request.types import Usage

__all__ = ["Prefill", "Waste", "WasteCause", "waste_of"]


class WasteCause(StrEnum):
    """Why prompt work was wasted."""

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
    """What is known of an attempt's prompt.

    Attributes
    ----------
    prompt_tokens : int
        As the offer estimates them; the engine's own count goes before it.
    expected_cached_tokens : int
        Longest prefix that the target was believed to hold when the attempt came.
    seen_tokens : int
        Longest prefix that was sent to this target before.
    cached_elsewhere_tokens : int
        Longest prefix that another live target was believed to hold.
    has_first_token : bool
        Whether the prompt was computed whole.
    max_computed_tokens : int
        Most tokens that can have been computed, by the time it ran; below 0 if not known.
    """

    prompt_tokens: int
    expected_cached_tokens: int = 0
    seen_tokens: int = 0
    cached_elsewhere_tokens: int = 0
    has_first_token: bool = True
    max_computed_tokens: int = -1


def waste_of(code: ResultCode, usage: Usage, prefill: Prefill) -> tuple[Waste, ...]:
    """Return what an attempt that was dispatched wasted, largest first.

    Notes
    -----
    What did not complete threw away all that it computed. What completed repeated the part that
    this target held before (evicted), and then the part that another one held (cache miss).

    Examples
    --------
    >>> found = waste_of(ResultCode.COMPLETED, Usage(1_000, 100, 5), Prefill(1_000, 0, 300, 900))
    >>> [(waste.cause.value, waste.tokens) for waste in found]
    [('cache_miss', 600), ('evicted', 200)]
    >>> waste_of(ResultCode.CANCELLED, Usage(), Prefill(1_000, 400))[0].tokens
    600
    """
    if code is ResultCode.COMPLETED:
        return _repeated(usage, prefill)
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


def _repeated(usage: Usage, prefill: Prefill) -> tuple[Waste, ...]:
    if not usage.prompt_tokens:
        return ()
    evicted = max(min(prefill.seen_tokens, usage.prompt_tokens) - usage.cached_tokens, 0)
    known_tokens = usage.cached_tokens + evicted
    missed = max(min(prefill.cached_elsewhere_tokens, usage.prompt_tokens) - known_tokens, 0)
    found = (Waste(WasteCause.EVICTED, evicted), Waste(WasteCause.CACHE_MISS, missed))
    return tuple(sorted((w for w in found if w.tokens), key=lambda w: -w.tokens))
