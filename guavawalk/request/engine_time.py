"""Nominal times of an engine; each target's own are a multiple of them.

The figures are those of the deployments' engines as their operators state them.
"""

__all__ = ["nominal_event_gap_s", "nominal_first_event_s", "nominal_prefill_s"]

# One step of a batch, and what each request in it adds.
STEP_S = 0.00382
STEP_S_PER_REQUEST = 0.0000227
# Prompt tokens that are read in a second, and what attention over pairs of tokens adds.
PREFILL_TOKENS_PER_S = 68_200.0
PREFILL_S_PER_PAIR = 0.242e-9
# From admission to the first event of an empty prompt.
FIRST_EVENT_S = 0.036


def nominal_prefill_s(prompt_tokens: int, cached_tokens: int = 0) -> float:
    """Return the time to read a prompt of which a prefix is cached."""
    fresh = max(prompt_tokens - cached_tokens, 0)
    pairs = fresh * (prompt_tokens + cached_tokens) / 2
    return fresh / PREFILL_TOKENS_PER_S + pairs * PREFILL_S_PER_PAIR


def nominal_first_event_s(prompt_tokens: int, cached_tokens: int, tokens_ahead: int) -> float:
    """Return the time to a first event behind prompts that are still to be read."""
    ahead_s = tokens_ahead / PREFILL_TOKENS_PER_S
    return FIRST_EVENT_S + ahead_s + nominal_prefill_s(prompt_tokens, cached_tokens)


def nominal_event_gap_s(tokens_per_event: int, running: int) -> float:
    """Return the time between two events of a stream beside others that run."""
    return tokens_per_event * (STEP_S + STEP_S_PER_REQUEST * running)
