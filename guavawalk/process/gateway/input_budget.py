"""Limits the memory of what callers send: bodies, heads, and requests that are read ahead.

Load handled: callers outside our control send many large bodies at once, or stop short of the end.
Reading stops first, so that senders wait. Only if there is no room for some time are requests
refused: those without progress before others, large ones before small ones.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["InputBudget", "InputCharge", "create_input_budget"]

MB = 1_000_000
# Memory of a machine whose limit is not stated: that of the smallest gateways, in MB.
DEFAULT_MEMORY_MB = 200
# Memory of a gateway that serves nobody, and of the answers that it may buffer, in MB.
PROCESS_MB = 30
ANSWERS_MB = 32
# Share of the machine's memory that is left for all else, such as logs and the heap's gaps.
MARGIN_SHARE = 0.1
# Memory of one connection with its task and its parser, in bytes.
CONNECTION_BYTES = 16_384
# Part of the memory that is budgeted: a body is copied when it is complete, and for each send.
BUDGETED_SHARE = 2 / 3
# Smallest budget: one body of the usual limit, and the reserve for small requests.
MIN_TOTAL_BYTES = 8 * 1024 * 1024
# Share of the budget that only small requests get, and up to which size a request is small, in
# bytes: large bodies use up their part, and must not keep out the ordinary requests of others.
RESERVE_SHARE = 0.25
SMALL_BYTES = 64 * 1024
# Factor by which the room of a body of unknown length grows.
GROWTH = 4
# Time for which a body waits for room before others are refused, and before it is itself, in
# seconds. Bodies of legal size that arrive at the usual speed make room much sooner.
ROOM_WAIT_S = 1.0
MAX_ROOM_WAIT_S = 4.0
# While others wait for room, a body without this many new bytes in this time makes no progress.
PROGRESS_BYTES = 32 * 1024
STALLED_S = 2.0
# Shortest time between two refusals in favour of bodies that wait, in seconds.
RELIEF_EVERY_S = 0.2
# Shortest time between two looks at all that wait, in seconds. Each of them asks for one.
CHECK_EVERY_S = 0.05


def _ignore() -> None:
    pass


class InputCharge:
    """What one connection holds, as counted in an `InputBudget`.

    Attributes
    ----------
    kept_bytes : int
        Size of the complete requests.
    partial_bytes : int
        Size of the request that is being received.
    reserved_bytes : int
        Room that its body was given; 0 while it is small.
    is_refused : bool
        Whether the request that is being received is refused to make room.
    is_awaited : bool
        Whether the request that is being received is wanted now; if not, it never waits for room.
    on_change : callable
        Called when room is given or the request is refused.
    """

    def __init__(self, budget: "InputBudget") -> None:
        self._budget = budget
        self.kept_bytes = self.partial_bytes = self.reserved_bytes = 0
        self.is_refused = False
        self.is_awaited = True
        self.on_change: Callable[[], None] = _ignore
        self.wanted_bytes = 0
        self.waits_since_s: float | None = None
        self.progressed_s = 0.0
        self._progress_bytes = 0

    @property
    def counted_bytes(self) -> int:
        """Bytes that count against the budget."""
        return self.kept_bytes + max(self.partial_bytes, self.reserved_bytes)

    def update(self, kept_bytes: int, partial_bytes: int, now_s: float) -> None:
        """Record what the connection holds now; a partial request of 0 bytes ends its room."""
        before = self.counted_bytes
        is_new = (
            not self.partial_bytes
            or partial_bytes < self.partial_bytes
            or kept_bytes > self.kept_bytes
        )
        self.kept_bytes, self.partial_bytes = kept_bytes, partial_bytes
        if is_new:
            self.reserved_bytes = 0
        if is_new or partial_bytes - self._progress_bytes >= PROGRESS_BYTES:
            self.progressed_s = now_s
            self._progress_bytes = partial_bytes
        self._budget.changed(self, before)

    def set_awaited(self, is_awaited: bool, now_s: float) -> None:
        """Record whether the next request is wanted now, or only read ahead."""
        self.is_awaited = is_awaited
        self.progressed_s = now_s
        if not is_awaited:
            self._budget.end_wait(self)

    def may_read(self, expected_bytes: int, now_s: float, max_bytes: float = math.inf) -> bool:
        """Return whether more may be read; if not, a connection that is awaited waits for room.

        Parameters
        ----------
        expected_bytes : int
            Announced size of the request that is being received; 0 if it is not known.
        max_bytes : float, optional
            Largest size that it may reach; by default there is no limit.
        """
        wanted = max(expected_bytes, self.partial_bytes)
        if not expected_bytes and self.partial_bytes > SMALL_BYTES:
            wanted = max(SMALL_BYTES, self.reserved_bytes)
            while wanted <= self.partial_bytes:
                wanted *= GROWTH
            wanted = max(self.partial_bytes, min(wanted, max_bytes))
        if not self.is_awaited:
            return self._budget.has_room(self, wanted)
        return self._budget.try_reserve(self, wanted, now_s)

    def relieve(self, now_s: float) -> None:
        """Refuse requests if others have waited for room too long; see `InputBudget.relieve`."""
        self._budget.relieve(now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the sender of a partial request makes no progress."""
        is_read = self.is_awaited and self.waits_since_s is None
        return is_read and now_s - self.progressed_s >= STALLED_S

    def refuse(self) -> None:
        """Refuse the request that is being received."""
        self.is_refused = True
        self.on_change()


