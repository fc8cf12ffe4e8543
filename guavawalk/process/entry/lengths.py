"""Learning how long answers are, by workspace, model, tier and size of the prompt."""

from collections import OrderedDict
from typing import NamedTuple

from guavawalk.request.types import Work

__all__ = ["LengthEstimator", "create_length_estimator"]

STEP = 0.1
MIN_SAMPLES = 3


class LengthKey(NamedTuple):
    """What answers of like length have in common."""

    workspace: str
    model: str
    rank: int
    size: int


class Learned(NamedTuple):
    """Moving mean of the lengths seen under one key."""

    samples: int = 0
    mean_tokens: float = 0.0


class LengthEstimator:
    """A bounded table of mean answer lengths; the key used longest ago is forgotten first.

    Attributes
    ----------
    mean_tokens, mean_square : float
        Moving means over all answers of the length and of its square.
    """

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._learned: OrderedDict[LengthKey, Learned] = OrderedDict()
        self.mean_tokens = 0.0
        self.mean_square = 0.0

    def __len__(self) -> int:
        """Count the keys."""
        return len(self._learned)

    @property
    def remaining_tokens(self) -> float:
        """Expected rest of an answer found running at a random moment."""
        return self.mean_square / (2 * self.mean_tokens) if self.mean_tokens else 0.0

    def with_expected_length(self, work: Work) -> Work:
        """Return the work with the expected length of its answer.

        Notes
        -----
        The caller's own bound is never passed; it stands alone until enough was seen.
        """
        learned = self._find(work)
        if learned is None:
            return work
        expected = max(1, round(learned.mean_tokens))
        if work.max_output_tokens:
            expected = min(expected, work.max_output_tokens)
        return work._replace(expected_output_tokens=expected)

    def record(self, work: Work, output_tokens: int) -> None:
        """Learn from a completed answer."""
        if not work.model or output_tokens <= 0:
            return
        for key in (_key(work), _wide_key(work)):
            self._record_key(key, output_tokens)
        while len(self._learned) > self._max_keys:
            self._learned.popitem(last=False)
        self._record_all(output_tokens)

    def _find(self, work: Work) -> Learned | None:
        if not work.model:
            return None
        for key in (_key(work), _wide_key(work)):
            learned = self._learned.get(key)
            if learned is not None and learned.samples >= MIN_SAMPLES:
                return learned
        return None

    def _record_key(self, key: LengthKey, output_tokens: int) -> None:
        samples, mean = self._learned.pop(key, Learned())
        step = max(STEP, 1 / (samples + 1))
        self._learned[key] = Learned(samples + 1, mean + step * (output_tokens - mean))

    def _record_all(self, output_tokens: int) -> None:
        step = STEP / 10 if self.mean_tokens else 1.0
        self.mean_tokens += step * (output_tokens - self.mean_tokens)
        self.mean_square += step * (output_tokens**2 - self.mean_square)


def _key(work: Work) -> LengthKey:
    size = work.prompt_tokens.bit_length() // 2
    return LengthKey(work.workspace.name, work.model, work.tier.rank, size)


def _wide_key(work: Work) -> LengthKey:
    """Return the key that all workspaces share, for one that has seen too few."""
    return _key(work)._replace(workspace="")


def create_length_estimator(max_keys: int = 10_000) -> LengthEstimator:
    """Create an estimator that has seen nothing."""
    return LengthEstimator(max_keys)
