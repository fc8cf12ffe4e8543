import anyio

from guavawalk.process.gateway.centres import create_centre_table
from guavawalk.process.gateway.peers import create_peer_table
from guavawalk.process.gateway.quota import create_quota_windows
from guavawalk.process.gateway.reports import PeerReport
from guavawalk.process.gateway.targets import create_target_table
from guavawalk.process.gateway.watch_duty import WATCHERS, create_watch_duty
from tests.virtual import run_virtually

ADDRESSES = [f"10.0.0.{number}:1" for number in range(1, 9)]


class Clock:
    def __init__(self):
        self.at_s = 0.0

    def now_s(self):
        return self.at_s


class Node:
    """The duty of one gateway of a data centre."""

    def __init__(self, address, clock):
        self.address, self.clock = address, clock
        targets, quotas = create_target_table(), create_quota_windows(8.0)
        centres = create_centre_table(targets, quotas)
        self.peers = create_peer_table(address, "a", (), targets, quotas, centres)
        self.duty = create_watch_duty(self.peers, clock)
        self.sequence = 0

    def report_to(self, nodes):
        self.sequence += 1
        failing = self.duty.is_failing()
        report = PeerReport(
            self.address, 1, self.sequence, data_centre="a", is_registry_failing=failing
        )
        for node in nodes:
            node.peers.apply_report(report, self.clock.now_s())


def create_nodes():
    clock = Clock()
    nodes = [Node(address, clock) for address in ADDRESSES]
    for node in nodes:
        node.report_to(nodes)
    return clock, nodes


def watchers(nodes):
    return [node for node in nodes if node.duty.is_watcher()]


class TestWatchDuty:
    def test_a_few_gateways_of_a_data_centre_watch(self):
        _, nodes = create_nodes()
        assert len(watchers(nodes)) == WATCHERS

    def test_a_gateway_that_hears_no_other_watches(self):
        assert Node(ADDRESSES[0], Clock()).duty.is_watcher()

    def test_others_watch_while_the_registry_does_not_answer_the_watchers(self):
        clock, nodes = create_nodes()
        first = watchers(nodes)
        for node in first:
            node.duty.record_failure("routes")
            node.report_to(nodes)
        second = watchers(nodes)
        assert len(second) == WATCHERS and not set(first) & set(second)
        assert second[0].duty.has_failed_since(clock.now_s() - 1.0)
        # After some time the registry may answer the first ones again.
        clock.at_s = 3.5
        for node in nodes:
            node.report_to(nodes)
        assert watchers(nodes) == first

    def test_some_go_on_trying_while_the_registry_answers_nobody(self):
        _, nodes = create_nodes()
        for node in nodes:
            node.duty.record_failure("routes")
        for node in nodes:
            node.report_to(nodes)
        assert len(watchers(nodes)) == WATCHERS

    def test_silent_watchers_are_replaced(self):
        clock, nodes = create_nodes()
        first = watchers(nodes)
        clock.at_s = 2.0
        living = [node for node in nodes if node not in first]
        for node in living:
            node.report_to(living)
        for node in living:
            node.peers.expire(clock.now_s())
        assert len(watchers(living)) == WATCHERS

    def test_success_ends_the_failure(self):
        _, nodes = create_nodes()
        node = watchers(nodes)[0]
        node.duty.record_failure("routes")
        node.duty.record_success("routes")
        assert not node.duty.is_failing()

    def test_failed_fetch_makes_a_gateway_watch_for_a_while(self):
        clock, nodes = create_nodes()
        other = next(node for node in nodes if not node.duty.is_watcher())
        other.duty.take_over()
        assert other.duty.is_watcher()
        clock.at_s = 6.0
        assert not other.duty.is_watcher()

    def test_wait_ends_when_the_duty_begins(self):
        async def scenario():
            clock, nodes = create_nodes()
            first = watchers(nodes)
            other = next(node for node in nodes if node not in first)
            with anyio.move_on_after(0.1) as scope:
                await other.duty.wait()
            assert scope.cancelled_caught
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.duty.wait)
                await anyio.sleep(0.1)
                for node in nodes:
                    if node is not other:
                        node.duty.record_failure("routes")
                        node.report_to(nodes)

        run_virtually(scenario)
