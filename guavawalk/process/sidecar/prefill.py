"""Prompt tokens that the engine has still to compute, and how fast it computes them."""

from guavawalk.request.attempt import Attempt

__all__ = ["PrefillTracker", "create_prefill_tracker", "uncached_tokens"]

DEFAULT_TOKENS_PER_S = 8_000.0
MIN_SAMPLE_TOKENS = 256
SAMPLE_WEIGHT = 0.2
MS_PER_S = 1000.0


def uncached_tokens(attempt: Attempt) -> int:
    """Return the prompt tokens that the engine is expected to compute."""
    return max(attempt.offer.prompt_tokens - attempt.cached_tokens, 0)


class PrefillTracker:
    """The prompts under prefill, in the order in which the engine takes them.

    Attributes
    ----------
    outstanding_tokens : int
        Tokens of attempts that were dispatched and have no first token yet.
    tokens_per_s : float
        Recent rate; waiting in the engine counts, so a queueing engine looks slow.
    """

    def __init__(self, tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> None:
        self.outstanding_tokens = 0
        self.tokens_per_s = tokens_per_s
        self._tokens: dict[Attempt, int] = {}
        self._tokens_through: dict[Attempt, int] = {}

    def __len__(self) -> int:
        """Count the prompts under prefill."""
        return len(self._tokens)

    def start(self, attempt: Attempt) -> None:
        """Note a dispatch."""
        tokens = uncached_tokens(attempt)
        self.outstanding_tokens += tokens
        self._tokens[attempt] = tokens
        self._tokens_through[attempt] = self.outstanding_tokens

    def discard(self, attempt: Attempt) -> None:
        """Forget an attempt; nothing is learned."""
        self.outstanding_tokens -= self._tokens.pop(attempt, 0)
        self._tokens_through.pop(attempt, None)

    def finish(self, attempt: Attempt, elapsed_ms: float) -> float:
        """Note a first token, and return the time that was expected for it."""
        tokens = self._tokens_through.get(attempt, 0)
        expected_ms = self.expected_ms(tokens)
        self.discard(attempt)
        self._update_rate(tokens, elapsed_ms)
        return expected_ms

    def _update_rate(self, tokens: int, elapsed_ms: float) -> None:
        if elapsed_ms <= 0:
            return
        sample = tokens * MS_PER_S / elapsed_ms
        # A short prompt's time is mostly the first step, so it can only show the rate too low.
        if tokens >= MIN_SAMPLE_TOKENS or sample > self.tokens_per_s:
            self.tokens_per_s += SAMPLE_WEIGHT * (sample - self.tokens_per_s)

    def expected_ms(self, tokens: int) -> float:
        """Return how long so many tokens take."""
        return tokens * MS_PER_S / self.tokens_per_s


def create_prefill_tracker(tokens_per_s: float = DEFAULT_TOKENS_PER_S) -> PrefillTracker:
    """Create an empty ledger of an engine with a nominal rate."""
    return PrefillTracker(tokens_per_s)
