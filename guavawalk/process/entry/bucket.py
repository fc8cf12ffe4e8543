"""Token bucket that refills in proportion to the time that has passed."""

__all__ = ["TokenBucket", "create_token_bucket"]


class TokenBucket:
    """A token bucket whose rate and capacity are given with each call.

    Attributes
    ----------
    tokens : float
        Tokens left, without those earned since the last refill; may be negative.
    refilled_at_s : float
        Time of the last refill, in seconds of the caller's clock.
    """

    __slots__ = ("refilled_at_s", "tokens")

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.refilled_at_s = now_s

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add the tokens earned since the last refill, up to the capacity.

        Notes
        -----
        The rate and the capacity may differ from those of the last refill. A clock that steps back
        adds nothing.
        """
        elapsed_s = max(0.0, now_s - self.refilled_at_s)
        self.refilled_at_s = max(self.refilled_at_s, now_s)
        self.tokens = min(capacity, self.tokens + rate_per_s * elapsed_s)

    def wait_s(self, amount: float, rate_per_s: float, capacity: float) -> float:
        """Return the time in seconds until `amount` may be spent.

        Returns
        -------
        float
            0 if it may be spent now; infinity if too few tokens are left and the rate is 0.

        Notes
        -----
        An amount above the capacity may be spent once the bucket is full. That leaves a negative
        balance, which later refills have to make up for.
        """
        missing = min(amount, capacity) - self.tokens
        if missing <= 0:
            return 0.0
        return missing / rate_per_s if rate_per_s > 0 else float("inf")

    def spend(self, amount: float) -> None:
        """Subtract tokens without checking the balance, which may become negative."""
        self.tokens -= amount


def create_token_bucket(tokens: float, now_s: float) -> TokenBucket:
    """Create a bucket that holds `tokens` at the time `now_s`."""
    return TokenBucket(tokens, now_s)
