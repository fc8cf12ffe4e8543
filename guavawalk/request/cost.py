"""What one offer costs its target, in prompt tokens."""

from guavawalk.request.types import Offer

__all__ = ["OUTPUT_TOKEN_COST", "offer_cost_tokens"]

OUTPUT_TOKEN_COST = 4


def offer_cost_tokens(offer: Offer) -> int:
    """Return the cost of an offer, as prompt tokens that would hold the target as long.

    Notes
    -----
    An output token counts as `OUTPUT_TOKEN_COST` prompt tokens. A call without tokens costs 1.

    Examples
    --------
    >>> offer_cost_tokens(Offer(prompt_tokens=100, expected_output_tokens=10))
    140
    >>> offer_cost_tokens(Offer())
    1
    """
    output = max(offer.expected_output_tokens, 0)
    return max(max(offer.prompt_tokens, 0) + OUTPUT_TOKEN_COST * output, 1)
