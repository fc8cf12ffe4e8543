"""Orders to engines: one at a time, with fencing numbers, never repeated after a lost answer."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.codes import ResultCode
from guavawalk.connection.target import EngineOrder, EngineState
from guavawalk.exception import TargetError
from guavawalk.process.orders.order_tracker import create_order_tracker
from guavawalk.process.orders.reconcile import next_step, weight_load_wait_s
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan, plan_parts
from guavawalk.version.types import DesiredState, Model
from tests.virtual import run_virtually

ENGINE = "engine-0"
NAMES = st.sets(st.sampled_from(["quill@1", "quill@2", "brush", "glaze"]))


def run_story(story):
    async def run():
        async with run_fleet(kestrel_lane_plan()) as fleet:
            fleet.publish_instances()
            await anyio.sleep(3)
            return await story(fleet, fleet.targets[ENGINE])

    return run_virtually(run)


def publish(fleet, models, only=ENGINE):
    parts = plan_parts(fleet.plan, fleet.addresses())
    parts["models"] = [Model("quill"), Model("brush")]
    desired = DesiredState(models=models)
    targets = parts["targets"]
    selected = [t for t in targets if t.kind == "model" and only in ("", t.name)]
    parts["targets"] = [t._replace(desired=desired) if t in selected else t for t in targets]
    fleet.publish(parts)


def orders_of(engine):
    return [(order.kind, order.name) for order in engine.orders]


class TestSteps:
    @given(NAMES, NAMES, st.sampled_from(["mixed", "decode"]))
    def test_lead_to_what_is_desired(self, wanted, present, role):
        desired = DesiredState(tuple(wanted), (), role)
        models = set(present)
        current = "mixed"
        for _ in range(12):
            step = next_step(desired, EngineState(tuple(models), (), current), frozenset())
            if step is None:
                break
            if step.kind == "set_role":
                current = step.name
            elif step.kind == "load_model":
                models.add(step.name)
            else:
                models.remove(step.name)
        assert (models, current) == (wanted, role)


class TestWeightStore:
    @given(st.integers(1, 200), st.floats(0, 1e6))
    def test_at_most_one_target_is_in_its_slot(self, count, wall_s):
        names = [f"target-{i}" for i in range(count)]
        waits = [weight_load_wait_s(name, names, wall_s, 1.0) for name in names]
        assert waits.count(0.0) <= 1
        assert max(waits) <= count

    def test_loads_are_spread_when_a_version_names_many_targets(self):
        async def story(fleet, engine):
            times = []
            for name, target in fleet.targets.items():
                if name.startswith("engine"):
                    record_order_times(target, times)
            publish(fleet, ("quill", "brush"), only="")
            await anyio.sleep(30)
            return sorted(times)

        times = run_story(story)
        assert len(times) == 5
        assert all(later - earlier >= 0.4 for earlier, later in zip(times, times[1:]))


def record_order_times(engine, times):
    order = engine.order

    async def recording(found):
        times.append(anyio.current_time())
        await order(found)

    engine.order = recording


class TestReconciling:
    def test_a_new_version_replaces_the_old_one(self):
        async def story(fleet, engine):
            publish(fleet, ("quill@2",))
            await anyio.sleep(15)
            return engine.current_state.models, orders_of(engine), [o.fence for o in engine.orders]

        models, orders, fences = run_story(story)
        assert models == ("quill@2",)
        assert orders == [("load_model", "quill@2"), ("unload_model", "quill")]
        assert fences == [(2, 1), (2, 2)]

    def test_an_order_whose_answer_is_lost_is_not_repeated(self):
        async def story(fleet, engine):
            order = engine.order

            async def lose_answer(found):
                await order(found)
                raise TargetError("no answer")

            engine.order = lose_answer
            publish(fleet, ("quill", "brush"))
            await anyio.sleep(30)
            return orders_of(engine)

        assert run_story(story) == [("load_model", "brush")]

    @pytest.mark.parametrize("checks", [True, False])
    def test_a_restarted_sidecar_goes_on_above_the_last_fence(self, checks):
        async def story(fleet, engine):
            engine.checks_fencing = checks
            publish(fleet, ("quill", "brush"))
            await anyio.sleep(10)
            fleet.kill(f"sidecar-{ENGINE}")
            engine.current_state = engine.current_state._replace(models=("quill",))
            target = next(t for t in fleet.plan.targets if t.name == ENGINE)
            await fleet.start_sidecar(target)
            await anyio.sleep(10)
            return engine.current_state.models, [order.fence for order in engine.orders]

        assert run_story(story) == (("brush", "quill"), [(2, 1), (2, 2)])

    def test_an_old_sidecar_that_wakes_up_gives_no_order(self):
        async def story(fleet, engine):
            node = f"sidecar-{ENGINE}"
            fleet.fabric.pause(node)
            publish(fleet, ("quill", "brush"))
            await anyio.sleep(5)
            other = EngineOrder("load_model", "glaze", (9, 1))
            engine.current_state = EngineState(("glaze",), (), "mixed", other.fence)
            fleet.fabric.resume(node)
            await anyio.sleep(20)
            return orders_of(engine), engine.current_state.models

        assert run_story(story) == ([], ("glaze",))

    def test_an_offer_for_a_model_not_loaded_is_refused(self):
        async def story(fleet, engine):
            publish(fleet, ("quill", "brush"), only="")
            await anyio.sleep(0.2)
            work = fleet.work("harbour", "onsite", "x", model="brush")
            return await fleet.send("victoria", work._replace(model="brush"))

        outcome = run_story(story).outcome
        assert outcome.code is ResultCode.RETRY_BUDGET
        assert outcome.detail == "last: MODEL_NOT_LOADED"


class TestOrderTracker:
    def test_an_older_version_gives_no_order(self):
        tracker = create_order_tracker()
        tracker.record_state(EngineState((), (), "mixed", (7, 3)))
        assert tracker.next_fence(6) is None
        assert tracker.next_fence(7) == (7, 4)
        assert tracker.next_fence(8) == (8, 1)
