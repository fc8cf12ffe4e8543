"""Guarantees about active versions, checked in generated scenarios that run in virtual time."""

import os

import pytest
from hypothesis import given, settings

from guavawalk.connection.tasks import spread
from guavawalk.version.active import ActivationResult, ActiveVersion
from tests.process.spread.scenario import STEPS, Violation, run_scenario

SCENARIOS = int(os.environ.get("GUAVAWALK_VERSION_STORIES", "6"))


def leaf_errors(error: BaseException):
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from leaf_errors(inner)
    else:
        yield error


class TestScenarios:
    @settings(max_examples=SCENARIOS)
    @given(STEPS)
    def test_guarantees_hold(self, steps):
        last, published, _ = run_scenario(steps)
        assert last == {published}

    def test_same_seed_gives_the_same_run(self):
        steps = [("kill", 3, 1.0), ("publish", 0, 3.0), ("restart", 0, 3.0)]
        assert run_scenario(steps, seed=5) == run_scenario(steps, seed=5)


class TestServiceDown:
    def test_version_at_one_node_reaches_all(self):
        run_scenario([("publish", 0, 0.1), ("down", 0, 7.0)])

    def test_restarted_node_asks_its_peers_before_a_stale_platform(self):
        run_scenario([("publish", 0, 7.0), ("old", 0, 0.1), ("kill", 3, 1.0), ("restart", 0, 7.0)])


class TestLostAnswers:
    @pytest.mark.parametrize("silent_s", [0.1, 1.0, 4.5])
    def test_version_whose_answers_were_lost_reaches_all(self, silent_s):
        steps = [("lose", 0, 0.1), ("publish", 0, silent_s), ("up", 0, 7.0)]
        run_scenario(steps)

    def test_version_after_a_silence_reaches_all(self):
        steps = [("lose", 0, 0.1), ("publish", 0, 4.5), ("up", 0, 5.0), ("publish", 0, 7.0)]
        run_scenario(steps)


class TestMutants:
    def violations(self, steps):
        with pytest.raises(BaseExceptionGroup) as info:
            run_scenario(steps)
        return [error for error in leaf_errors(info.value) if isinstance(error, Violation)]

    def test_start_without_asking_peers_is_detected(self, monkeypatch):
        async def ask_no_peer(spread):
            return

        monkeypatch.setattr(spread, "_poll_peers", ask_no_peer)
        turns = [step for i in range(4) for step in (("kill", 5 * i, 1.0), ("restart", 0, 7.0))]
        assert self.violations([("publish", 0, 7.0), ("old", 0, 0.1), *turns])

    def test_return_to_an_older_version_is_detected(self, monkeypatch):
        def evaluate(self, stamp):
            return ActivationResult.SAME if stamp == self.stamp else ActivationResult.IN_FORCE

        monkeypatch.setattr(ActiveVersion, "evaluate", evaluate)
        assert self.violations([("publish", 0, 7.0), ("old", 0, 40.0)])

    def test_not_following_peers_is_detected(self, monkeypatch):
        monkeypatch.setattr(spread, "UPSTREAMS", 0)
        assert self.violations([("publish", 0, 7.0)])