class InputBudget:
    """Counts what callers have sent, and decides who may send more.

    Attributes
    ----------
    total_bytes : int
        Limit on all bytes; large bodies get less, by `RESERVE_SHARE`.
    used_bytes : int
        Bytes that count now.
    refused : int
        Requests refused to make room since the start.
    refused_open : int
        Connections that are open though their request was refused.
    is_closing : bool
        Whether no more room is given, since the process shuts down.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.refused = self.refused_open = 0
        self.is_closing = False
        self._large_bytes = int(total_bytes * (1 - RESERVE_SHARE))
        self._charges: set[InputCharge] = set()
        self._waiting: set[InputCharge] = set()
        self._relieved_s = self._checked_s = -math.inf

    @property
    def waiting(self) -> int:
        """Number of connections that wait for room."""
        return len(self._waiting)

    @contextmanager
    def connection(self) -> Iterator[InputCharge]:
        """Count what a connection holds within the block."""
        charge = InputCharge(self)
        self._charges.add(charge)
        try:
            yield charge
        finally:
            self._charges.remove(charge)
            self.refused_open -= charge.is_refused
            self._waiting.discard(charge)
            self._release(charge.counted_bytes)

    def changed(self, charge: InputCharge, before_bytes: int) -> None:
        """Count a charge whose size has changed from `before_bytes`."""
        growth = charge.counted_bytes - before_bytes
        if growth < 0:
            self._release(-growth)
        else:
            self.used_bytes += growth

    def has_room(self, charge: InputCharge, wanted_bytes: int) -> bool:
        """Return whether a request may grow to `wanted_bytes` without being given room."""
        return (
            wanted_bytes <= SMALL_BYTES
            and not charge.is_refused
            and self._fits(charge, wanted_bytes)
        )

    def end_wait(self, charge: InputCharge) -> None:
        """Count a charge no longer as one that waits."""
        charge.waits_since_s = None
        self._waiting.discard(charge)

    def try_reserve(self, charge: InputCharge, wanted_bytes: int, now_s: float) -> bool:
        """Return whether a request may grow to `wanted_bytes`, and reserve room for it if so."""
        if charge.is_refused:
            return False
        if not self._fits(charge, wanted_bytes):
            if charge.waits_since_s is None:
                charge.waits_since_s = now_s
            # One that was woken may find the room taken again.
            self._waiting.add(charge)
            charge.wanted_bytes = wanted_bytes
            if self.is_closing:
                self._refuse(charge)
            return False
        if charge.waits_since_s is not None:
            # The sender could make no progress in the meantime.
            charge.waits_since_s = None
            charge.progressed_s = now_s
            self._waiting.discard(charge)
        self._reserve(charge, wanted_bytes)
        return True

    def relieve(self, now_s: float) -> None:
        """Refuse requests if others have waited for room too long.

        Notes
        -----
        A body that has waited for `MAX_ROOM_WAIT_S` is refused. After `ROOM_WAIT_S` those without
        progress are, the largest first, until there is room for all that have waited; if there are
        none, only the largest request is, which may be one that waits.
        """
        if now_s - self._checked_s < CHECK_EVERY_S:
            return
        self._checked_s = now_s
        overdue = []
        for charge in tuple(self._waiting):
            if charge not in self._waiting:
                # A refusal before it made room for it.
                continue
            waited_s = now_s - charge.waits_since_s
            if waited_s >= MAX_ROOM_WAIT_S:
                self._refuse(charge)
            elif waited_s >= ROOM_WAIT_S:
                overdue.append(charge)
        if not overdue or now_s - self._relieved_s < RELIEF_EVERY_S:
            return
        self._relieved_s = now_s
        stalled = self._stalled(now_s)
        needed = sum(charge.wanted_bytes for charge in overdue)
        for charge in stalled:
            if needed <= 0:
                break
            needed -= charge.counted_bytes - charge.kept_bytes
            self._refuse(charge)
        if not stalled:
            partial = [
                charge for charge in self._charges if charge.partial_bytes and not charge.is_refused
            ]
            self._refuse(max(partial or overdue, key=_size_order))

    def refuse_inactive(self, now_s: float) -> bool:
        """Refuse the largest request without progress, else the largest that waits for room.

        Returns
        -------
        bool
            Whether there was one.
        """
        stalled = self._stalled(now_s)
        largest = stalled[0] if stalled else max(self._waiting, key=_size_order, default=None)
        if largest is None:
            return False
        self._refuse(largest)
        return True

    def close(self) -> None:
        """Refuse all requests that wait for room, now and later."""
        self.is_closing = True
        for charge in tuple(self._waiting):
            self._refuse(charge)

    def _fits(self, charge: InputCharge, wanted_bytes: int) -> bool:
        if wanted_bytes <= SMALL_BYTES:
            return self.used_bytes < self.total_bytes
        if wanted_bytes <= charge.reserved_bytes:
            return True
        others = self.used_bytes - charge.counted_bytes + charge.kept_bytes
        if others + wanted_bytes <= self._large_bytes:
            return True
        # One body that is larger than the budget is allowed by the configuration.
        is_alone = not any(other.reserved_bytes for other in self._charges if other is not charge)
        return is_alone and wanted_bytes > self._large_bytes

    def _stalled(self, now_s: float) -> list[InputCharge]:
        stalled = [
            charge
            for charge in self._charges
            if charge.partial_bytes and not charge.is_refused and charge.is_stalled(now_s)
        ]
        return sorted(stalled, key=_size_order, reverse=True)

    def _refuse(self, charge: InputCharge) -> None:
        if charge.is_refused:
            return
        self.refused += 1
        self.refused_open += 1
        self._waiting.discard(charge)
        charge.refuse()

    def _reserve(self, charge: InputCharge, wanted_bytes: int) -> None:
        if wanted_bytes > max(SMALL_BYTES, charge.reserved_bytes):
            before = charge.counted_bytes
            charge.reserved_bytes = wanted_bytes
            self.used_bytes += charge.counted_bytes - before

    def _release(self, size: int) -> None:
        self.used_bytes -= size
        # Sorting all that wait at each release is slow while there are many and no room.
        if not size or not self._waiting or self.used_bytes >= self.total_bytes:
            return
        smallest = min(self._waiting, key=_size_order)
        if not self._fits(smallest, smallest.wanted_bytes):
            return
        # The smallest go first. Those that connect in the meantime must not get their room.
        for charge in sorted(self._waiting, key=_size_order):
            if not self._fits(charge, charge.wanted_bytes):
                break
            self._reserve(charge, charge.wanted_bytes)
            self._waiting.discard(charge)
            charge.on_change()


def _size_order(charge: InputCharge) -> tuple[int, bool]:
    """Order by size, of like ones those that wait last: they have sent the least."""
    is_waiting = charge.waits_since_s is not None
    wanted = charge.wanted_bytes if is_waiting else 0
    size = max(wanted, charge.counted_bytes - charge.kept_bytes)
    return size // SMALL_BYTES, is_waiting


def create_input_budget(
    max_memory_mb: int, max_connections: int, process_mb: int = PROCESS_MB
) -> InputBudget:
    """Create a budget of which nothing is used.

    Parameters
    ----------
    max_memory_mb : int
        Memory that the process may use, in MB; 0 if not known, for `DEFAULT_MEMORY_MB`.
    max_connections : int
        Most connections of callers; each takes memory of its own.
    process_mb : int
        Memory of the process while it serves nobody, in MB; by default that of a gateway.
    """
    memory_mb = max_memory_mb or DEFAULT_MEMORY_MB
    left_bytes = (memory_mb * (1 - MARGIN_SHARE) - process_mb - ANSWERS_MB) * MB
    left_bytes -= max_connections * CONNECTION_BYTES
    return InputBudget(max(int(left_bytes * BUDGETED_SHARE), MIN_TOTAL_BYTES))
