import pytest

from guavawalk.process.gateway.decay import DecayingShare, MovingAverage


class TestDecayingShare:
    def test_one_failure_gives_a_share_below_one(self):
        share = DecayingShare(3.0, 2.0)
        share.record(True, 0.0)
        assert share.share(0.0) == pytest.approx(1 / 3)

    def test_failures_lose_weight_with_time(self):
        share = DecayingShare(3.0, 2.0)
        for _ in range(20):
            share.record(True, 0.0)
        assert share.share(0.0) > 0.9
        assert share.share(30.0) < 0.02

    def test_an_earlier_time_does_not_change_the_share(self):
        share = DecayingShare(3.0, 2.0)
        share.record(True, 10.0)
        assert share.share(5.0) == share.share(10.0)


class TestMovingAverage:
    def test_first_observations_weigh_more(self):
        average = MovingAverage(1.0, 0.2)
        average.update(3.0)
        assert average.value == 2.0

    def test_converges_to_a_constant_value(self):
        average = MovingAverage(1.0, 0.2)
        for _ in range(40):
            average.update(3.0)
        assert average.value == pytest.approx(3.0, abs=0.01)
