from contextlib import suppress

import anyio

from guavawalk.connection.tasks.crash_news import send_crash_news
from guavawalk.connection.tasks.gossip import make_report, receive_reports, send_reports
from guavawalk.connection.tasks.serve_probe import serve_pages
from guavawalk.exception import RequestError
from guavawalk.process.gateway.pages import peer_pages
from guavawalk.version.list_state import ListState
from guavawalk.version.routes import Quota
from tests.gateway_calls import make_call, make_registration, make_route, make_table
from tests.gateway_standins import GatewayHarness, run_with_timeout


async def bind_both():
    """Bind one port for UDP and TCP; try another if its TCP side is used by another process."""
    for _ in range(20):
        socket = await anyio.create_udp_socket(local_host="127.0.0.1", local_port=0)
        port = socket.extra(anyio.abc.SocketAttribute.local_port)
        try:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        except OSError:
            await socket.aclose()
            continue
        return socket, listener, port
    raise AssertionError("found no port that is free for both UDP and TCP")


async def start(tasks, seeds, **settings):
    """Start a gateway that sends and receives reports; return its story."""
    socket, listener, port = await bind_both()
    address = f"127.0.0.1:{port}"
    story = GatewayHarness(peer_listen=address, peers=tuple(seeds), **settings)
    story.address = address

    async def serve(stream):
        await serve_pages(peer_pages(story.gateway), stream)

    tasks.start_soon(listener.serve, serve)
    tasks.start_soon(receive_reports, story.gateway, socket)
    tasks.start_soon(send_crash_news, story.gateway, socket)
    tasks.start_soon(send_reports, story.gateway, socket, port)
    return story


async def until(condition):
    while not condition():
        await anyio.sleep(0.02)


def with_gateways(use, count=3):
    async def run():
        async with anyio.create_task_group() as tasks:
            stories = [await start(tasks, ["127.0.0.1:9"])]
            for _ in range(count - 1):
                stories.append(await start(tasks, [stories[0].address]))
            await use(*stories)
            tasks.cancel_scope.cancel()

    run_with_timeout(run)


class TestGossip:
    def test_all_gateways_find_each_other_through_one_seed(self):
        async def use(*stories):
            await until(lambda: all(story.gateway.peers.count() == 3 for story in stories))
            assert all(story.log.named("gateway_heard") for story in stories)

        with_gateways(use)

    def test_loads_are_reported(self):
        async def use(one, two):
            for story in (one, two):
                story.gateway.targets.put(make_registration("i-1"))
            one.gateway.targets.get("i-1").begin(make_call(prompt_tokens=70), 0.0, 1.0)
            target = two.gateway.targets.get("i-1")
            await until(lambda: target.peer_running == 1)
            assert target.peer_prefill_tokens == 70

        with_gateways(use, 2)

    def test_newer_routes_are_fetched(self):
        async def use(one, two):
            table = make_table(make_route(), version=44)
            one.gateway.routes.replace(table)
            await until(lambda: two.gateway.routes.table.version == 44)
            assert two.gateway.routes.table == table

        with_gateways(use, 2)

    def test_newer_registrations_are_fetched(self):
        async def use(one, two):
            one.gateway.targets.put(make_registration("i-7"))
            one.gateway.targets.list_state = ListState(0, 9)
            await until(lambda: two.gateway.targets.get("i-7") is not None)
            assert two.gateway.targets.position == (0, 9)

        with_gateways(use, 2)

    def test_suspects_are_reported(self):
        async def use(one, two):
            one.gateway.suspects.record_target_death(5, "i-1")
            one.gateway.suspects.record_target_death(5, "i-2")
            await until(lambda: two.gateway.suspects.is_blocked(5))

        with_gateways(use, 2)

    def test_garbage_is_dropped(self):
        async def use(one, two):
            host, port = one.address.split(":")
            async with await anyio.create_udp_socket(local_host="127.0.0.1") as socket:
                await socket.sendto(b"\xff\xff garbage", host, int(port))
            await until(lambda: one.log.named("link_rejected"))
            await until(lambda: one.gateway.peers.count() == 2)

        with_gateways(use, 2)


