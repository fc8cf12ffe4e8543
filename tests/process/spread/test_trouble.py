"""Versions that must not be activated, versions that only one node has, and paused processes."""

import anyio
import pytest

from guavawalk import events
from guavawalk.process.clock import create_clock
from guavawalk.process.pauses import create_pause_monitor, watch_pauses
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.version.documents import ROOT_KEY
from guavawalk.version.publish import published_values, render_documents
from guavawalk.version.types import Model
from tests.virtual import run_virtually


class RecordingLog:
    def __init__(self):
        self.events = []

    def emit(self, event, **fields):
        self.events.append(event)


def other_parts(fleet):
    parts = plan_parts(fleet.plan, fleet.addresses())
    return {**parts, "models": [*parts["models"], Model("brush")]}


def versions(fleet):
    actives = [(p.sidecar or p.entry).active for p in fleet.processes.values()]
    return {active.stamp for active in actives}


class TestConflict:
    def test_same_number_with_another_digest_is_not_activated(self):
        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                await anyio.sleep(5)
                before = versions(fleet)
                conflicting = render_documents(fleet.version, other_parts(fleet))
                fleet.platform.publish(published_values(conflicting))
                await anyio.sleep(30)
                return before, versions(fleet)

        before, after = run_virtually(scenario)
        assert before == after
        assert len(after) == 1


class TestVersionAtOneNode:
    def test_reaches_all_nodes_while_the_service_is_down(self):
        async def scenario(node):
            async with run_fleet(kestrel_lane_plan()) as fleet:
                fleet.publish_instances()
                await anyio.sleep(70)
                fleet.platform.down = True
                process = fleet.processes[node]
                found = render_documents(2, other_parts(fleet))
                (process.sidecar or process.entry).active.activate(found)
                await anyio.sleep(5)
                return {stamp.version for stamp in versions(fleet)}

        nodes = [f"sidecar-{target.name}" for target in kestrel_lane_plan().targets]
        assert [run_virtually(scenario, node) for node in nodes] == [{2}] * len(nodes)


class TestTruncatedValues:
    @pytest.mark.parametrize("what", ["root", "shard"])
    def test_old_version_stays_until_the_values_are_complete(self, what):
        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                await anyio.sleep(5)
                complete = published_values(render_documents(2, other_parts(fleet)))
                new_key = next(key for key in complete if key not in fleet.platform.values)
                truncated_key = ROOT_KEY if what == "root" else new_key
                fleet.platform.publish({**complete, truncated_key: complete[truncated_key][:-9]})
                await anyio.sleep(30)
                before = {stamp.version for stamp in versions(fleet)}
                fleet.platform.publish(complete)
                await anyio.sleep(16)
                return before, {stamp.version for stamp in versions(fleet)}

        assert run_virtually(scenario) == ({1}, {2})


class TestPauses:
    def test_late_tick_is_detected_before_the_records_are_used(self):
        async def scenario():
            monitor = create_pause_monitor(create_clock())
            log = RecordingLog()
            seen = []

            async def sleep(delay_s):
                await anyio.sleep(60 if anyio.current_time() > start_s + 5 else delay_s)

            async def revalidate():
                seen.append(monitor.is_fresh())

            start_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_pauses, monitor, revalidate, log, sleep)
                await anyio.sleep(4)
                seen.append(monitor.is_fresh())
                await anyio.sleep(30)
                seen.append(monitor.is_fresh())
                await monitor.wait_fresh()
                seen.append(monitor.is_fresh())
                tasks.cancel_scope.cancel()
            return seen, log.events

        seen, logged = run_virtually(scenario)
        assert seen == [True, False, False, True]
        assert logged == [events.PROCESS_WAS_PAUSED]
