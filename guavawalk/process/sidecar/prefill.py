"""Tracks the prompts that the engine is computing, and estimates its prefill rate."""

from guavawalk.request.attempt import Attempt

__all__ = ["PrefillTracker", "create_prefill_tracker", "uncached_tokens"]

# Initial prefill rate where the configuration gives none.
DEFAULT_TOKENS_PER_S = 8_000.0
# A sample of fewer tokens may only raise the rate.
MIN_SAMPLE_TOKENS = 256
# Weight of a new sample in the moving average of the rate.
SAMPLE_WEIGHT = 0.2
MS_PER_S = 1000.0


def uncached_tokens(attempt: Attempt) -> int:
    """Return how many prompt tokens of an attempt the engine is expected to compute."""
    return max(attempt.offer.prompt_tokens - attempt.cached_tokens, 0)


class PrefillTracker:
    """Prompts under prefill, in the order in which the engine computes them.

    Attributes
    ----------
    outstanding_tokens : int
        Uncached prompt tokens of dispatched attempts without a first token.
    tokens_per_s : float
        Moving average of the prefill rate. Samples include time queued in the engine, so an engine
        that queues appears slow.
    """

    def __init__(self, tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> None:
        self.outstanding_tokens = 0
        self.tokens_per_s = tokens_per_s
        self._tokens: dict[Attempt, int] = {}
        # Sum of the attempt's own tokens and those outstanding when it was dispatched.
        self._tokens_through: dict[Attempt, int] = {}

    def __len__(self) -> int:
        """Return the number of prompts under prefill."""
        return len(self._tokens)

    def start(self, attempt: Attempt) -> None:
        """Add the prompt of a dispatched attempt."""
        tokens = uncached_tokens(attempt)
        self.outstanding_tokens += tokens
        self._tokens[attempt] = tokens
        self._tokens_through[attempt] = self.outstanding_tokens

    def discard(self, attempt: Attempt) -> None:
        """Remove the prompt of an attempt, if it is under prefill, without a sample."""
        self.outstanding_tokens -= self._tokens.pop(attempt, 0)
        self._tokens_through.pop(attempt, None)

    def finish(self, attempt: Attempt, elapsed_ms: float) -> float:
        """Record a first token; return the time, in milliseconds, that was expected for it.

        Parameters
        ----------
        elapsed_ms : float
            Time from dispatch to the first token.
        """
        tokens = self._tokens_through.get(attempt, 0)
        expected_ms = self.expected_ms(tokens)
        self.discard(attempt)
        self._update_rate(tokens, elapsed_ms)
        return expected_ms

    def _update_rate(self, tokens: int, elapsed_ms: float) -> None:
        if elapsed_ms <= 0:
            return
        sample = tokens * MS_PER_S / elapsed_ms
        # The time of a short prompt is mostly the engine's first scheduling step after the request
        # arrived, which makes its sample too low. One that is still above the rate shows that the
        # rate is too low, for example because the engine stood still when it was learned.
        if tokens >= MIN_SAMPLE_TOKENS or sample > self.tokens_per_s:
            self.tokens_per_s += SAMPLE_WEIGHT * (sample - self.tokens_per_s)

    def expected_ms(self, tokens: int) -> float:
        """Return the time, in milliseconds, that the engine is expected to take for `tokens`."""
        return tokens * MS_PER_S / self.tokens_per_s


def create_prefill_tracker(tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> PrefillTracker:
    """Create an empty tracker that starts from the engine's nominal rate."""
    return PrefillTracker(tokens_per_s)