class TestMakeReport:
    def test_only_totals_changed_since_a_change_number_are_reported(self):
        async def run():
            gateway = GatewayHarness().gateway
            gateway.quotas.try_admit("w", Quota(), 5.0, 1.0, 0.0)
            change_number = gateway.quotas.admitted.change_number
            gateway.quotas.try_admit("v", Quota(), 2.0, 1.0, 0.0)
            return make_report(gateway, 1, 2), make_report(gateway, 1, 3, change_number)

        full, changed = run_with_timeout(run)
        assert full.admitted == {"w": 5.0, "v": 2.0}
        assert changed.admitted == {"v": 2.0}

    def test_idle_targets_are_left_out(self):
        async def run():
            story = GatewayHarness()
            story.gateway.targets.put(make_registration("i-1"))
            return make_report(story.gateway, 1, 2)

        assert run_with_timeout(run).target_loads == ()

    def test_idle_targets_that_failed_are_reported(self):
        async def run():
            gateway = GatewayHarness().gateway
            gateway.targets.put(make_registration("i-1"))
            gateway.targets.get("i-1").failures.record(True, gateway.clock.now_s())
            return make_report(gateway, 1, 2)

        (load,) = run_with_timeout(run).target_loads
        assert (load.running, load.failed, load.ended) == (0, 10, 10)

    def test_leaving_is_reported(self):
        async def run():
            story = GatewayHarness()
            before = make_report(story.gateway, 1, 2)
            story.gateway.callers.is_refusing = True
            return before, make_report(story.gateway, 1, 3)

        before, after = run_with_timeout(run)
        assert (before.is_leaving, after.is_leaving) == (False, True)


class TestQueueReports:
    def test_calls_that_wait_are_known_at_other_gateways_and_data_centres(self):
        async def use(near, far):
            gateway = near.gateway
            gateway.targets.put(make_registration("i-1"))
            call = make_call(make_route(timeout_s=60.0), arrived_s=gateway.clock.now_s())
            while gateway.dispatcher.try_reserve(call, ()) is not None:
                pass
            known = [each.gateway.dispatcher.slot_yield.reports for each in far]

            def has_arrived(reports):
                waiting = reports.waiting("desk", gateway.clock.now_s())
                return [calls.count for calls in waiting] == [1] and reports.received(
                    "w", gateway.clock.now_s()
                )

            async def wait():
                while True:
                    now_s = gateway.clock.now_s()
                    with suppress(RequestError):
                        await gateway.dispatcher.reserve(call._replace(arrived_s=now_s), ())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await until(lambda: all(map(has_arrived, known)))
                tasks.cancel_scope.cancel()

        async def run():
            async with anyio.create_task_group() as tasks:
                near = await start(tasks, ["127.0.0.1:9"])
                beside = await start(tasks, [near.address])
                far = await start(tasks, [near.address], data_centre="b")
                await until(lambda: far.gateway.peers.live_count() == 3)
                await use(near, (beside, far))
                tasks.cancel_scope.cancel()

        run_with_timeout(run)


class TestDataCentres:
    def test_gateways_of_all_data_centres_find_each_other_through_one_seed(self):
        async def use(*stories):
            def knows_all(story):
                return story.gateway.peers.live_count() == 8

            await until(lambda: all(knows_all(story) for story in stories))
            # Each data centre has one relay once its gateways know each other.
            relays = [story for story in stories if story.gateway.peers.is_relay()]
            assert len(relays) == 3

        with_data_centres(use, *"abbbcacc")

    def test_loads_and_totals_of_other_data_centres_arrive(self):
        async def use(*stories):
            await until(lambda: all(s.gateway.peers.live_count() == 4 for s in stories))
            for story in stories:
                story.gateway.targets.put(make_registration("i-1"))
            for story in stories[2:]:
                story.gateway.targets.get("i-1").begin(make_call(prompt_tokens=70), 0.0, 9.0)
                story.gateway.quotas.try_admit("w", Quota(), 30.0, 1.0, 0.0)
            for story in stories[:2]:
                target = story.gateway.targets.get("i-1")
                await until(lambda target=target: target.peer_running == 2)
                assert target.peer_prefill_tokens == 140
                quota = Quota(per_s=1.0, burst=60.0)
                refused_s = story.gateway.quotas.try_admit("w", quota, 20.0, 1.0, 1.0)
                assert refused_s > 0.0

        with_data_centres(use, "a", "a", "b", "b")

    def test_gateways_of_other_data_centres_are_sent_no_reports_once_summaries_arrive(self):
        async def use(one, two, three):
            await until(lambda: all(s.gateway.peers.live_count() == 3 for s in (one, two, three)))
            assert one.gateway.peers.addresses() - {"127.0.0.1:9"} == set()
            assert two.gateway.peers.addresses() == {three.address}

        with_data_centres(use, "a", "b", "b")


def with_data_centres(use, *data_centres):
    """Run `use` with a gateway in each of the data centres; the first one is the seed of all."""

    async def run():
        async with anyio.create_task_group() as tasks:
            stories = []
            for data_centre in data_centres:
                seeds = [stories[0].address] if stories else []
                stories.append(await start(tasks, seeds, data_centre=data_centre))
            await use(*stories)
            tasks.cancel_scope.cancel()

    run_with_timeout(run)
