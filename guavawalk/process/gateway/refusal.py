"""Refused calls: when their callers may retry, and which calls return when told.

The load handled is callers that retry together after a refusal, and callers that do not wait. The
times are spread by request, and a call that returns when told goes before new calls of its
workspace and rank.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import xxhash

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.gateway.queue_reports import WaitingCalls
from guavawalk.process.gateway.service_queue import ServiceQueue
from guavawalk.process.gateway.waiting import Waiter
from guavawalk.request.call import Call

__all__ = [
    "MAX_RETRY_AFTER_SHARE",
    "RefusalReason",
    "ReturnTable",
    "create_return_table",
    "queue_refusal",
    "retry_delay_s",
]

# Longest retry time given to a caller, as a share of the time left to the call's deadline; callers
# ignore longer ones.
MAX_RETRY_AFTER_SHARE = 0.3
# Bounds of the time after which a refused caller may retry, in seconds.
MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
# Factors on the retry time by the rank of the call, the last one for all others, and on that of a
# workspace that has received nothing, compared with one that has received most.
RANK_FACTORS = (0.6, 0.8, 1.0)
LEAST_SERVED_FACTOR = 0.5
# Part of the time it was told that a caller must have waited, to allow for rounding and clocks.
MIN_WAITED_SHARE = 0.9
# Time after the told one up to which a call counts as returning, in seconds.
RETURN_SPAN_S = 2.0
# Most refused calls that are remembered; the oldest are dropped first.
MAX_RETURNS = 4_096


class RefusalReason(Enum):
    """Why a call that waits, or would have to, is refused; the value is for the log."""

    NO_TIME = "no time to wait"
    TOO_LATE = "its turn would come too late"
    OVERTAKEN = "calls that go before it came"
    SHARE = "for a workspace below its share"
    LATE = "late, and calls on time go before it"
    NO_SLOT = "no slot became free"


def retry_delay_s(
    call: Call, backlog_s: float, share: float, quiet_s: float, now_s: float
) -> float:
    """Return the time after which the caller of a refused call may retry, in seconds.

    Parameters
    ----------
    backlog_s : float
        Time that the targets need for all waiting and recently refused calls of the service.
    share : float
        What the call's workspace has received compared with the one that has received most, from 0
        to 1.
    quiet_s : float
        Time for which no target wants calls; 0 if one does.

    Notes
    -----
    It is spread by the request id over a factor of 2, and is longer than `MAX_RETRY_AFTER_SHARE` of
    the time left only if no target wants calls before.
    """
    spread = xxhash.xxh3_64_intdigest(call.fields.request_id.encode()) / 2**64
    longest_s = min(MAX_RETRY_S, MAX_RETRY_AFTER_SHARE * max(call.deadline_s - now_s, 0.0))
    factor = RANK_FACTORS[min(max(call.rank, 0), len(RANK_FACTORS) - 1)]
    factor *= LEAST_SERVED_FACTOR + (1.0 - LEAST_SERVED_FACTOR) * share
    shortest_s = min(factor * min(backlog_s, longest_s / 2), longest_s / 2)
    shortest_s = max(shortest_s, min(MIN_RETRY_S, longest_s / 2))
    delay_s = shortest_s * (1.0 + spread)
    return delay_s if delay_s >= quiet_s else quiet_s + MIN_RETRY_S * spread


def queue_refusal(
    queue: ServiceQueue,
    waiter: Waiter,
    reason: RefusalReason,
    reported: Iterable[WaitingCalls],
    quiet_s: float,
    now_s: float,
) -> RequestError:
    """Return the refusal of a call of a queue, with its retry time, and record it in the queue.

    Parameters
    ----------
    reported : iterable of WaitingCalls
        Calls of the service that wait at other gateways.
    quiet_s : float
        Time for which no target wants calls, in seconds; 0 if one does.
    """
    queue.record_refusal(now_s)
    rate = departures = queue.departure_rate(now_s)
    backlog = len(queue.waiters) + queue.refusal_rate(now_s)
    for calls in reported:
        backlog += calls.count
        departures += calls.departures
    share = queue.waiters.share_of_largest(waiter, now_s)
    delay_s = retry_delay_s(waiter.call, backlog / max(departures, 1.0), share, quiet_s, now_s)
    before = queue.waiters.count_before(waiter, now_s)
    detail = (
        f"{reason.value}; {before} of {len(queue.waiters)} waiting go before, {rate:.0f} leave"
        f" each second, workspace at {share:.2f} of the largest"
    )
    return RequestError(ResultCode.QUEUE_FULL, detail, retry_after_ms=int(delay_s * 1000))


class _Return(NamedTuple):
    from_s: float
    until_s: float


class ReturnTable:
    """Refused calls by workspace, route, rank and fingerprint, with when they were told to return.

    Attributes
    ----------
    punctual, early : int
        Number of calls that returned when told, and of those that returned sooner.
    """

    def __init__(self) -> None:
        self._returns: OrderedDict[tuple[str, str, int, int], _Return] = OrderedDict()
        self.punctual = 0
        self.early = 0

    def __len__(self) -> int:
        """Return the number of remembered calls."""
        return len(self._returns)

    def record(self, call: Call, delay_s: float, now_s: float) -> None:
        """Record that a call was refused, and told to return after `delay_s` seconds."""
        key = _key(call)
        from_s = now_s + MIN_WAITED_SHARE * delay_s
        self._returns[key] = _Return(from_s, now_s + delay_s + RETURN_SPAN_S)
        self._returns.move_to_end(key)
        if len(self._returns) > MAX_RETURNS:
            self._returns.popitem(last=False)

    def pop(self, call: Call, now_s: float) -> bool:
        """Forget a call that arrives; return whether it returns when it was told to.

        Notes
        -----
        One that comes too early is forgotten too, so that repeats in between gain nothing.
        """
        if not self._returns:
            return False
        known = self._returns.pop(_key(call), None)
        if known is None or now_s > known.until_s:
            return False
        if now_s < known.from_s:
            self.early += 1
            return False
        self.punctual += 1
        return True


def _key(call: Call) -> tuple[str, str, int, int]:
    return (call.workspace.name, call.route.name, call.rank, call.fingerprint)


def create_return_table() -> ReturnTable:
    """Create a table without refused calls."""
    return ReturnTable()
