"""Tests that a request that ends its targets is refused by all gateways, and no other request."""

import random

import anyio
import pytest

from tests.crash_fleet import running_fleet
from tests.gateway_standins import run_with_timeout

# Number of ended targets after which all gateways in touch refuse the request, the time that they
# have to hear of it, in seconds, and how often it may reach a target after that.
TOLERATED_ENDS = 3
CONTACT_S = 2.0
MAX_LATE_RUNS = 3
# Interval at which the bad request is sent, in seconds: few other calls reach an ended target then.
RARELY_S = 0.6


async def replace_gateways(fleet, rng):
    for number in range(len(fleet.gateways)):
        await anyio.sleep(1.2)
        await fleet.replace_gateway(number)


async def reset_connections(fleet, rng):
    while True:
        await anyio.sleep(0.3)
        await rng.choice(fleet.targets).reset_connections()


def play(seed, disturb=None, seconds=6.0, every_s=0.12, callers=12, **options):
    """Send the bad request again and again beside sound ones; return the fleet after it."""

    async def run():
        rng = random.Random(seed)
        async with running_fleet(**options) as fleet:
            stop = anyio.Event()
            for caller in range(callers):
                own_rng = random.Random(f"{seed}/{caller}")
                fleet.tasks.start_soon(fleet.send_sound, own_rng, stop, caller)
            if disturb is not None:
                fleet.tasks.start_soon(disturb, fleet, rng)
            await fleet.send_bad(rng, seconds, every_s)
            stop.set()
            await anyio.sleep(0.3)
            return fleet

    return run_with_timeout(run)


def assert_refused_in_time(fleet):
    runs_s = fleet.bad_runs_s()
    assert len(runs_s) >= 2
    if len(runs_s) > TOLERATED_ENDS:
        known_s = runs_s[TOLERATED_ENDS - 1] + CONTACT_S
        late_runs = sum(run_s > known_s for run_s in runs_s)
        assert late_runs <= MAX_LATE_RUNS, f"{late_runs} of {len(runs_s)} runs came late"
    assert fleet.refused_sound == 0


class TestRequestThatEndsItsTargets:
    def test_is_not_sent_on_where_no_other_call_meets_the_ended_targets(self):
        assert_refused_in_time(play(1, seconds=9.0, every_s=RARELY_S))

    def test_is_not_sent_on_where_targets_start_again_under_their_ids(self):
        fleet = play(2, seconds=9.0, every_s=RARELY_S, has_new_ids=False)
        assert_refused_in_time(fleet)

    def test_is_not_sent_on_while_connections_are_reset(self):
        assert_refused_in_time(play(3, reset_connections, 9.0, RARELY_S))

    def test_is_not_sent_on_at_gateways_that_start_later(self):
        assert_refused_in_time(play(4, replace_gateways))

    @pytest.mark.parametrize("seed", (5, 6))
    def test_is_not_sent_on_among_many_gateways(self, seed):
        assert_refused_in_time(play(seed, gateways=6, targets=16))
