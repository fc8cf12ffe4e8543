"""Tests which prompt parts are blamed for the ends of targets, and what ends the blame."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.part_suspects import (
    BLAMED_MOMENTS,
    FIRST_TRIAL_S,
    MAX_TRIALS,
    SETTLE_S,
    create_part_suspect_table,
)
from guavawalk.process.part_suspicion import PartNews
from guavawalk.process.target_ends import COMMON_CAUSE_S, SUSPECT_RETENTION_S
from guavawalk.request.call import SharedPart

FIRST, BAD, BAD2, OTHER = (SharedPart(name, number) for number, name in enumerate("fbco", 1))
NUMBERS = st.integers(-(2**63), 2**64 - 1)


class FixedClock:
    def __init__(self):
        self.at_s = 1000.0

    def now_s(self):
        return self.at_s


class Story:
    """A table and its clock, which goes on by a second with each end of a target."""

    def __init__(self, **options):
        self.clock = FixedClock()
        self.table = create_part_suspect_table(self.clock, **options)
        self._ends = 0

    def end(self, *parts, after_s=1.0):
        """End one more target while a request with these parts had just begun to run there."""
        self._ends += 1
        self.clock.at_s += after_s
        return self.table.record_target_death(parts, f"i-{self._ends}", self.clock.at_s)

    def settle(self):
        self.clock.at_s += SETTLE_S

    def blocks(self, *parts):
        return bool(self.table.blocking_parts(parts))


def story_of(*ends, **options):
    """Return a story in which each target ended with the given parts."""
    story = Story(**options)
    for parts in ends:
        story.end(*parts)
    story.settle()
    return story


class TestBlame:
    def test_part_is_blamed_that_was_at_three_moments(self):
        assert not story_of((BAD,), (BAD,)).blocks(BAD)
        assert story_of((BAD,), (BAD,), (BAD,)).blocks(BAD)

    def test_same_end_told_twice_counts_once(self):
        story = Story()
        for _ in range(5):
            story.clock.at_s += 1.0
            story.table.record_target_death((BAD,), "i-1", story.clock.at_s)
        story.settle()
        assert not story.blocks(BAD)

    def test_targets_that_end_together_count_as_one_moment(self):
        story = Story()
        for _ in range(9):
            story.end(BAD, after_s=COMMON_CAUSE_S / 10)
        story.settle()
        assert not story.blocks(BAD)

    def test_waits_until_peers_may_have_told_of_another_part(self):
        story = Story()
        for _ in range(BLAMED_MOMENTS):
            story.end(FIRST)
        assert not story.blocks(FIRST)
        story.settle()
        assert story.blocks(FIRST)

    def test_parts_at_the_same_ends_block_only_requests_that_hold_all_of_them(self):
        story = story_of(*[(FIRST, BAD)] * 3)
        assert story.blocks(FIRST, BAD) and story.blocks(FIRST, BAD, OTHER)
        assert not story.blocks(FIRST) and not story.blocks(BAD)

    def test_first_part_of_two_bad_ones_is_explained_by_both(self):
        story = story_of(*[(FIRST, BAD), (FIRST, BAD2)] * 3)
        assert story.blocks(FIRST, BAD) and story.blocks(FIRST, BAD2)
        assert not story.blocks(FIRST) and not story.blocks(FIRST, OTHER)

    def test_long_series_of_two_bad_parts_leaves_the_first_part_explained(self):
        story = story_of(*[(FIRST, BAD), (FIRST, BAD2)] * 8)
        peer = Story()
        peer.clock.at_s = story.clock.at_s
        peer.table.merge_news(map(story.table.news_of, (FIRST.key, BAD.key, BAD2.key)))
        peer.settle()
        for table in (story.table, peer.table):
            assert table.blocking_parts((FIRST, BAD)) and not table.blocking_parts((FIRST,))

    def test_many_sound_parts_together_do_not_explain_the_ends_of_the_bad_one(self):
        sound = [SharedPart(f"s{number}", 100 + number) for number in range(8)]
        ends = [(BAD, sound[number // 2], sound[(number // 2 + 1) % 8]) for number in range(16)]
        assert story_of(*ends).blocks(BAD)

    def test_part_behind_several_first_parts_is_blamed_alone(self):
        story = story_of((FIRST, BAD), (OTHER, BAD), (FIRST, BAD), (OTHER, BAD))
        assert story.blocks(BAD)
        assert not story.blocks(FIRST) and not story.blocks(OTHER)

    def test_first_part_at_other_ends_too_is_not_blamed_for_those_of_the_bad_one(self):
        story = story_of(*[(FIRST, BAD)] * 3, (FIRST,))
        assert story.blocks(FIRST, BAD)
        assert not story.blocks(FIRST)

    def test_request_with_a_repeated_part_is_doubtful_where_nothing_else_explains_it(self):
        assert not story_of((FIRST, BAD)).table.is_doubtful((BAD,))
        table = story_of((FIRST, BAD), (FIRST, BAD)).table
        assert table.is_doubtful((FIRST, BAD)) and not table.is_doubtful((FIRST, OTHER))

    def test_ends_of_a_repeated_part_are_no_evidence_against_other_requests(self):
        story = story_of((FIRST, BAD), (FIRST, BAD))
        assert len(story.table.explained_targets((FIRST,))) == 2
        assert not story.table.explained_targets((FIRST, BAD))


class TestSurvival:
    def test_run_that_was_sent_later_clears_the_earlier_ends(self):
        story = story_of(*[(FIRST, BAD)] * 3)
        assert story.table.record_survival((FIRST,), story.clock.at_s)
        assert story.blocks(BAD) and not story.blocks(FIRST)

    def test_run_that_was_sent_before_an_end_does_not_clear_it(self):
        story = Story()
        sent_s = story.clock.at_s
        for _ in range(3):
            story.end(BAD)
        story.settle()
        assert not story.table.record_survival((BAD,), sent_s)
        assert story.blocks(BAD)

    def test_part_that_goes_bad_after_many_runs_is_blamed(self):
        story = Story()
        for _ in range(100):
            story.clock.at_s += 1.0
            story.table.record_survival((BAD,), story.clock.at_s)
        for _ in range(3):
            story.end(BAD)
        story.settle()
        assert story.blocks(BAD)

    def test_operator_can_clear_a_part(self):
        story = story_of(*[(BAD,)] * 3)
        assert story.table.clear(BAD.key) and not story.table.clear(BAD.key)
        assert not story.blocks(BAD)


class TestTrial:
    def wait(self, story, processes=4):
        """Advance to the moment at which the next trial of `BAD` is due at all processes."""
        story.clock.at_s = story.table.trial_due_s(BAD.key) + processes
        return story.table.begin_trial((FIRST, BAD), processes)

    def test_one_request_may_run_after_a_time_without_an_end(self):
        story = story_of(*[(BAD,)] * 3)
        assert not story.table.begin_trial((BAD,), 4)
        assert self.wait(story) == [BAD.key]
        assert not story.table.begin_trial((BAD,), 4)
        assert story.blocks(BAD)

    def test_next_one_waits_longer_if_it_ends_a_target(self):
        story = story_of(*[(BAD,)] * 3)
        self.wait(story)
        story.end(BAD)
        assert story.table.trial_due_s(BAD.key) - story.clock.at_s > 3 * FIRST_TRIAL_S

    def test_survival_ends_the_blame_and_forgets_the_trials(self):
        story = story_of(*[(BAD,)] * 3)
        self.wait(story)
        story.table.record_survival((BAD,), story.clock.at_s)
        assert not story.blocks(BAD)
        assert story.table.get(BAD.key).counted_trials == 0

    def test_peers_hear_of_it_and_begin_none(self):
        story, peer = (story_of(*[(BAD,)] * 3) for _ in range(2))
        self.wait(story)
        peer.clock.at_s = story.clock.at_s
        peer.table.merge_news([story.table.news_of(BAD.key)])
        assert not peer.table.begin_trial((BAD,), 4)

    def test_request_that_is_not_blocked_is_no_trial(self):
        story = story_of(*[(BAD,)] * 3)
        story.clock.at_s += 10 * FIRST_TRIAL_S
        assert not story.table.begin_trial((OTHER,), 1)


class TestNews:
    def test_ends_that_several_processes_saw_add_up(self):
        story, peer = Story(), Story()
        story.end(BAD)
        peer.clock.at_s += 1.0
        peer.end(BAD)
        peer.clock.at_s += 1.0
        peer.table.record_target_death((BAD,), "i-9", peer.clock.at_s)
        story.clock.at_s = peer.clock.at_s
        assert story.table.merge_news([peer.table.news_of(BAD.key)]) == [BAD.key]
        assert not story.table.merge_news([peer.table.news_of(BAD.key)])
        assert len(story.table.get(BAD.key).counted_deaths) == 2

    def test_survival_elsewhere_clears(self):
        story, peer = (story_of(*[(FIRST,)] * 3) for _ in range(2))
        peer.table.record_survival((FIRST,), peer.clock.at_s)
        story.table.merge_news([peer.table.news_of(FIRST.key)])
        assert not story.blocks(FIRST)

    @given(
        st.lists(
            st.builds(
                PartNews,
                NUMBERS,
                st.lists(st.tuples(NUMBERS, NUMBERS), max_size=12).map(tuple),
                NUMBERS,
                NUMBERS,
                NUMBERS,
            ),
            max_size=6,
        )
    )
    def test_numbers_of_any_size_leave_a_table_that_works(self, news):
        story = Story(max_parts=4)
        story.table.merge_news(news)
        story.settle()
        parts = tuple(SharedPart("", one.key) for one in news)
        story.table.blocking_parts(parts)
        story.clock.at_s += SUSPECT_RETENTION_S / 2
        story.table.begin_trial(parts, 4)
        for part in parts:
            assert story.table.get(part.key).trials <= MAX_TRIALS
        assert len(story.table) <= 4

    def test_most_suspected_comes_first(self):
        story = story_of((OTHER,), (BAD,), (BAD, OTHER), (BAD,))
        assert story.table.most_suspected(1) == [BAD.key]


class TestBounds:
    def test_entries_expire(self):
        story = story_of(*[(BAD,)] * 3)
        story.clock.at_s += SUSPECT_RETENTION_S + 1
        assert not story.blocks(BAD) and not len(story.table)

    @pytest.mark.parametrize("max_parts", (1, 7))
    def test_oldest_is_evicted(self, max_parts):
        story = Story(max_parts=max_parts)
        for number in range(50):
            story.end(SharedPart(str(number), number))
        assert len(story.table) == max_parts
