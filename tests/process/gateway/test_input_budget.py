"""Who may send more, and who is refused, while callers take all memory for their requests."""

from contextlib import ExitStack

import pytest

from guavawalk.process.gateway.input_budget import (
    CHECK_EVERY_S,
    MAX_ROOM_WAIT_S,
    MB,
    ROOM_WAIT_S,
    SMALL_BYTES,
    STALLED_S,
    InputBudget,
    create_input_budget,
)

MIB = 1024 * 1024
HEAD_BYTES = 500


@pytest.fixture
def budget():
    """Room for 6 MiB of large bodies, and 2 MiB for small ones."""
    return InputBudget(8 * MIB)


@pytest.fixture
def connect(budget):
    with ExitStack() as stack:
        yield lambda: stack.enter_context(budget.connection())


def send(charge, size, now_s=0.0, expected=0):
    """Read a head, and then a partial request of `size` bytes; return whether there was room."""
    if not charge.partial_bytes:
        charge.update(charge.kept_bytes, HEAD_BYTES, now_s)
    if not charge.may_read(expected, now_s):
        return False
    charge.update(charge.kept_bytes, size, now_s)
    return True


class TestRoom:
    def test_announced_body_has_room_for_all_of_it(self, budget, connect):
        first, second = connect(), connect()
        assert send(first, 1000, expected=4 * MIB)
        assert budget.used_bytes == 4 * MIB
        assert not send(second, 1000, expected=3 * MIB)
        assert send(first, 4 * MIB - 1, expected=4 * MIB)

    def test_small_request_fits_while_large_ones_wait(self, budget, connect):
        send(connect(), 1000, expected=6 * MIB)
        assert not send(connect(), 1000, expected=MIB)
        assert send(connect(), SMALL_BYTES)

    def test_body_of_unknown_length_gets_room_in_steps(self, budget, connect):
        charge = connect()
        send(charge, SMALL_BYTES + 1)
        send(charge, SMALL_BYTES + 2)
        assert charge.reserved_bytes == 4 * SMALL_BYTES

    def test_body_of_unknown_length_gets_no_room_beyond_its_limit(self, connect):
        charge = connect()
        charge.update(0, 5 * MIB // 2, 0.0)
        assert charge.may_read(0, 0.0, 3 * MIB)
        assert charge.reserved_bytes == 3 * MIB

    def test_complete_request_counts_at_its_size_until_it_is_answered(self, budget, connect):
        charge = connect()
        send(charge, 1000, expected=4 * MIB)
        charge.update(MIB, 0, 0.0)
        assert budget.used_bytes == MIB
        charge.update(0, 0, 0.0)
        assert budget.used_bytes == 0

    def test_half_read_request_keeps_its_room_when_the_one_before_it_ends(self, budget, connect):
        charge = connect()
        charge.update(1000, 0, 0.0)
        send(charge, 2000, expected=4 * MIB)
        charge.update(0, 2000, 1.0)
        assert charge.reserved_bytes == 4 * MIB

    def test_smallest_that_waits_gets_freed_room_before_newcomers(self, budget, connect):
        holder, large, small = connect(), connect(), connect()
        send(holder, 1000, expected=6 * MIB)
        woken = []
        for charge, size in ((large, 5 * MIB), (small, 2 * MIB)):
            charge.on_change = lambda size=size: woken.append(size)
            assert not send(charge, 1000, expected=size)
        holder.update(0, 0, 1.0)
        assert woken == [2 * MIB] and small.reserved_bytes == 2 * MIB
        assert not send(connect(), 1000, expected=6 * MIB)

    def test_closed_connection_frees_its_room(self, budget):
        with budget.connection() as charge:
            send(charge, 1000, expected=4 * MIB)
        assert budget.used_bytes == 0

    def test_single_body_over_the_budget_is_not_kept_out(self, budget, connect):
        assert send(connect(), 1000, expected=20 * MIB)
        assert not send(connect(), 1000, expected=20 * MIB)


class TestRefusal:
    def test_nothing_is_refused_while_bodies_wait_for_a_short_time(self, budget, connect):
        send(connect(), 1000, expected=6 * MIB)
        send(connect(), 1000, expected=6 * MIB)
        budget.relieve(ROOM_WAIT_S / 2)
        assert budget.refused == 0

    def test_body_without_progress_goes_before_one_that_progresses(self, budget, connect):
        stalled, active, waiting = connect(), connect(), connect()
        send(stalled, 1000, expected=2 * MIB)
        send(active, 1000, expected=4 * MIB)
        now_s = STALLED_S + 0.1
        send(active, MIB, now_s, expected=4 * MIB)
        send(waiting, 1000, now_s - ROOM_WAIT_S, expected=MIB)
        budget.relieve(now_s)
        assert (stalled.is_refused, active.is_refused, waiting.is_refused) == (True, False, False)

    def test_body_of_single_bytes_makes_no_progress(self, budget, connect):
        slow, waiting = connect(), connect()
        for number in range(1, 100):
            send(slow, 1000 + number, number / 30, expected=6 * MIB)
        send(waiting, 1000, 2.0, expected=MIB)
        budget.relieve(2.0 + ROOM_WAIT_S)
        assert slow.is_refused and not waiting.is_refused

    def test_large_body_goes_before_a_small_one(self, budget, connect):
        large, small, waiting = connect(), connect(), connect()
        send(large, 1000, 0.0, expected=4 * MIB)
        send(small, 1000, 0.0, expected=2 * MIB)
        send(waiting, 1000, 0.0, expected=MIB)
        budget.relieve(ROOM_WAIT_S)
        assert (large.is_refused, small.is_refused, waiting.is_refused) == (True, False, False)

    def test_of_bodies_of_one_size_the_one_that_waits_goes(self, budget, connect):
        holder, waiting = connect(), connect()
        send(holder, 1000, expected=6 * MIB)
        send(waiting, 1000, expected=6 * MIB)
        budget.relieve(ROOM_WAIT_S)
        assert waiting.is_refused and not holder.is_refused

    def test_complete_request_is_not_refused(self, budget, connect):
        running, waiting = connect(), connect()
        running.update(6 * MIB, 0, 0.0)
        send(waiting, 1000, expected=MIB)
        budget.relieve(MAX_ROOM_WAIT_S)
        assert waiting.is_refused and not running.is_refused

    def test_small_request_that_is_woken_in_vain_is_still_refused_in_time(self, budget, connect):
        holder, waiting = connect(), connect()
        holder.update(8 * MIB, 0, 0.0)
        waiting.on_change = lambda: connect().update(MIB, 0, 0.0)
        assert not send(waiting, 1000)
        holder.update(8 * MIB - SMALL_BYTES, 0, 1.0)
        assert not waiting.may_read(0, 1.0)
        budget.relieve(MAX_ROOM_WAIT_S)
        assert waiting.is_refused

    def test_request_that_a_refusal_gave_room_is_not_refused_as_well(self, budget, connect):
        waiting = [connect() for _ in range(2)]
        held, holder = connect(), connect()
        send(held, 1000, expected=3 * MIB)
        holder.update(3 * MIB, 0, 0.0)
        for charge in waiting:
            send(charge, 1000, expected=MIB)
            charge.on_change = lambda charge=charge: charge.is_refused and held.update(0, 0, 4.0)
        budget.relieve(MAX_ROOM_WAIT_S)
        assert sorted(charge.is_refused for charge in waiting) == [False, True]

    def test_each_of_many_that_wait_does_not_look_at_all_others(self, budget, connect):
        send(connect(), 1000, expected=6 * MIB)
        send(connect(), 1000, expected=6 * MIB)
        budget.relieve(ROOM_WAIT_S - 0.01)
        budget.relieve(ROOM_WAIT_S)
        assert budget.refused == 0
        budget.relieve(ROOM_WAIT_S + CHECK_EVERY_S)
        assert budget.refused == 1

    def test_request_that_waits_gives_way_if_no_other_is_stalled(self, budget, connect):
        holder, small, large = connect(), connect(), connect()
        send(holder, 1000, expected=6 * MIB)
        send(small, 1000, expected=MIB)
        send(large, 1000, expected=3 * MIB)
        assert budget.refuse_inactive(0.1)
        assert (large.is_refused, small.is_refused, budget.refused_open) == (True, False, 1)
        assert budget.refuse_inactive(0.1) and small.is_refused
        assert not budget.refuse_inactive(0.1)

    def test_stop_refuses_those_that_wait(self, budget, connect):
        send(connect(), 1000, expected=6 * MIB)
        before, after = connect(), connect()
        send(before, 1000, expected=MIB)
        budget.close()
        send(after, 1000, expected=MIB)
        assert before.is_refused and after.is_refused


class TestSize:
    @pytest.mark.parametrize(("memory_mb", "connections"), [(200, 1940), (128, 90), (0, 400)])
    def test_budget_leaves_room_for_the_process(self, memory_mb, connections):
        total = create_input_budget(memory_mb, connections).total_bytes
        assert 30 * MB < total < ((memory_mb or 200) - 62) * MB

    def test_small_machine_has_room_for_a_body(self):
        assert create_input_budget(64, 100).total_bytes >= 8 * MIB
