"""Decides after an attempt whether to retry the request or which answer to send to the caller.

No other module decides whether a request may be sent again.
"""

from enum import Enum
from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.request.call import Call
from guavawalk.version.routes import Route

__all__ = ["AttemptEnd", "AttemptResult", "NextStep", "StepKind", "decide_next", "may_repeat"]


class AttemptResult(Enum):
    """Result of one attempt at a target; `AttemptEnd` describes the members."""

    DELIVERED = "delivered"
    UNREACHED = "unreached"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    LOST = "lost"
    SILENT = "silent"
    UNNEEDED = "unneeded"


class AttemptEnd(NamedTuple):
    """The end of one attempt.

    Attributes
    ----------
    result : AttemptResult
        `DELIVERED`: the answer was sent on in full. `UNREACHED`: nothing was sent. `NOT_RUN`: the
        target stated that it didn't run the request. `MISDIRECTED`: another target has the address
        now, and stated that it didn't run the request. `FAILED`: the target ran it and answered
        with an error. `LOST`: the connection ended before the answer did, or the answer doesn't
        prove whether the request has run. `SILENT`: no data arrived in time, and another target has
        begun to answer. `UNNEEDED`: it was made while another target was silent, which then
        answered.
    detail : str
        Cause for the log; empty if there is nothing to add.
    """

    result: AttemptResult
    detail: str = ""


class StepKind(Enum):
    """Action after an attempt; `NextStep` describes the members."""

    FINISHED = "finished"
    REPEAT = "repeat"
    RELAY = "relay"
    REFUSE = "refuse"
    FAIL = "fail"
    BREAK = "break"


class NextStep(NamedTuple):
    """Action after an attempt.

    Attributes
    ----------
    kind : StepKind
        `FINISHED`: the answer was delivered. `REPEAT`: retry at another target. `RELAY`: send the
        target's error answer to the caller. `REFUSE`: answer that the request has not run.
        `FAIL`: answer that its outcome is unknown. `BREAK`: end an answer that has been sent in
        part as incomplete.
    code : ResultCode
        Code for the caller; `COMPLETED` for `FINISHED`, and without meaning for `REPEAT`.
    """

    kind: StepKind
    code: ResultCode = ResultCode.COMPLETED


_NOTHING_RAN = (AttemptResult.UNREACHED, AttemptResult.NOT_RUN, AttemptResult.MISDIRECTED)


def may_repeat(route: Route, sent: int) -> bool:
    """Return whether a request that may have run at `sent` targets may be sent to another one."""
    return route.is_idempotent and sent < route.max_targets


def decide_next(
    call: Call, end: AttemptEnd, sent: int, has_run: bool, has_begun: bool, may_retry: bool
) -> NextStep:
    """Decide how to continue after an attempt.

    Parameters
    ----------
    sent : int
        Number of targets that the request has been sent to, misdirected attempts excluded.
    has_run : bool
        Whether this attempt or an earlier one may have run.
    has_begun : bool
        Whether part of an answer has been sent to the caller.
    may_retry : bool
        Whether the deadline and the retry budget allow another attempt.

    Notes
    -----
    A request is retried only if its route is idempotent, or if the attempt certainly did not run.
    """
    result = end.result
    if result is AttemptResult.DELIVERED:
        return NextStep(StepKind.FINISHED)
    route = call.route
    nothing_ran = result in _NOTHING_RAN
    may_repeat = nothing_ran or route.is_idempotent
    # An unreached or misdirected attempt does not count: `max_targets` does not limit its retry.
    is_uncounted = result in (AttemptResult.UNREACHED, AttemptResult.MISDIRECTED)
    if may_repeat and may_retry and (is_uncounted or sent < route.max_targets):
        return NextStep(StepKind.REPEAT)
    if has_begun:
        return NextStep(StepKind.BREAK, ResultCode.TARGET_LOST)
    if result is AttemptResult.FAILED:
        return NextStep(StepKind.RELAY, ResultCode.TARGET_ERROR)
    if nothing_ran and not has_run:
        code = ResultCode.TARGET_UNREACHABLE
        if result is AttemptResult.NOT_RUN:
            code = ResultCode.QUEUE_FULL
        return NextStep(StepKind.REFUSE, code)
    return NextStep(StepKind.FAIL, ResultCode.TARGET_LOST)
