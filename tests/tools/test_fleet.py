"""Requests and failures in a deployment in memory, in virtual time."""

import anyio

from guavawalk.codes import ResultCode
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from tests.virtual import run_virtually

EXPECTED = "".join(f"w{i} " for i in range(16)).encode()


class TestServing:
    def test_answer_is_complete(self):
        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                work = fleet.work("harbour", "onsite", "which glaze?", model="quill")
                return await fleet.send("victoria", work)

        caller = run_virtually(scenario)
        assert caller.outcome.code is ResultCode.COMPLETED
        assert bytes(caller.data) == EXPECTED

    def test_answer_is_complete_after_a_broken_link(self):
        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                work = fleet.work("harbour", "onsite", "which glaze?", model="quill")
                callers = []

                async def send():
                    callers.append(await fleet.send("victoria", work))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.05)
                    fleet.fabric.break_links("entry-victoria")
                runs = [run for engine in fleet.engines.values() for run in engine.runs]
                return callers[0], len(runs)

        caller, runs = run_virtually(scenario)
        assert caller.outcome.code is ResultCode.COMPLETED
        assert bytes(caller.data) == EXPECTED
        assert runs == 1

    def test_killed_sidecar_leaves_the_outcome_unknown(self):
        async def scenario():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                work = fleet.work("council", "onsite", "job-1", service="booking")
                fleet.services["booking"].work_time_s = 1.0
                callers = []

                async def send():
                    callers.append(await fleet.send("victoria", work))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    for target in [t for t in fleet.plan.targets if t.service]:
                        fleet.kill(f"sidecar-{target.name}")
                        await fleet.start_sidecar(target)
                return callers[0], fleet.services["booking"].run_counts["job-1"]

        caller, ran = run_virtually(scenario)
        assert caller.outcome.code is ResultCode.INCARNATION_GONE
        assert ran == 1
