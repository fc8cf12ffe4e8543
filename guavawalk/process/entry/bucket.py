"""A token bucket that is filled by the time that has passed."""

__all__ = ["TokenBucket", "create_token_bucket"]


class TokenBucket:
    """Tokens that come at a rate, up to a bound.

    Attributes
    ----------
    tokens : float
        What is there as of the last look; below 0 after work larger than the bound.
    """

    __slots__ = ("filled_s", "tokens")

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.filled_s = now_s

    def fill(self, rate: float, bound: float, now_s: float) -> None:
        """Add what came since the last look; the rate and bound may have changed."""
        elapsed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = max(self.filled_s, now_s)
        self.tokens = min(bound, self.tokens + rate * elapsed_s)

    def wait_s(self, amount: float, rate: float, bound: float) -> float:
        """Return after how long `amount` may be taken; 0 for now.

        Notes
        -----
        More than the bound can be taken from a full bucket, which then owes the rest.
        """
        missing = min(amount, bound) - self.tokens
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else float("inf")

    def spend(self, amount: float) -> None:
        """Take tokens."""
        self.tokens -= amount


def create_token_bucket(tokens: float, now_s: float) -> TokenBucket:
    """Create a bucket that holds so many tokens."""
    return TokenBucket(tokens, now_s)
