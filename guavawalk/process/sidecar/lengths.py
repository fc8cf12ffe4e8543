"""How long requests are: what is much longer than most, and how long answers get."""

from collections import OrderedDict, deque

from sortedcontainers import SortedList

from guavawalk.request.types import Offer

__all__ = ["LengthStatistics", "create_length_statistics"]

LONG_FACTOR = 8
RECENT_COSTS = 256
MIN_COSTS = 16
MAX_PAIRS = 4_096
MIN_ANSWERS = 8
STEP_SHARE = 0.1


class RunningMedian:
    """A running median of answer lengths."""

    def __init__(self, tokens: int) -> None:
        self.median_tokens = float(tokens)
        self.answers = 1

    def record(self, tokens: int) -> None:
        """Move the median towards a length."""
        step = max(self.median_tokens * STEP_SHARE, 1.0)
        distance = tokens - self.median_tokens
        self.median_tokens += max(min(distance, step), -step)
        self.answers += 1


class LengthStatistics:
    """What a sidecar has median about lengths.

    Notes
    -----
    The answer lengths are kept for the `MAX_PAIRS` pairs of workspace and model that were seen
    last; a pair that is dropped starts anew.
    """

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sorted: SortedList[int] = SortedList()
        self._medians: OrderedDict[tuple[str, str], RunningMedian] = OrderedDict()

    def record_offer(self, cost_tokens: int) -> bool:
        """Note the cost of an offer; say whether it is over `LONG_FACTOR` times the median."""
        is_long = (
            len(self._sorted) >= MIN_COSTS
            and cost_tokens > LONG_FACTOR * self._sorted[len(self._sorted) // 2]
        )
        self._recent.append(cost_tokens)
        self._sorted.add(cost_tokens)
        if len(self._recent) > RECENT_COSTS:
            self._sorted.remove(self._recent.popleft())
        return is_long

    def record_answer(self, offer: Offer, output_tokens: int) -> None:
        """Note the length of a whole answer."""
        pair = (offer.workspace, offer.model)
        median = self._medians.get(pair)
        if median is None:
            self._medians[pair] = RunningMedian(output_tokens)
        else:
            median.record(output_tokens)
            self._medians.move_to_end(pair)
        if len(self._medians) > MAX_PAIRS:
            self._medians.popitem(last=False)

    def expected_output_tokens(self, offer: Offer) -> int:
        """Return how long the answer will be at least as likely as not.

        Notes
        -----
        Never more than the offer says: an early refusal must not rest on a guess that is too
        long.
        """
        median = self._medians.get((offer.workspace, offer.model))
        if median is None or median.answers < MIN_ANSWERS:
            return offer.expected_output_tokens
        return min(int(median.median_tokens), offer.expected_output_tokens)

    def __len__(self) -> int:
        """Count the pairs of workspace and model."""
        return len(self._medians)


def create_length_statistics() -> LengthStatistics:
    """Create a book that has median nothing."""
    return LengthStatistics()
