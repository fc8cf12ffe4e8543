"""Cost of one request at its target, in prompt tokens."""

from guavawalk.request.call import Call
from guavawalk.request.types import Offer

__all__ = ["OUTPUT_TOKEN_COST", "call_cost_tokens", "offer_cost_tokens"]

# Cost of one output token, in prompt tokens.
OUTPUT_TOKEN_COST = 4


def offer_cost_tokens(offer: Offer) -> int:
    """Return the number of prompt tokens that would occupy the target as long as an offer.

    Notes
    -----
    An output token counts as `OUTPUT_TOKEN_COST` prompt tokens. An offer without tokens costs 1.

    Examples
    --------
    >>> offer_cost_tokens(Offer(prompt_tokens=100, expected_output_tokens=10))
    140
    >>> offer_cost_tokens(Offer())
    1
    """
    return _cost_tokens(offer.prompt_tokens, offer.expected_output_tokens)


def call_cost_tokens(call: Call, cached_tokens: int = 0) -> int:
    """Return the expected cost of a call, of whose prompt a target has `cached_tokens` cached."""
    return _cost_tokens(call.fields.prompt_tokens - cached_tokens, call.expected_output_tokens)


def _cost_tokens(prompt_tokens: int, output_tokens: int) -> int:
    return max(max(prompt_tokens, 0) + OUTPUT_TOKEN_COST * max(output_tokens, 0), 1)
