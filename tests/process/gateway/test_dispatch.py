import anyio
import pytest

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.clock import create_clock
from guavawalk.process.gateway.dispatch import create_dispatcher
from guavawalk.process.gateway.targets import create_target_table
from guavawalk.version.routes import RouteKind
from tests.gateway_calls import make_call, make_registration, make_route
from tests.virtual import run_virtually

STREAM = make_route(RouteKind.STREAM, "model", timeout_s=15.0, latency_goal_s=0.8)
QUICK = make_route(RouteKind.STREAM, "model", timeout_s=15.0, latency_goal_s=0.5, rank=1)


class Gateways:
    """Gateways that share the targets."""

    number = 1
    lag_s = 0.0

    def count(self):
        return self.number

    def distant_report_lag_s(self):
        return self.lag_s


class Story:
    """A dispatcher with targets of two slots; a place more is given besides."""

    places = 3

    def __init__(self, *target_ids):
        self.targets = create_target_table()
        for target_id in target_ids or ("i-1",):
            self.targets.put(make_registration(target_id, "model"))
        self.gateways = Gateways()
        clock = create_clock(0.0)
        self.dispatcher = create_dispatcher(self.targets, self.gateways, "a", clock)
        self.order = []

    def call(self, route=STREAM, **fields):
        return make_call(route, arrived_s=anyio.current_time(), **fields)

    async def fill(self):
        return [await self.dispatcher.reserve(self.call(), ()) for _ in range(self.places)]

    async def place(self, name, call, is_resumed=False):
        try:
            reservation = await self.dispatcher.reserve(call, (), is_resumed)
        except RequestError as error:
            self.order.append((name, error.code))
            return
        self.order.append(name)
        try:
            await anyio.sleep(0.05)
        finally:
            self.dispatcher.release(reservation)


