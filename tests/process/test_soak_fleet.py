"""The processes of the soak, which it starts again as the platform does."""

import signal

import anyio

from soak.fleet import create_fleet
from tests.gateway_standins import run_with_timeout


async def ended(gateway):
    """Wait until a process has ended, and return what `restart_ended` says of it."""
    starts = gateway.starts
    while True:
        found = gateway.restart_ended()
        if gateway.starts > starts:
            return found
        await anyio.sleep(0.01)


class TestGatewayProcess:
    def test_end_by_a_signal_before_the_program_runs_is_not_reported(self, tmp_path):
        async def scenario():
            (gateway,) = create_fleet(tmp_path, ["127.0.0.1:1"])
            gateway.start()
            gateway.send_signal(signal.SIGHUP)
            assert await ended(gateway) == ""
            gateway.kill()

        run_with_timeout(scenario)

    def test_any_other_end_is_reported(self, tmp_path):
        async def scenario():
            (gateway,) = create_fleet(tmp_path, ["127.0.0.1:1"])
            gateway.start()
            while not gateway.has_written():
                await anyio.sleep(0.01)
            gateway.send_signal(signal.SIGQUIT)
            assert "exit code -3" in await ended(gateway)
            gateway.kill()

        run_with_timeout(scenario)

    def test_planned_restart_is_not_reported(self, tmp_path):
        async def scenario():
            (gateway,) = create_fleet(tmp_path, ["127.0.0.1:1"])
            gateway.start()
            while not gateway.has_written():
                await anyio.sleep(0.01)
            await gateway.restart()
            assert (gateway.starts, gateway.restart_ended()) == (2, "")
            gateway.kill()

        run_with_timeout(scenario)
