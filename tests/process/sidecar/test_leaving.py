"""A target that leaves: no new work, no stream cut, every end sent to an entry."""

import anyio
import pytest

from guavawalk.codes import ResultCode
from guavawalk.process.sidecar_daemon import drain_sidecar
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.tools.standins.memory_targets import MemoryCaller
from tests.virtual import run_virtually

# Time after which entries must send no new work to a leaving target.
NO_NEW_WORK_S = 2.0


def run_story(story):
    async def run():
        async with run_fleet(kestrel_lane_plan()) as fleet:
            fleet.publish_instances()
            await anyio.sleep(1)
            async with anyio.create_task_group() as tasks:
                found = await story(fleet, tasks)
                tasks.cancel_scope.cancel()
            return found

    return run_virtually(run)


def start_callers(fleet, tasks, count, tokens):
    callers = [MemoryCaller() for _ in range(count)]
    for caller in callers:
        work = fleet.work("harbour", "onsite", "x", output_tokens=tokens, model="quill")
        tasks.start_soon(fleet.send, "victoria", work._replace(deadline_s=10_000), caller)
    return callers


def complete_answer(tokens):
    return ResultCode.COMPLETED, "".join(f"w{i} " for i in range(tokens)).encode()


def answers(callers):
    return {(caller.outcome.code, bytes(caller.data)) for caller in callers}


def busiest(fleet):
    return max(fleet.engines, key=lambda name: len(fleet.sidecar(name).attempts.live))


async def leave_by_signal(fleet, tasks, leaver):
    tasks.start_soon(drain_sidecar, fleet.sidecar(leaver))


async def leave_by_list(fleet, tasks, leaver):
    for row in fleet.platform.instances:
        row["leaving"] = row["name"] == f"sidecar-{leaver}"
    await anyio.sleep(100)


async def leave_by_configuration(fleet, tasks, leaver):
    parts = plan_parts(fleet.plan, fleet.addresses())
    targets = [t._replace(leaving=t.name == leaver) for t in parts["targets"]]
    fleet.publish({**parts, "targets": targets})
    await anyio.sleep(5)


class TestLeaving:
    @pytest.mark.parametrize("leave", [leave_by_signal, leave_by_list, leave_by_configuration])
    def test_no_new_work_and_no_stream_cut(self, leave):
        async def story(fleet, tasks):
            callers = start_callers(fleet, tasks, 40, 150)
            await anyio.sleep(0.3)
            leaver = busiest(fleet)
            await leave(fleet, tasks, leaver)
            await anyio.sleep(NO_NEW_WORK_S)
            before = len(fleet.engines[leaver].runs)
            waiting = len(fleet.sidecar(leaver).queue)
            callers += start_callers(fleet, tasks, 10, 20)
            await anyio.sleep(200)
            sent = len(fleet.engines[leaver].runs) - before
            return callers, before, waiting, sent

        callers, before, waiting, sent = run_story(story)
        assert before > 0
        assert (waiting, sent) == (0, 0)
        assert answers(callers[:40]) == {complete_answer(150)}
        assert answers(callers[40:]) == {complete_answer(20)}

    def test_work_is_admitted_again_after_a_notice_is_withdrawn(self):
        async def story(fleet, tasks):
            leaver = busiest(fleet)
            await leave_by_configuration(fleet, tasks, leaver)
            during = fleet.sidecar(leaver).attempts.leaving
            fleet.publish()
            await anyio.sleep(5)
            return during, fleet.sidecar(leaver).attempts.leaving

        assert run_story(story) == (True, False)


class TestDrain:
    def test_waits_for_the_end_to_be_sent_after_a_broken_link(self):
        async def story(fleet, tasks):
            callers = start_callers(fleet, tasks, 20, 100)
            await anyio.sleep(0.3)
            leaver = busiest(fleet)
            node = f"sidecar-{leaver}"
            fleet.fabric.break_links(node)
            fleet.fabric.cut("entry-victoria", node)
            drained = []

            async def drain():
                await drain_sidecar(fleet.sidecar(leaver))
                drained.append(anyio.current_time())
                fleet.kill(node)

            tasks.start_soon(drain)
            leave_tracker = fleet.sidecar(leaver).attempts.leave_tracker
            await anyio.sleep(6)
            seen = (bool(drained), leave_tracker.unreported > 0)
            fleet.fabric.heal()
            await anyio.sleep(60)
            return callers, seen, drained

        callers, seen, drained = run_story(story)
        assert seen == (False, True)
        assert drained
        assert answers(callers) == {complete_answer(100)}

    def test_is_bounded_when_nobody_asks(self):
        async def story(fleet, tasks):
            start_callers(fleet, tasks, 20, 100)
            await anyio.sleep(0.3)
            leaver = busiest(fleet)
            node = f"sidecar-{leaver}"
            fleet.fabric.cut("entry-victoria", node)
            fleet.fabric.break_links(node)
            leave_tracker = fleet.sidecar(leaver).attempts.leave_tracker
            with anyio.fail_after(300):
                await drain_sidecar(fleet.sidecar(leaver))
            return leave_tracker.unreported

        assert run_story(story) > 0