class TestDispatcher:
    def test_no_target(self):
        async def story():
            found = Story()
            found.targets.remove("i-1", 0.0, has_lapsed=False)
            await found.dispatcher.reserve(found.call(), ())

        with pytest.raises(RequestError) as caught:
            run_virtually(story)
        assert caught.value.code is ResultCode.NO_TARGET

    def test_no_more_than_a_target_can_begin(self):
        async def story():
            found = Story()
            await found.fill()
            assert found.targets.get("i-1").running == found.places
            await found.dispatcher.reserve(found.call(), ())

        with pytest.raises(RequestError) as caught:
            run_virtually(story)
        assert caught.value.code is ResultCode.QUEUE_FULL
        assert caught.value.retry_after_ms > 0

    def test_freed_place_goes_to_the_most_urgent(self):
        async def story():
            found = Story()
            reservations = await found.fill()
            async with anyio.create_task_group() as tasks:
                for name, call in (
                    ("second", found.call(QUICK)),
                    ("first", found.call(STREAM)),
                    ("last", found.call(STREAM, rank=1)),
                ):
                    tasks.start_soon(found.place, name, call)
                await anyio.sleep(0.01)
                found.dispatcher.release(reservations[0])
            return found.order

        assert run_virtually(story) == ["first", "second", "last"]

    def test_what_can_be_in_time_goes_before_what_is_late(self):
        async def story():
            found = Story()
            reservations = await found.fill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(found.place, "late", found.call(STREAM))
                await anyio.sleep(0.9)
                tasks.start_soon(found.place, "new", found.call(QUICK))
                await anyio.sleep(0.01)
                found.dispatcher.release(reservations[0])
            return found.order

        assert run_virtually(story) == ["new", "late"]

    def test_stream_that_goes_on_is_first(self):
        async def story():
            found = Story()
            reservations = await found.fill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(found.place, "other", found.call(STREAM))
                tasks.start_soon(found.place, "resumed", found.call(QUICK), True)
                await anyio.sleep(0.01)
                found.dispatcher.release(reservations[0])
            return found.order

        assert run_virtually(story) == ["resumed", "other"]

    def test_waits_end(self):
        async def story():
            found = Story()
            await found.fill()
            await found.place("one", found.call())
            return found.order, anyio.current_time()

        order, now_s = run_virtually(story)
        assert order == [("one", ResultCode.QUEUE_FULL)]
        assert now_s < STREAM.timeout_s / 2

    def test_cancelled_waiter_leaves_its_place_to_others(self):
        async def story():
            found = Story()
            reservations = await found.fill()
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as scope:
                    tasks.start_soon(found.place, "other", found.call(QUICK))
                    async with anyio.create_task_group() as leaving:
                        leaving.start_soon(found.place, "leaver", found.call())
                        await anyio.sleep(0.01)
                        found.dispatcher.release(reservations[0])
                        scope.cancel()
                        await anyio.sleep(0)
            return found

        found = run_virtually(story)
        assert found.targets.get("i-1").running == found.places - 1

    def test_tried_targets_are_left_out(self):
        async def story():
            found = Story("i-1", "i-2")
            reservation = await found.dispatcher.reserve(found.call(), ["i-1"])
            return reservation.choice.target_id

        assert run_virtually(story) == "i-2"

    def test_a_paused_target_gets_nothing_until_its_pause_ends(self):
        async def story():
            found = Story()
            found.targets.get("i-1").record_connect_failure(anyio.current_time())
            reservations = [found.dispatcher.try_reserve(found.call(), ())]
            await anyio.sleep(0.2)
            return [*reservations, found.dispatcher.try_reserve(found.call(), ())]

        before, after = run_virtually(story)
        assert before is None
        assert after.choice.target_id == "i-1"

    def test_a_call_waits_for_a_paused_target(self):
        async def story():
            found = Story()
            found.targets.get("i-1").record_connect_failure(anyio.current_time())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(found.place, "waits", found.call())
                await anyio.sleep(0.2)
                found.dispatcher.dispatch_all()
            return found.order

        assert run_virtually(story) == ["waits"]

    def test_a_long_answer_waits_for_a_target_where_it_can_end(self):
        async def story():
            found = Story("slow", "fast")
            found.gateways.number = 9
            found.targets.get("slow").slowness.value = 10.0
            found.targets.get("fast").peer_running = 3
            long = found.call(hinted_output_tokens=2_000)
            short = found.call(hinted_output_tokens=10)
            return [found.dispatcher.try_reserve(call, ()) for call in (long, short)]

        long, short = run_virtually(story)
        assert long is None
        assert short.choice.target_id == "slow"

    def test_a_long_answer_goes_where_it_is_likeliest_to_end(self):
        async def story():
            found = Story("slow")
            found.targets.get("slow").slowness.value = 10.0
            return found.dispatcher.try_reserve(found.call(hinted_output_tokens=2_000), ())

        assert run_virtually(story) is not None

    def test_slots_in_another_data_centre_are_left_free_while_reports_come_late(self):
        async def places(lag_s):
            found = Story()
            found.gateways.number, found.gateways.lag_s = 20, lag_s
            far = make_registration("i-1", "model", slots=10, data_centre="b")
            found.targets.put(far)
            found.targets.get("i-1").peer_running = 6
            return found.dispatcher.try_reserve(found.call(), ())

        assert run_virtually(places, 0.0) is not None
        assert run_virtually(places, 1.0) is None

    def test_calls_that_are_late_leave_slots_to_those_in_time(self):
        async def story():
            found = Story()
            found.gateways.number = 20
            found.targets.put(make_registration("i-1", "model", slots=10))
            found.targets.get("i-1").peer_running = 8
            late = found.call()._replace(arrived_s=anyio.current_time() - 1.0)
            with anyio.move_on_after(0.5):
                await found.place("late", late)
            await found.place("timely", found.call())
            return found.order

        assert run_virtually(story) == ["timely"]

    def test_fair_part_of_targets_that_others_fill(self):
        async def story():
            found = Story()
            found.targets.put(make_registration("i-1", "model", slots=10))
            found.targets.get("i-1").peer_running = 50
            found.gateways.number = 4
            return [await found.dispatcher.reserve(found.call(), ()) for _ in range(2)]

        assert len(run_virtually(story)) == 2
