"""Tests what gateways know of their targets' load while both are replaced, in virtual time."""

import anyio
import pytest

from guavawalk.connection import http_client
from tests.process.placement_fleet import Fleet, FleetPlan
from tests.virtual import run_virtually

# Time for which the fleet runs before and after all are replaced, in seconds.
STEADY_S = 10.0
# Gateways and engines that are replaced at once.
GATEWAYS_AT_ONCE = 3
ENGINES_AT_ONCE = 2


def run_fleet(use, plan=FleetPlan()):
    """Run `use` with a fleet in virtual time; return what it returns."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, plan)
            patch.setattr(http_client, "open_stream", fleet.network.open_stream)
            patch.setattr(http_client, "has_input", lambda stream: stream.has_input)
            await fleet.build()
            await anyio.sleep(STEADY_S)
            result = await use(fleet)
            tasks.cancel_scope.cancel()
        return result

    with pytest.MonkeyPatch.context() as patch:
        return run_virtually(run)


async def in_turn(replace, keys, at_once):
    for first in range(0, len(keys), at_once):
        async with anyio.create_task_group() as group:
            for key in keys[first : first + at_once]:
                group.start_soon(replace, key)


async def replace_all(fleet):
    """Replace all gateways and engines; return the spans before, while and after that."""
    begin_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        gateways, engines = sorted(fleet.gateways), list(fleet.engines)
        group.start_soon(in_turn, fleet.replace_gateway, gateways, GATEWAYS_AT_ONCE)
        group.start_soon(in_turn, fleet.replace_engine, engines, ENGINES_AT_ONCE)
    end_s = anyio.current_time()
    await anyio.sleep(STEADY_S)
    return (
        fleet.span(begin_s - STEADY_S / 2, begin_s),
        fleet.span(begin_s, end_s),
        fleet.span(end_s + STEADY_S / 2, end_s + STEADY_S),
    )


@pytest.fixture(scope="module")
def spans():
    """Return the spans of a fleet before, while and after all of it is replaced."""
    return run_fleet(replace_all, FleetPlan(load=0.6))


class TestReplacementInTurn:
    def test_load_of_gateways_that_leave_or_start_is_not_forgotten(self, spans):
        _, during, _ = spans
        assert during.believed_share == pytest.approx(1.0, abs=0.03)
        assert during.least_believed_share > 0.9

    def test_load_is_known_and_first_events_are_as_early_as_before(self, spans):
        before, _, after = spans
        assert after.believed_share == pytest.approx(1.0, abs=0.03)
        assert after.first_event_s < before.first_event_s + 0.05
        assert (after.rejected, after.refused) == (0, 0)
