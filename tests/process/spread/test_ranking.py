"""Selection of watchers and upstreams, and the read rate of each node."""

from random import Random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection.messages import Hello
from guavawalk.connection.platform import Instance
from guavawalk.process.clock import create_clock
from guavawalk.process.spread.node_table import create_node_table
from guavawalk.process.spread.ranking import WATCHERS, Node, local_upstreams, rank_nodes
from guavawalk.process.spread.read_rate_limiter import SERVICE_READS_PER_S, create_read_rate_limiter
from tests.virtual import run_virtually


def instances(count, data_centres=3):
    return [
        Instance(
            f"node-{i}", "sidecar", f"10.0.{i // 250}.{i % 250}:7", f"centre-{i % data_centres}"
        )
        for i in range(count)
    ]


def node_table_of(row, rows):
    node_table = create_node_table(
        row.name, Node(row.address, row.data_centre, row.role), (), create_clock()
    )
    node_table.update_from_instances(rows)
    return node_table


class TestUpstreams:
    @given(st.integers(1, 400))
    def test_lead_to_watchers_without_cycles(self, count):
        ranked = rank_nodes(f"10.0.0.{i}:7" for i in range(count))
        for position in range(WATCHERS, count):
            upstreams = local_upstreams(ranked, position)
            assert len(set(upstreams)) == 2
            assert all(ranked.index(upstream) < position for upstream in upstreams)

    def test_downstreams_of_a_node_are_bounded(self):
        ranked = rank_nodes(f"10.0.0.{i}:7" for i in range(400))
        upstreams = [
            upstream for i in range(WATCHERS, 400) for upstream in local_upstreams(ranked, i)
        ]
        assert max(map(upstreams.count, ranked)) <= 12


class TestNodeTable:
    def run(self, scenario):
        async def run_scenario():
            return await scenario()

        return run_virtually(run_scenario)

    def test_every_data_centre_has_its_watchers(self):
        async def scenario():
            rows = instances(60)
            return [node_table_of(row, rows).covered_node_count() for row in rows]

        assert self.run(scenario).count(0) == 3 * WATCHERS

    def test_nodes_stand_in_for_unreachable_watchers_until_they_return(self):
        async def scenario():
            rows = instances(20, data_centres=1)
            ranked = rank_nodes(row.address for row in rows)
            fourth = next(row for row in rows if row.address == ranked[WATCHERS])
            node_table = node_table_of(fourth, rows)
            before = node_table.covered_node_count()
            for address in ranked[:WATCHERS]:
                node_table.record_unreachable(address)
            during = node_table.covered_node_count()
            for address in ranked[:WATCHERS]:
                node_table.record_reachable(address, Hello())
            return before, during, node_table.covered_node_count()

        assert self.run(scenario) == (None, WATCHERS, None)

    def test_unreachable_entries_are_not_counted(self):
        async def scenario():
            rows = [Instance(f"e{i}", "entry", f"10.0.0.{i}:7", "a", i == 0) for i in range(4)]
            node_table = node_table_of(rows[1], rows)
            counts = [node_table.live_entry_count()]
            node_table.record_unreachable(rows[2].address)
            return [*counts, node_table.live_entry_count()]

        assert self.run(scenario) == [3, 2]

    def test_new_incarnation_is_reported(self):
        async def scenario():
            rows = instances(2)
            node_table = node_table_of(rows[0], rows)
            return [node_table.record_reachable("x", Hello(incarnation=i)) for i in (7, 7, 8)]

        assert self.run(scenario) == [False, False, True]


class TestReadRateLimiter:
    @pytest.mark.parametrize("cut_off", [False, True])
    def test_all_nodes_together_stay_in_the_budget(self, cut_off):
        async def scenario():
            rows = instances(2_430, data_centres=15)
            total = 0.0
            for row in rows[::27]:
                node_table = node_table_of(row, rows)
                if cut_off:
                    for other in rows:
                        node_table.record_unreachable(other.address)
                if node_table.covered_node_count() is not None:
                    limiter = create_read_rate_limiter(node_table, create_clock(), Random(1))
                    total += limiter.reads_per_s
            return total * 27

        assert run_virtually(scenario) <= SERVICE_READS_PER_S

    def test_reads_beyond_the_burst_are_delayed(self):
        async def scenario():
            rows = instances(2_430, data_centres=15)
            limiter = create_read_rate_limiter(
                node_table_of(rows[0], rows), create_clock(), Random(1)
            )
            for _ in range(40):
                await limiter.wait_turn()
            return anyio.current_time()

        assert run_virtually(scenario) > 1.0
