"""Values that must not be taken, and a process that slept."""

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
    holders = [(p.sidecar or p.entry).active for p in fleet.processes.values()]
    return {holder.stamp for holder in holders}


class TestConflict:
    def test_same_number_with_another_digest_is_not_taken(self):
        async def story():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                await anyio.sleep(5)
                before = versions(fleet)
                twin = render_documents(fleet.version, other_parts(fleet))
                fleet.books.publish(published_values(twin))
                await anyio.sleep(30)
                return before, versions(fleet)

        before, after = run_virtually(story)
        assert before == after
        assert len(after) == 1


class TestOneHolder:
    def test_a_version_that_one_node_has_reaches_all_with_the_service_down(self):
        async def story(holder):
            async with run_fleet(kestrel_lane_plan()) as fleet:
                fleet.list_instances()
                await anyio.sleep(70)
                fleet.books.down = True
                process = fleet.processes[holder]
                found = render_documents(2, other_parts(fleet))
                (process.sidecar or process.entry).active.activate(found)
                await anyio.sleep(5)
                return {stamp.version for stamp in versions(fleet)}

        nodes = [f"sidecar-{target.name}" for target in kestrel_lane_plan().targets]
        assert [run_virtually(story, node) for node in nodes] == [{2}] * len(nodes)


class TestTruncatedValues:
    @pytest.mark.parametrize("what", ["root", "shard"])
    def test_the_old_version_stays_until_the_value_is_whole(self, what):
        async def story():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                await anyio.sleep(5)
                whole = published_values(render_documents(2, other_parts(fleet)))
                fresh = next(key for key in whole if key not in fleet.books.values)
                cut = ROOT_KEY if what == "root" else fresh
                fleet.books.publish({**whole, cut: whole[cut][:-9]})
                await anyio.sleep(30)
                before = {stamp.version for stamp in versions(fleet)}
                fleet.books.publish(whole)
                await anyio.sleep(16)
                return before, {stamp.version for stamp in versions(fleet)}

        assert run_virtually(story) == ({1}, {2})


class TestPauses:
    def test_a_late_tick_is_noticed_before_anything_is_done(self):
        async def story():
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

        seen, logged = run_virtually(story)
        assert seen == [True, False, False, True]
        assert logged == [events.PROCESS_WAS_PAUSED]
