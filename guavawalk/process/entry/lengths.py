"""Estimates answer lengths by workspace, model, tier and prompt size."""

from collections import OrderedDict
from typing import NamedTuple

from guavawalk.request.types import Work

__all__ = ["LengthEstimator", "create_length_estimator"]

# Lowest weight of one answer in the moving mean of its key. In the means of all answers it has a
# tenth of this weight.
MEAN_STEP = 0.1
# Answers that must be recorded under a key before its mean is used.
MIN_SAMPLES = 3


class LengthKey(NamedTuple):
    """Properties of a request whose answers are averaged together.

    Attributes
    ----------
    workspace : str
        Empty in the key that is shared by all workspaces.
    rank : int
        Rank of the request's tier.
    prompt_size_class : int
        Half the bit length of the number of prompt tokens, rounded down: sizes of one class
        differ by less than a factor of four.
    """

    workspace: str
    model: str
    rank: int
    prompt_size_class: int


class MeanLength(NamedTuple):
    """Moving mean of the answer lengths under one key, in tokens."""

    samples: int = 0
    mean_tokens: float = 0.0


class LengthEstimator:
    """A bounded table of mean answer lengths; the least recently updated key is evicted first.

    Attributes
    ----------
    mean_tokens, mean_square : float
        Moving means of the length of all answers, in tokens, and of its square; 0 before the
        first answer.
    """

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._means: OrderedDict[LengthKey, MeanLength] = OrderedDict()
        self.mean_tokens = 0.0
        self.mean_square = 0.0

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._means)

    @property
    def remaining_tokens(self) -> float:
        """Mean number of tokens still to come in a running answer; 0 before the first answer.

        Notes
        -----
        Long answers run for longer, so there are more of them among the running ones than among
        all. So this is at least half of `mean_tokens`, and more if lengths vary.
        """
        return self.mean_square / (2 * self.mean_tokens) if self.mean_tokens else 0.0

    def with_expected_length(self, work: Work) -> Work:
        """Return the work with `expected_output_tokens` set to the estimate.

        Notes
        -----
        The estimate never exceeds the caller's `max_output_tokens`, unless that is 0 (no limit).
        Work is returned unchanged if it has no model, or if neither its own key nor the one
        shared by all workspaces has `MIN_SAMPLES` answers.
        """
        mean = self._find(work)
        if mean is None:
            return work
        expected = max(1, round(mean.mean_tokens))
        if work.max_output_tokens:
            expected = min(expected, work.max_output_tokens)
        return work._replace(expected_output_tokens=expected)

    def record(self, work: Work, output_tokens: int) -> None:
        """Update the means with a completed answer.

        Notes
        -----
        Work without a model and answers without output tokens are ignored.
        """
        if not work.model or output_tokens <= 0:
            return
        for key in (_key(work), _shared_key(work)):
            self._update_key(key, output_tokens)
        while len(self._means) > self._max_keys:
            self._means.popitem(last=False)
        self._update_overall(output_tokens)

    def _find(self, work: Work) -> MeanLength | None:
        if not work.model:
            return None
        for key in (_key(work), _shared_key(work)):
            mean = self._means.get(key)
            if mean is not None and mean.samples >= MIN_SAMPLES:
                return mean
        return None

    def _update_key(self, key: LengthKey, output_tokens: int) -> None:
        samples, mean = self._means.pop(key, MeanLength())
        step = max(MEAN_STEP, 1 / (samples + 1))
        self._means[key] = MeanLength(samples + 1, mean + step * (output_tokens - mean))

    def _update_overall(self, output_tokens: int) -> None:
        step = MEAN_STEP / 10 if self.mean_tokens else 1.0
        self.mean_tokens += step * (output_tokens - self.mean_tokens)
        self.mean_square += step * (output_tokens**2 - self.mean_square)


def _key(work: Work) -> LengthKey:
    size_class = work.prompt_tokens.bit_length() // 2
    return LengthKey(work.workspace.name, work.model, work.tier.rank, size_class)


def _shared_key(work: Work) -> LengthKey:
    """Return the key shared by all workspaces, read while that of one has too few answers."""
    return _key(work)._replace(workspace="")


def create_length_estimator(max_keys: int = 10_000) -> LengthEstimator:
    """Create an estimator without samples that holds at most `max_keys` keys."""
    return LengthEstimator(max_keys)
