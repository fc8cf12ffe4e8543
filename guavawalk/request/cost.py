"""Cost of one offer at its target, in prompt tokens."""

from guavawalk.request.types import Offer

__all__ = ["OUTPUT_TOKEN_COST", "offer_cost_tokens"]

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
    output = max(offer.expected_output_tokens, 0)
    return max(max(offer.prompt_tokens, 0) + OUTPUT_TOKEN_COST * output, 1)
