"""Tests that requests with a part that ends targets are refused, and no others that share parts."""

import random

import anyio
import pytest

from tests.connection.tasks.test_crashing_requests import (
    crash_targets,
    disturb_in_all_ways,
    replace_gateways,
    reset_connections,
)
from tests.crash_fleet import BAD_PART, FIRST_PARTS, running_fleet
from tests.gateway_standins import run_with_timeout

# Number of ended targets after which all gateways in touch refuse requests with the part, the time
# that they have to hear of it, in seconds, and how many may reach a target after that.
TOLERATED_ENDS = 5
CONTACT_S = 2.0
MAX_LATE_RUNS = 3


def play(
    seed,
    disturb=None,
    seconds=8.0,
    every_s=0.3,
    callers=12,
    bad_parts=(BAD_PART,),
    first_parts=FIRST_PARTS[:1],
    **options,
):
    """Send requests with bad parts beside sound ones; return the fleet after it."""

    async def run():
        rng = random.Random(seed)
        async with running_fleet(**options) as fleet:
            fleet.bad_parts = set(bad_parts)
            stop = anyio.Event()
            for caller in range(callers):
                own_rng = random.Random(f"{seed}/{caller}")
                fleet.tasks.start_soon(fleet.send_sound, own_rng, stop, caller)
            if disturb is not None:
                fleet.tasks.start_soon(disturb, fleet, rng)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(anyio.sleep, seconds)
                for part in bad_parts:
                    own_rng = random.Random(f"{seed}/{part}")
                    tasks.start_soon(
                        fleet.send_bad_parts, own_rng, seconds, every_s, part, first_parts
                    )
            stop.set()
            await anyio.sleep(0.3)
            return fleet

    return run_with_timeout(run)


def late_runs(runs_s):
    """Return the number of runs later than allowed for a part that ended targets at these times."""
    if len(runs_s) <= TOLERATED_ENDS:
        return 0
    known_s = sorted(runs_s)[TOLERATED_ENDS - 1] + CONTACT_S
    return sum(run_s > known_s for run_s in runs_s)


def assert_refused_in_time(fleet):
    for runs_s in fleet.part_runs_s.values():
        assert len(runs_s) >= 2
        late = late_runs(runs_s)
        assert late <= MAX_LATE_RUNS, f"{late} of {len(runs_s)} runs came late"
    assert fleet.refused_sound == 0


def served_share(fleet, first):
    return fleet.served_by_part[first] / max(fleet.sent_by_part[first], 1)


class TestPartThatEndsItsTargets:
    @pytest.mark.parametrize("seed", (1, 2))
    def test_no_two_requests_alike_are_refused_by_the_part_they_share(self, seed):
        assert_refused_in_time(play(seed, gateways=4, targets=16))

    def test_rare_requests_are_refused(self):
        assert_refused_in_time(play(3, seconds=12.0, every_s=1.0, gateways=4, targets=16))

    def test_refused_among_many_gateways(self):
        assert_refused_in_time(play(4, gateways=8, targets=24))

    def test_refused_where_targets_start_again_under_their_ids(self):
        assert_refused_in_time(play(5, has_new_ids=False, gateways=3, targets=12))

    def test_refused_while_connections_are_reset(self):
        assert_refused_in_time(play(6, reset_connections, gateways=3, targets=12))

    def test_refused_while_other_targets_crash(self):
        assert_refused_in_time(play(7, crash_targets, gateways=4, targets=16))

    def test_refused_at_gateways_that_start_later(self):
        assert_refused_in_time(play(8, replace_gateways, gateways=4, targets=12))

    def test_refused_while_all_that_overlaps(self):
        assert_refused_in_time(play(9, disturb_in_all_ways, gateways=4, targets=16))

    def test_two_parts_at_once(self):
        assert_refused_in_time(play(10, bad_parts=(BAD_PART, b"bad2"), gateways=4, targets=16))

    def test_refused_behind_several_first_parts(self):
        assert_refused_in_time(play(11, first_parts=FIRST_PARTS, gateways=4, targets=16))


class TestSoundRequestsThatShareAPart:
    def test_are_served_as_often_as_those_that_share_none(self):
        fleet = play(12, gateways=4, targets=16, callers=24)
        with_part, without = (served_share(fleet, first) for first in FIRST_PARTS)
        assert fleet.refused_sound == 0
        assert with_part >= 0.9 * without

    def test_are_served_where_their_first_part_is_rarely_used(self):
        fleet = play(13, gateways=4, targets=16, callers=1)
        assert fleet.refused_sound == 0
        assert served_share(fleet, FIRST_PARTS[0]) >= 0.5

    @pytest.mark.parametrize("seed", (14, 15))
    def test_are_served_though_targets_crash_for_no_part(self, seed):
        fleet = play(seed, crash_targets, bad_parts=(), callers=24, gateways=4, targets=12)
        assert fleet.sent_by_part[FIRST_PARTS[0]] > 20
        assert fleet.refused_sound == 0
