"""Versions in force: generated stories over real tasks in virtual time."""

import os

import pytest
from hypothesis import given, settings

from guavawalk.connection.tasks import spread
from guavawalk.version.active import ActivationResult, ActiveVersion
from tests.process.spread.story import STEPS, Violation, tell

STORIES = int(os.environ.get("GUAVAWALK_VERSION_STORIES", "6"))


def flat(error: BaseException):
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from flat(inner)
    else:
        yield error


class TestStories:
    @settings(max_examples=STORIES)
    @given(STEPS)
    def test_promises_hold(self, steps):
        last, published, _ = tell(steps)
        assert last == {published}

    def test_same_seed_same_story(self):
        steps = [("kill", 3, 1.0), ("publish", 0, 3.0), ("restart", 0, 3.0)]
        assert tell(steps, seed=5) == tell(steps, seed=5)


class TestServiceDown:
    def test_version_reaches_all_once_one_node_has_it(self):
        tell([("publish", 0, 0.1), ("down", 0, 7.0)])

    def test_restarted_node_asks_its_peers_before_a_stale_platform(self):
        tell([("publish", 0, 7.0), ("old", 0, 0.1), ("kill", 3, 1.0), ("restart", 0, 7.0)])


class TestMutants:
    def caught(self, steps):
        with pytest.raises(BaseExceptionGroup) as info:
            tell(steps)
        return [error for error in flat(info.value) if isinstance(error, Violation)]

    def test_not_asking_peers_is_caught(self, monkeypatch):
        async def ask_nobody(spread):
            return

        monkeypatch.setattr(spread, "_poll_peers", ask_nobody)
        turns = [step for i in range(4) for step in (("kill", 5 * i, 1.0), ("restart", 0, 7.0))]
        assert self.caught([("publish", 0, 7.0), ("old", 0, 0.1), *turns])

    def test_going_back_is_caught(self, monkeypatch):
        def evaluate(self, stamp):
            return ActivationResult.SAME if stamp == self.stamp else ActivationResult.IN_FORCE

        monkeypatch.setattr(ActiveVersion, "evaluate", evaluate)
        assert self.caught([("publish", 0, 7.0), ("old", 0, 40.0)])

    def test_not_following_peers_is_caught(self, monkeypatch):
        monkeypatch.setattr(spread, "UPSTREAMS", 0)
        assert self.caught([("publish", 0, 7.0)])
