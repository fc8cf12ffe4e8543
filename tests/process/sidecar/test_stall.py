"""A target that stops sending after dispatch."""

import anyio

from guavawalk.codes import ResultCode
from guavawalk.process.sidecar.stall import STALL_LIMIT_S
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from tests.virtual import run_virtually


class TestSilentTarget:
    def test_attempt_is_cancelled_after_at_most_two_limits(self):
        async def story():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                work = fleet.work("harbour", "plan", "plan", 400, "quill", deadline_ms=60_000)
                callers = []

                async def send():
                    callers.append(await fleet.send("victoria", work))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    for engine in fleet.engines.values():
                        engine.faults.paused = True
                    started_s = anyio.current_time()
                return callers[0].outcome, anyio.current_time() - started_s

        outcome, waited_s = run_virtually(story)
        assert outcome.code is ResultCode.TARGET_CRASHED
        assert waited_s <= 2 * STALL_LIMIT_S + 10

    def test_slow_engine_is_left_alone(self):
        async def story():
            async with run_fleet(kestrel_lane_plan()) as fleet:
                for engine in fleet.engines.values():
                    engine.faults.slow_factor = 20_000.0
                work = fleet.work("harbour", "plan", "plan", 30, "quill", deadline_ms=60_000)
                return (await fleet.send("victoria", work)).outcome

        assert run_virtually(story).code is ResultCode.COMPLETED
