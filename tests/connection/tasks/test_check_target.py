import anyio

from guavawalk.connection.tasks.check_target import check_target
from guavawalk.process.gateway.tracked_target import CutCall
from tests.gateway_calls import make_registration
from tests.gateway_standins import GatewayHarness, run_with_timeout


def cut_call(story, fingerprint=5):
    return CutCall(fingerprint, story.gateway.clock.now_s(), True, True)


async def register(story, address):
    story.gateway.targets.put(make_registration("i-1", address=address))
    return story.gateway.targets.get("i-1")


async def listening():
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return listener, f"127.0.0.1:{port}"


class TestCheckTarget:
    def test_refused_connection_makes_the_calls_that_were_cut_off_suspects(self):
        async def run():
            story = GatewayHarness()
            listener, address = await listening()
            await listener.aclose()
            target = await register(story, address)
            target.record_cut_call(cut_call(story))
            await check_target(story.gateway, target)
            assert story.gateway.suspects.is_suspect(5)
            return story

        story = run_with_timeout(run)
        assert [line["evidence"] for line in story.log.named("target_ended")] == ["refused"]

    def test_target_that_accepts_makes_no_call_a_suspect(self):
        async def run():
            story = GatewayHarness()
            listener, address = await listening()
            target = await register(story, address)
            target.record_cut_call(cut_call(story))
            await check_target(story.gateway, target)
            await listener.aclose()
            assert not story.gateway.suspects.is_suspect(5)
            return story

        story = run_with_timeout(run)
        assert not story.log.named("target_paused")

    def test_calls_that_are_cut_off_together_share_one_connection(self):
        async def run():
            story = GatewayHarness()
            listener, address = await listening()
            target = await register(story, address)
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(check_target, story.gateway, target)
            await listener.aclose()
            return story

        assert run_with_timeout(run).gateway.connections.opened == 1

    def test_cancelled_check_leaves_no_call_waiting_for_it(self):
        async def run():
            story = GatewayHarness()
            target = await register(story, "127.0.0.1:9")
            with anyio.CancelScope() as scope:
                scope.cancel()
                await check_target(story.gateway, target)
            await check_target(story.gateway, target)
            return target

        assert run_with_timeout(run).end_check is None
