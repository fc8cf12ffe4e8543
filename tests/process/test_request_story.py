"""Tests which events an entry logs for a request that needed several attempts or a new link."""

import anyio

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.tasks.process_request import process_request
from guavawalk.process.sidecar.admission import start_leaving
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from guavawalk.tools.standins.memory_targets import MemoryCaller
from tests.connection.tasks.test_admin import RecordingLog
from tests.virtual import run_virtually


class TestStory:
    def test_each_target_that_did_not_run_it_is_logged(self):
        log = RecordingLog()

        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                for target in ("engine-1", "engine-3"):
                    start_leaving(fleet.sidecar(target))
                work = fleet.work("harbour", "onsite", "which glaze?", model="quill")
                entry = fleet.entry("victoria")._replace(log=log)
                return work, await process_request(entry, work, MemoryCaller())

        work, outcome = run_virtually(scenario)
        assert outcome.code is ResultCode.COMPLETED
        not_run = [fields for event, fields in log.emitted if event is events.OFFER_NOT_RUN]
        assert len(not_run) == outcome.attempts - 1 > 0
        assert {fields["code"] for fields in not_run} == {ResultCode.TARGET_LEAVING}
        assert {fields["trace_id"] for _, fields in log.emitted} == {work.trace_id}

    def test_broken_link_is_logged(self):
        log = RecordingLog()

        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                work = fleet.work("harbour", "onsite", "which glaze?", model="quill")
                entry = fleet.entry("victoria")._replace(log=log)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(process_request, entry, work, MemoryCaller())
                    await anyio.sleep(0.05)
                    fleet.fabric.break_links("entry-victoria")

        run_virtually(scenario)
        assert [event for event, _ in log.emitted] == [
            events.OFFER_LINK_BROKEN,
            events.REQUEST_ENDED,
        ]
        assert log.emitted[1][1]["code"] == ResultCode.COMPLETED
