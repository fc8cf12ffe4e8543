"""The statistics of offer costs and answer lengths."""

from guavawalk.process.sidecar import lengths
from guavawalk.process.sidecar.lengths import create_length_statistics
from tests.process.sidecar.attempts import make_attempt


class TestLengthStatistics:
    def test_much_longer_than_the_median_is_long(self):
        statistics = create_length_statistics()
        assert not any(statistics.record_offer(100) for _ in range(50))
        assert not statistics.record_offer(700)
        assert statistics.record_offer(10_000)

    def test_nothing_is_long_where_all_are(self):
        statistics = create_length_statistics()
        for _ in range(lengths.RECENT_COSTS):
            statistics.record_offer(10_000)
        assert not statistics.record_offer(20_000)
        assert len(statistics._recent) == len(statistics._sorted) == lengths.RECENT_COSTS

    def test_learns_the_median_and_never_says_more_than_the_offer(self):
        statistics = create_length_statistics()
        offer = make_attempt(output=1_000).offer
        assert statistics.expected_output_tokens(offer) == 1_000
        for _ in range(200):
            statistics.record_answer(offer, 40)
        assert 30 <= statistics.expected_output_tokens(offer) <= 50
        assert statistics.expected_output_tokens(offer._replace(expected_output_tokens=10)) == 10

    def test_the_pairs_are_bounded(self, monkeypatch):
        monkeypatch.setattr(lengths, "MAX_PAIRS", 10)
        statistics = create_length_statistics()
        for number in range(100):
            statistics.record_answer(make_attempt(f"w{number}").offer, 5)
        assert len(statistics) == 10
