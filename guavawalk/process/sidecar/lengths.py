"""Tracks costs of offers and answer lengths, to detect long offers and predict answer lengths."""

from collections import OrderedDict, deque

from sortedcontainers import SortedList

from guavawalk.request.types import Offer

__all__ = ["LengthStatistics", "create_length_statistics"]

# An offer is long if its cost is over this multiple of the median cost.
LONG_FACTOR = 8
# Number of recent offers that the median cost covers.
RECENT_COSTS = 256
# Number of known costs below which no offer is long.
MIN_COSTS = 16
# Bound on the pairs of workspace and model whose answer lengths are kept.
MAX_PAIRS = 4_096
# Number of recorded answers below which a median length is not used.
MIN_ANSWERS = 8
# Largest step of a running median, as a share of its value.
STEP_SHARE = 0.1


class RunningMedian:
    """Running median of answer lengths."""

    def __init__(self, tokens: int) -> None:
        self.median_tokens = float(tokens)
        self.answers = 1

    def record(self, tokens: int) -> None:
        """Move the median towards a length, by up to `STEP_SHARE` of its value or 1 token."""
        step = max(self.median_tokens * STEP_SHARE, 1.0)
        distance = tokens - self.median_tokens
        self.median_tokens += max(min(distance, step), -step)
        self.answers += 1


class LengthStatistics:
    """Recent costs of offers, and median answer lengths by workspace and model.

    Notes
    -----
    The medians of the `MAX_PAIRS` pairs of workspace and model with the newest answers are kept; a
    pair that has been evicted starts anew.
    """

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sorted: SortedList[int] = SortedList()
        self._medians: OrderedDict[tuple[str, str], RunningMedian] = OrderedDict()

    def record_offer(self, cost_tokens: int) -> bool:
        """Record the cost of an offer; return whether it is over `LONG_FACTOR` times the median.

        Notes
        -----
        False while fewer than `MIN_COSTS` costs are known.
        """
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
        """Record the length of a complete answer."""
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
        """Return the median length of answers like this one, at most the estimate in the offer.

        Notes
        -----
        The estimate in the offer is the upper bound, so that no offer is refused early because its
        answer is overestimated. It is returned unchanged while fewer than `MIN_ANSWERS` answers of
        the workspace and model are known.
        """
        median = self._medians.get((offer.workspace, offer.model))
        if median is None or median.answers < MIN_ANSWERS:
            return offer.expected_output_tokens
        return min(int(median.median_tokens), offer.expected_output_tokens)

    def __len__(self) -> int:
        """Return the number of pairs of workspace and model."""
        return len(self._medians)


def create_length_statistics() -> LengthStatistics:
    """Create empty statistics."""
    return LengthStatistics()
