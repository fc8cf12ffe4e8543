"""Tests that requests with a part that ends targets are refused, and no others that share parts."""

import random

import anyio
import pytest

from guavawalk.exception import TargetLost
from guavawalk.process.gateway.crash_refusal import report_parts
from guavawalk.process.part_suspects import FIRST_TRIAL_S, SETTLE_S
from guavawalk.request.admission import admit_call
from guavawalk.request.call import CallFields, PromptPart
from soak.standins import StandInTarget, answer_stream, close_without_answer
from tests.connection.tasks.test_crashing_requests import (
    crash_targets,
    disturb_in_all_ways,
    replace_gateways,
    reset_connections,
)
from tests.crash_fleet import BAD_PART, FIRST_PARTS, running_fleet
from tests.gateway_calls import HOST, RESUMABLE
from tests.gateway_standins import GatewayHarness, run_with_timeout

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


class TestTrial:
    """A part that is blamed, and a time without an end after which it is tried."""

    def ask(self, script, times=2, wait_s=FIRST_TRIAL_S):
        """Ask with a blamed part `times` times; return statuses, targets asked and the log."""

        async def run():
            story = GatewayHarness(RESUMABLE)
            now_s = story.gateway.clock.now_s()
            targets = [StandInTarget(script) for _ in range(3)]
            async with story.running(*targets, service="model"):
                part = shared_part_of(story, BAD_PART.decode())
                for number in range(3):
                    ended_s = now_s - wait_s - 10.0 - number
                    story.gateway.part_suspects.record_target_death((part,), f"x-{number}", ended_s)
                report_parts(story.gateway, (part.key,), "")
                await anyio.sleep(SETTLE_S)
                statuses = []
                for number in range(times):
                    caller = await story.caller()
                    headers = ((b"Prompt-Prefix", b"bad:60,own%d:60" % number),)
                    try:
                        answer = await caller.ask(body=b"%d" % number, headers=headers)
                        statuses.append(answer[0])
                    except TargetLost:
                        statuses.append(None)
            return statuses, sum(len(target.received) for target in targets), story.log

        return run_with_timeout(run)

    def test_one_request_runs_at_one_target_and_the_next_is_refused(self):
        statuses, asked, log = self.ask(close_without_answer)
        assert (statuses, asked) == ([502, 503], 1)
        assert len(log.named("part_tried")) == 1
        assert "part bad" in log.named("call_refused")[0]["reason"]

    def test_run_that_completes_ends_the_blame(self):
        statuses, asked, log = self.ask(answer_stream)
        assert (statuses, asked) == ([200, 200], 2)
        assert log.named("part_cleared")

    def test_none_runs_before_it_is_due(self):
        statuses, asked, _ = self.ask(answer_stream, wait_s=-5.0)
        assert (statuses, asked) == ([503, 503], 0)


def shared_part_of(story, part_id):
    """Return a part as the harness's calls hold it."""
    fields = CallFields("r", HOST, "k1", prompt_parts=(PromptPart(part_id, 1), PromptPart("", 1)))
    call = admit_call(story.gateway.routes.table, fields, "POST", b"/x/1", b"", 0.0)
    return call.shared_parts[0]
