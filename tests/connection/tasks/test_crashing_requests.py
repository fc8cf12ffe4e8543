"""Tests that a request that ends its targets is refused by all gateways, and no other request."""

import random

import anyio
import pytest

from guavawalk.connection.tasks.apply_targets import apply_target_list
from guavawalk.exception import TargetLost
from guavawalk.process.gateway.tracked_target import CutCall
from guavawalk.version.registrations import ListedTargets
from guavawalk.version.routes import RouteKind
from soak.standins import (
    StandInTarget,
    answer_plain,
    break_stream,
    close_without_answer,
    stay_silent,
)
from tests.connection.tasks.test_serve_caller_refusals import fingerprint_of
from tests.crash_fleet import running_fleet
from tests.gateway_calls import RESUMABLE, SAFE, make_registration, make_route
from tests.gateway_standins import GatewayHarness, run_with_timeout

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


async def crash_targets(fleet, rng):
    """End several targets at once, though no request is to blame."""
    while True:
        await anyio.sleep(rng.uniform(1.0, 2.0))
        for target in rng.sample(fleet.targets, 3):
            if target.is_listening:
                await target.crash()


async def disturb_in_all_ways(fleet, rng):
    async with anyio.create_task_group() as tasks:
        for disturb in (replace_gateways, reset_connections, crash_targets):
            tasks.start_soon(disturb, fleet, rng)


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

    @pytest.mark.parametrize("seed", (7, 8))
    def test_is_not_sent_on_while_all_that_overlaps(self, seed):
        assert_refused_in_time(play(seed, disturb_in_all_ways, 8.0, 0.3, gateways=4, targets=12))

    @pytest.mark.parametrize("seed", (5, 6))
    def test_is_not_sent_on_among_many_gateways(self, seed):
        assert_refused_in_time(play(seed, gateways=6, targets=16))


class TestBlockedCall:
    """A request that is found to end targets while one call of it is under way."""

    def ask(self, script, route=RESUMABLE, block=True):
        """Ask once; `script` may block the request. Return the targets and the answer."""

        async def run():
            story = GatewayHarness(route)

            async def answer(target, stream, request):
                if block and not any(one.received[1:] for one in targets):
                    fingerprint = fingerprint_of(story, request.body)
                    for number in range(3):
                        story.gateway.suspects.record_target_death(fingerprint, f"x-{number}")
                await script(target, stream, request)

            targets = [StandInTarget(answer), StandInTarget(answer)]
            async with story.running(*targets, service=route.services[0].service):
                caller = await story.caller()
                try:
                    status = (await caller.ask(body=b"bad"))[0]
                except TargetLost:
                    status = None
            return sum(len(target.received) for target in targets), status

        return run_with_timeout(run)

    def test_is_not_sent_to_a_second_target(self):
        assert self.ask(close_without_answer) == (1, 502)
        assert self.ask(close_without_answer, block=False)[0] == 2

    def test_is_not_resumed_at_a_second_target(self):
        assert self.ask(break_stream) == (1, None)
        assert self.ask(break_stream, block=False)[0] == 2

    def test_is_not_sent_beside_a_silent_target(self):
        route = make_route(RouteKind.STREAM, "model", max_targets=2, resumable=True, timeout_s=1.5)
        assert self.ask(stay_silent, route) == (1, 504)
        assert self.ask(stay_silent, route, block=False)[0] == 2

    def test_is_sent_once_more_where_two_targets_ended_together(self):
        async def run():
            story = GatewayHarness(RESUMABLE)
            targets = [StandInTarget(close_without_answer) for _ in range(3)]
            async with story.running(*targets, service="model"):
                fingerprint = fingerprint_of(story, b"bad")
                for number in range(2):
                    story.gateway.suspects.record_target_death(fingerprint, f"x-{number}")
                await (await story.caller()).ask(body=b"bad")
            return sum(len(target.received) for target in targets), len(
                story.log.named("call_tried")
            )

        assert run_with_timeout(run) == (1, 1)

    def test_is_refused_after_its_wait_in_the_queue(self):
        async def run():
            story = GatewayHarness(SAFE)
            is_served = anyio.Event()

            async def answer_later(target, stream, request):
                await is_served.wait()
                await answer_plain(target, stream, request)

            target = StandInTarget(answer_later)
            async with story.running(target, slots=1), anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon((await story.caller()).ask, b"/x/1", b"%d" % number)
                while len(target.received) < 2:
                    await anyio.sleep(0.01)
                caller = await story.caller()
                await caller.send(body=b"bad")
                while not story.gateway.dispatcher.waiting().get("desk"):
                    await anyio.sleep(0.01)
                for number in range(3):
                    fingerprint = fingerprint_of(story, b"bad")
                    story.gateway.suspects.record_target_death(fingerprint, f"x-{number}")
                is_served.set()
                status = (await caller.answer())[0]
                running = story.gateway.targets.get("i-1").running
            return status, len(target.received), running, story.code()

        assert run_with_timeout(run) == (503, 2, 0, "CRASH_SUSPECT")


class TestEvidence:
    def suspected(self, change, was_closed=True, *later_changes):
        """Return whether a call that was cut off is suspected after changes of the registry."""

        async def run():
            story = GatewayHarness(SAFE)
            first = make_registration("i-1", started_at_ms=1)
            story.gateway.targets.put(first)
            target = story.gateway.targets.get("i-1")
            now_s = story.gateway.clock.now_s()
            target.record_cut_call(CutCall(5, now_s, True, was_closed))
            for revision, one_change in enumerate((change, *later_changes), 9):
                listed = ListedTargets(revision, one_change(first))
                await apply_target_list(story.gateway, listed, "peer")
            return story.gateway.suspects.is_suspect(5)

        return run_with_timeout(run)

    @pytest.mark.parametrize("was_closed", (True, False))
    def test_later_start_shows_the_end(self, was_closed):
        later = {"started_at_ms": 2}
        assert self.suspected(lambda first: (first._replace(**later),), was_closed)
        renamed = {"target_id": "i-2", "started_at_ms": 2}
        assert self.suspected(lambda first: (first, first._replace(**renamed)), was_closed)

    def test_lapsed_entry_shows_the_end_where_the_connection_ended(self):
        assert self.suspected(lambda first: ())
        assert not self.suspected(lambda first: (), was_closed=False)

    def test_target_that_is_replaced_after_it_has_drained_has_not_crashed(self):
        later = {"target_id": "i-2", "started_at_ms": 2}
        for was_closed in (True, False):
            assert not self.suspected(
                lambda first: (first._replace(draining=True),),
                was_closed,
                lambda first: (first._replace(draining=True), first._replace(**later)),
            )

    def test_target_that_leaves_or_is_registered_again_has_not_ended(self):
        assert not self.suspected(lambda first: (first._replace(slots=9),))
        assert not self.suspected(lambda first: (first._replace(draining=True),))
