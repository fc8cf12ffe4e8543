"""What a full sidecar refuses, sheds and keeps; a complete sidecar runs in virtual time."""

import anyio
import pytest

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.admission import admit_offer, dispatch_ready
from guavawalk.process.sidecar.queue import TierQueue
from guavawalk.request.attempt import AttemptState
from guavawalk.request.types import Offer
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from tests.virtual import run_virtually


def make_offer(name, rank, output=16, deadline_ms=60_000, prompt=10, key=""):
    return Offer(
        attempt_id=name,
        workspace="harbour",
        tier_rank=rank,
        model="quill",
        body=b"glaze " * (prompt * 4 // 6),
        prompt_tokens=prompt,
        expected_output_tokens=output,
        deadline_ms=deadline_ms,
        workspace_weight=1.0,
        idempotency_key=key,
    )


def with_sidecar(story):
    async def run():
        async with run_fleet(kestrel_lane_plan()) as fleet:
            return await story(fleet, fleet.sidecar("engine-0"))

    return run_virtually(run)


async def fill_window(sidecar, rank=2):
    while not len(sidecar.queue):
        admit_offer(sidecar, make_offer(f"filler-{len(sidecar.attempts.live)}", rank, 4_000))
    await anyio.lowlevel.checkpoint()


class TestFullQueue:
    def test_a_low_newcomer_is_refused_and_not_held(self):
        async def story(fleet, sidecar):
            sidecar.queue.capacity = 1
            await fill_window(sidecar, rank=0)
            with pytest.raises(RequestError) as caught:
                admit_offer(sidecar, make_offer("low", 2))
            return caught.value, sidecar.attempts.find("low")

        error, found = with_sidecar(story)
        assert error.code is ResultCode.QUEUE_FULL
        assert error.retry_after_ms > 0
        assert found is None

    def test_a_high_newcomer_sheds_the_lowest(self):
        async def story(fleet, sidecar):
            sidecar.queue.capacity = 1
            await fill_window(sidecar, rank=2)
            waiting = sidecar.queue.peek()
            attempt, is_new = admit_offer(sidecar, make_offer("high", 0))
            return waiting, attempt, is_new

        waiting, attempt, is_new = with_sidecar(story)
        assert (waiting.state, waiting.code) == (AttemptState.DONE, ResultCode.SHED)
        assert is_new
        assert attempt.state is not AttemptState.DONE

    def test_the_expired_make_room_first(self):
        async def story(fleet, sidecar):
            sidecar.queue.capacity = 2
            await fill_window(sidecar, rank=2)
            waiting = sidecar.queue.peek()
            late, _ = admit_offer(sidecar, make_offer("late", 2, deadline_ms=1, prompt=0))
            await anyio.sleep(0.002)
            newcomer, _ = admit_offer(sidecar, make_offer("next", 2))
            return waiting, late, newcomer

        waiting, late, newcomer = with_sidecar(story)
        assert late.code is ResultCode.DEADLINE_PASSED
        assert waiting.state is newcomer.state is AttemptState.QUEUED


def set_decode_rate(sidecar, decode_tokens_per_s=10.0):
    """Set the known token rate of a stream."""
    sidecar.window.decode_tokens_per_s = decode_tokens_per_s


async def run_one(sidecar):
    admit_offer(sidecar, make_offer("running", 2, 4_000))
    set_decode_rate(sidecar)


def check_lower_work_does_not_count():
    async def story(fleet, sidecar):
        await fill_window(sidecar, rank=2)
        for second in range(20):
            sidecar.drain_rates.short.record_dispatch(10, second, 5)
        with pytest.raises(RequestError):
            admit_offer(sidecar, make_offer("low", 2, 100, deadline_ms=70_000))
        return admit_offer(sidecar, make_offer("high", 0, 100, deadline_ms=70_000))

    _, is_new = with_sidecar(story)
    assert is_new


class TestEarlyRefusal:
    def test_what_cannot_end_in_time_is_refused_at_once(self):
        async def story(fleet, sidecar):
            await run_one(sidecar)
            with pytest.raises(RequestError) as caught:
                admit_offer(sidecar, make_offer("hopeless", 0, output=100, deadline_ms=5_000))
            kept, _ = admit_offer(sidecar, make_offer("in-time", 0, output=100, deadline_ms=15_000))
            return caught.value, sidecar.attempts.find("hopeless"), kept

        error, found, kept = with_sidecar(story)
        assert error.code is ResultCode.DEADLINE_UNREACHABLE
        assert error.retry_after_ms > 0
        assert found is None
        assert kept.state is not AttemptState.DONE

    def test_an_idle_target_takes_anything_so_that_old_rates_are_corrected(self):
        async def story(fleet, sidecar):
            set_decode_rate(sidecar, 0.001)
            return admit_offer(sidecar, make_offer("first", 0, output=100, deadline_ms=5_000))

        _, is_new = with_sidecar(story)
        assert is_new

    def test_lower_work_that_waits_never_has_a_higher_offer_refused(self):
        check_lower_work_does_not_count()

    def test_a_mutant_is_caught(self, monkeypatch):
        def all_that_waits(self, attempt):
            return self._cost_tokens

        monkeypatch.setattr(TierQueue, "cost_ahead_tokens", all_that_waits)
        with pytest.RaisesGroup(RequestError, flatten_subgroups=True):
            check_lower_work_does_not_count()

    def test_a_short_learned_length_is_used(self):
        async def story(fleet, sidecar):
            await run_one(sidecar)
            offer = make_offer("short", 0, output=100, deadline_ms=5_000)
            for _ in range(50):
                sidecar.lengths.record_answer(offer, 8)
            return admit_offer(sidecar, offer)

        _, is_new = with_sidecar(story)
        assert is_new

    def test_what_can_no_longer_end_in_time_is_not_dispatched(self):
        async def story(fleet, sidecar):
            await fill_window(sidecar, rank=2)
            waiting = sidecar.queue.peek()
            set_decode_rate(sidecar, 1.0)
            sidecar.window._size_controller.size += 1
            dispatch_ready(sidecar)
            return waiting

        waiting = with_sidecar(story)
        assert waiting.code is ResultCode.DEADLINE_UNREACHABLE
        assert waiting.retry_after_ms > 0
        assert not waiting.dispatched_s


class TestLongCap:
    def test_the_top_tier_is_never_held_up_by_long_work(self):
        async def story(fleet, sidecar):
            for index in range(40):
                admit_offer(sidecar, make_offer(f"tiny-{index}", 2, output=1, prompt=1))
            await anyio.sleep(5)
            found = []
            for rank in (0, 1):
                offer = make_offer(f"ordinary-{rank}", rank, output=24, prompt=577)
                found.append(admit_offer(sidecar, offer)[0].is_long)
            return found

        assert with_sidecar(story) == [False, True]
