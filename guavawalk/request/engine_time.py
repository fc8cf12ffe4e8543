"""Nominal times of a model engine; callers multiply them by the slowness of a target.

The constants describe the deployments' engines as stated by their operators.
"""

__all__ = ["nominal_event_gap_s", "nominal_first_event_s", "nominal_prefill_s"]

# Duration of one decoding step of a batch, and the addition for each request in it, in seconds.
STEP_S = 0.00382
STEP_S_PER_REQUEST = 0.0000227
# Prefill rate, and the time that attention adds for each pair of tokens, in seconds.
PREFILL_TOKENS_PER_S = 68_200.0
PREFILL_S_PER_PAIR = 0.242e-9
# Time from admission by an idle engine to the first event of an empty prompt, in seconds.
FIRST_EVENT_S = 0.036


def nominal_prefill_s(prompt_tokens: int, cached_tokens: int = 0) -> float:
    """Return the time to prefill the part of a prompt that is not cached, in seconds."""
    uncached = max(prompt_tokens - cached_tokens, 0)
    pairs = uncached * (prompt_tokens + cached_tokens) / 2
    return uncached / PREFILL_TOKENS_PER_S + pairs * PREFILL_S_PER_PAIR


def nominal_first_event_s(prompt_tokens: int, cached_tokens: int, tokens_ahead: int) -> float:
    """Return the time to the first event, in seconds.

    Parameters
    ----------
    tokens_ahead : int
        Prompt tokens of earlier requests that the engine still has to prefill.
    """
    ahead_s = tokens_ahead / PREFILL_TOKENS_PER_S
    return FIRST_EVENT_S + ahead_s + nominal_prefill_s(prompt_tokens, cached_tokens)


def nominal_event_gap_s(tokens_per_event: int, running: int) -> float:
    """Return the seconds between two events of a stream in a batch of `running` requests."""
    return tokens_per_event * (STEP_S + STEP_S_PER_REQUEST * running)
