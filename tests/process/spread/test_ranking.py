"""Who watches, who learns from whom, and how fast each may read."""

from random import Random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection.messages import Hello
from guavawalk.connection.platform import Instance
from guavawalk.process.clock import create_clock
from guavawalk.process.spread.pace import SERVICE_READS_PER_S, create_read_pace
from guavawalk.process.spread.ranking import WATCHERS, Node, local_feeds, rank_nodes
from guavawalk.process.spread.roster import create_roster
from tests.virtual import run_virtually


def instances(count, centres=3):
    return [
        Instance(f"node-{i}", "sidecar", f"10.0.{i // 250}.{i % 250}:7", f"centre-{i % centres}")
        for i in range(count)
    ]


def roster_of(row, rows):
    roster = create_roster(
        row.name, Node(row.address, row.data_centre, row.role), (), create_clock()
    )
    roster.learn_instances(rows)
    return roster


class TestFeeds:
    @given(st.integers(1, 400))
    def test_lead_to_watchers_without_circles(self, count):
        ranked = rank_nodes(f"10.0.0.{i}:7" for i in range(count))
        for position in range(WATCHERS, count):
            feeds = local_feeds(ranked, position)
            assert len(set(feeds)) == 2
            assert all(ranked.index(feed) < position for feed in feeds)

    def test_children_are_bounded(self):
        ranked = rank_nodes(f"10.0.0.{i}:7" for i in range(400))
        feeds = [feed for i in range(WATCHERS, 400) for feed in local_feeds(ranked, i)]
        assert max(map(feeds.count, ranked)) <= 12


class TestRoster:
    def run(self, story):
        async def whole():
            return await story()

        return run_virtually(whole)

    def test_every_data_centre_has_its_watchers(self):
        async def story():
            rows = instances(60)
            return [roster_of(row, rows).watch_burden() for row in rows]

        assert self.run(story).count(0) == 3 * WATCHERS

    def test_nodes_stand_in_for_dead_watchers_and_step_back(self):
        async def story():
            rows = instances(20, centres=1)
            ranked = rank_nodes(row.address for row in rows)
            fourth = next(row for row in rows if row.address == ranked[WATCHERS])
            roster = roster_of(fourth, rows)
            before = roster.watch_burden()
            for address in ranked[:WATCHERS]:
                roster.note_unreached(address)
            during = roster.watch_burden()
            for address in ranked[:WATCHERS]:
                roster.note_reached(address, Hello())
            return before, during, roster.watch_burden()

        assert self.run(story) == (None, WATCHERS, None)

    def test_entries_that_cannot_be_reached_do_not_count(self):
        async def story():
            rows = [Instance(f"e{i}", "entry", f"10.0.0.{i}:7", "a", i == 0) for i in range(4)]
            roster = roster_of(rows[1], rows)
            counts = [roster.live_entries()]
            roster.note_unreached(rows[2].address)
            return [*counts, roster.live_entries()]

        assert self.run(story) == [3, 2]

    def test_another_incarnation_is_noticed(self):
        async def story():
            rows = instances(2)
            roster = roster_of(rows[0], rows)
            return [roster.note_reached("x", Hello(incarnation=i)) for i in (7, 7, 8)]

        assert self.run(story) == [False, False, True]


class TestReadPace:
    @pytest.mark.parametrize("cut_off", [False, True])
    def test_all_nodes_together_stay_in_the_budget(self, cut_off):
        async def story():
            rows = instances(2_430, centres=15)
            total = 0.0
            for row in rows[::27]:
                roster = roster_of(row, rows)
                if cut_off:
                    for other in rows:
                        roster.note_unreached(other.address)
                if roster.watch_burden() is not None:
                    pace = create_read_pace(roster, create_clock(), Random(1))
                    total += pace.reads_per_s
            return total * 27

        assert run_virtually(story) <= SERVICE_READS_PER_S

    def test_a_burst_is_spread(self):
        async def story():
            rows = instances(2_430, centres=15)
            pace = create_read_pace(roster_of(rows[0], rows), create_clock(), Random(1))
            for _ in range(40):
                await pace.wait_turn()
            return anyio.current_time()

        assert run_virtually(story) > 1.0
