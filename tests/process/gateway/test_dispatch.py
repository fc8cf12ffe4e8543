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
LESS_URGENT = make_route(RouteKind.STREAM, "model", timeout_s=15.0, latency_goal_s=0.5, rank=1)


class Gateways:
    """Stand-in for the table of gateways that share the targets."""

    number = 1
    local_number = 1

    def count(self):
        return self.number

    def local_count(self):
        return self.local_number


class DispatchFixture:
    """A dispatcher with targets of two slots, which are sent one more call each."""

    max_calls = 3

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
        return [await self.dispatcher.reserve(self.call(), ()) for _ in range(self.max_calls)]

    async def run_call(self, name, call, is_resumed=False):
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
    def test_no_target_raises(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.remove("i-1", 0.0, has_lapsed=False)
            await fixture.dispatcher.reserve(fixture.call(), ())

        with pytest.raises(RequestError) as caught:
            run_virtually(scenario)
        assert caught.value.code is ResultCode.NO_TARGET

    def test_sends_no_more_than_a_target_can_start(self):
        async def scenario():
            fixture = DispatchFixture()
            await fixture.fill()
            assert fixture.targets.get("i-1").running == fixture.max_calls
            await fixture.dispatcher.reserve(fixture.call(), ())

        with pytest.raises(RequestError) as caught:
            run_virtually(scenario)
        assert caught.value.code is ResultCode.QUEUE_FULL
        assert caught.value.retry_after_ms > 0

    def test_freed_slot_goes_to_the_most_urgent_call(self):
        async def scenario():
            fixture = DispatchFixture()
            reservations = await fixture.fill()
            async with anyio.create_task_group() as tasks:
                for name, call in (
                    ("second", fixture.call(LESS_URGENT)),
                    ("first", fixture.call(STREAM)),
                    ("last", fixture.call(STREAM, rank=1)),
                ):
                    tasks.start_soon(fixture.run_call, name, call)
                await anyio.sleep(0.01)
                fixture.dispatcher.release(reservations[0])
            return fixture.order

        assert run_virtually(scenario) == ["first", "second", "last"]

    def test_calls_that_can_be_on_time_go_before_late_ones(self):
        async def scenario():
            fixture = DispatchFixture()
            reservations = await fixture.fill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.run_call, "late", fixture.call(STREAM))
                await anyio.sleep(0.9)
                tasks.start_soon(fixture.run_call, "new", fixture.call(LESS_URGENT))
                await anyio.sleep(0.01)
                fixture.dispatcher.release(reservations[0])
            return fixture.order

        assert run_virtually(scenario) == ["new", "late"]

    def test_resumed_stream_is_not_refused_for_the_age_of_its_call(self):
        async def scenario():
            fixture = DispatchFixture()
            call = fixture.call()
            await anyio.sleep(8.0)
            taken = await fixture.fill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.run_call, "resumed", call, True)
                await anyio.sleep(0.5)
                fixture.dispatcher.release(taken[0])
            return fixture.order

        assert run_virtually(scenario) == ["resumed"]

    def test_resumed_streams_wait_together_while_nothing_leaves_the_queue(self):
        async def scenario():
            fixture = DispatchFixture()
            calls = [fixture.call() for _ in range(3)]
            taken = await fixture.fill()
            await anyio.sleep(3.0)
            async with anyio.create_task_group() as tasks:
                for call in calls:
                    tasks.start_soon(fixture.run_call, "resumed", call, True)
                await anyio.sleep(0.5)
                for reservation in taken:
                    fixture.dispatcher.release(reservation)
            return fixture.order

        assert run_virtually(scenario) == ["resumed"] * 3

    def test_resumed_stream_waits_for_a_target_to_register(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.remove("i-1", 0.0, has_lapsed=False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.run_call, "resumed", fixture.call(), True)
                await anyio.sleep(0.3)
                fixture.targets.put(make_registration("i-2", "model"))
                fixture.dispatcher.dispatch_all()
            return fixture.order

        assert run_virtually(scenario) == ["resumed"]

    def test_resumed_stream_is_refused_at_its_deadline(self):
        async def scenario():
            fixture = DispatchFixture()
            call = fixture.call()
            await anyio.sleep(14.5)
            await fixture.fill()
            await fixture.run_call("resumed", call, True)
            return fixture.order, anyio.current_time()

        order, now_s = run_virtually(scenario)
        assert order == [("resumed", ResultCode.QUEUE_FULL)]
        assert now_s == pytest.approx(15.0, abs=0.05)

    def test_resumed_stream_goes_first(self):
        async def scenario():
            fixture = DispatchFixture()
            reservations = await fixture.fill()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.run_call, "other", fixture.call(STREAM))
                tasks.start_soon(fixture.run_call, "resumed", fixture.call(LESS_URGENT), True)
                await anyio.sleep(0.01)
                fixture.dispatcher.release(reservations[0])
            return fixture.order

        assert run_virtually(scenario) == ["resumed", "other"]

    def test_wait_ends_before_half_of_the_timeout(self):
        async def scenario():
            fixture = DispatchFixture()
            await fixture.fill()
            await fixture.run_call("one", fixture.call())
            return fixture.order, anyio.current_time()

        order, now_s = run_virtually(scenario)
        assert order == [("one", ResultCode.QUEUE_FULL)]
        assert now_s < STREAM.timeout_s / 2

    def test_cancelled_waiter_frees_its_reserved_slot(self):
        async def scenario():
            fixture = DispatchFixture()
            reservations = await fixture.fill()
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as scope:
                    tasks.start_soon(fixture.run_call, "other", fixture.call(LESS_URGENT))
                    async with anyio.create_task_group() as cancelled:
                        cancelled.start_soon(fixture.run_call, "cancelled", fixture.call())
                        await anyio.sleep(0.01)
                        fixture.dispatcher.release(reservations[0])
                        scope.cancel()
                        await anyio.sleep(0)
            return fixture

        fixture = run_virtually(scenario)
        assert fixture.targets.get("i-1").running == fixture.max_calls - 1

    def test_tried_targets_are_excluded(self):
        async def scenario():
            fixture = DispatchFixture("i-1", "i-2")
            reservation = await fixture.dispatcher.reserve(fixture.call(), ["i-1"])
            return reservation.choice.target_id

        assert run_virtually(scenario) == "i-2"

    def test_a_paused_target_gets_no_call_until_its_pause_ends(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.get("i-1").record_connect_failure(anyio.current_time())
            reservations = [fixture.dispatcher.try_reserve(fixture.call(), ())]
            await anyio.sleep(0.2)
            return [*reservations, fixture.dispatcher.try_reserve(fixture.call(), ())]

        before, after = run_virtually(scenario)
        assert before is None
        assert after.choice.target_id == "i-1"

    def test_a_call_waits_for_a_paused_target(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.get("i-1").record_connect_failure(anyio.current_time())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.run_call, "waits", fixture.call())
                await anyio.sleep(0.2)
                fixture.dispatcher.dispatch_all()
            return fixture.order

        assert run_virtually(scenario) == ["waits"]

    def test_a_long_answer_waits_for_a_target_where_it_can_end(self):
        async def scenario():
            fixture = DispatchFixture("slow", "fast")
            fixture.gateways.number = 9
            fixture.targets.get("slow").slowness.value = 10.0
            fixture.targets.get("fast").peer_running = 3
            long = fixture.call(hinted_output_tokens=2_000)
            short = fixture.call(hinted_output_tokens=10)
            return [fixture.dispatcher.try_reserve(call, ()) for call in (long, short)]

        long, short = run_virtually(scenario)
        assert long is None
        assert short.choice.target_id == "slow"

    def test_a_long_answer_is_sent_to_a_slow_target_if_there_is_no_other(self):
        async def scenario():
            fixture = DispatchFixture("slow")
            fixture.targets.get("slow").slowness.value = 10.0
            return fixture.dispatcher.try_reserve(fixture.call(hinted_output_tokens=2_000), ())

        assert run_virtually(scenario) is not None

    def test_slots_in_another_data_centre_are_left_free_where_many_gateways_choose(self):
        async def reserve(local_number):
            fixture = DispatchFixture()
            fixture.gateways.number, fixture.gateways.local_number = 40, local_number
            far = make_registration("i-1", "model", slots=10, data_centre="b")
            fixture.targets.put(far)
            fixture.targets.get("i-1").peer_running = 6
            return fixture.dispatcher.try_reserve(fixture.call(), ())

        assert run_virtually(reserve, 40) is not None
        assert run_virtually(reserve, 6) is None

    def test_late_calls_leave_slots_to_those_on_time(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.gateways.number = 20
            fixture.targets.put(make_registration("i-1", "model", slots=10))
            fixture.targets.get("i-1").peer_running = 8
            late = fixture.call()._replace(arrived_s=anyio.current_time() - 1.0)
            with anyio.move_on_after(0.5):
                await fixture.run_call("late", late)
            await fixture.run_call("timely", fixture.call())
            return fixture.order

        assert run_virtually(scenario) == ["timely"]

    def test_may_use_a_fair_share_of_targets_that_others_fill(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.put(make_registration("i-1", "model", slots=10))
            fixture.targets.get("i-1").peer_running = 50
            fixture.gateways.number = 4
            return [await fixture.dispatcher.reserve(fixture.call(), ()) for _ in range(2)]

        assert len(run_virtually(scenario)) == 2


class TestCutOffRisk:
    @pytest.mark.parametrize(
        ("hinted_output_tokens", "left_s", "expected"),
        [(0, 1.0, 0.0), (40, 5.0, 0.0), (40_000, 5.0, 1.0), (40_000, 60.0, 0.0)],
    )
    def test_follows_the_hinted_length_and_the_time_left(
        self, hinted_output_tokens, left_s, expected
    ):
        async def scenario():
            fixture = DispatchFixture()
            call = fixture.call(hinted_output_tokens=hinted_output_tokens)
            return fixture.dispatcher.cut_off_risk(call, anyio.current_time() + left_s)

        assert run_virtually(scenario) == expected

    def test_is_none_without_targets(self):
        async def scenario():
            fixture = DispatchFixture()
            fixture.targets.remove("i-1", 0.0, has_lapsed=False)
            call = fixture.call(hinted_output_tokens=40_000)
            return fixture.dispatcher.cut_off_risk(call, anyio.current_time() + 1.0)

        assert run_virtually(scenario) == 0.0
