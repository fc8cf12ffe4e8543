"""What an attempt's end allows next: another attempt, or which answer to the caller.

This is the one place that decides whether a request may be sent again.
"""

from enum import Enum
from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.request.call import Call

__all__ = ["AttemptEnd", "AttemptResult", "NextStep", "StepKind", "decide_next"]


class AttemptResult(Enum):
    """How one attempt at a target ended."""

    DELIVERED = "delivered"
    UNREACHED = "unreached"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    LOST = "lost"
    SILENT = "silent"


class AttemptEnd(NamedTuple):
    """The end of one attempt.

    Attributes
    ----------
    result : AttemptResult
        `UNREACHED`: nothing was sent. `NOT_RUN`, `MISDIRECTED`: the target stated that it didn't
        run it. `FAILED`: the target answered with an error of its own, so it ran. `LOST`: the
        connection ended before the answer did. `SILENT`: nothing came for too long.
    """

    result: AttemptResult
    detail: str = ""


class StepKind(Enum):
    """What to do after an attempt."""

    FINISHED = "finished"
    REPEAT = "repeat"
    RELAY = "relay"
    REFUSE = "refuse"
    FAIL = "fail"
    BREAK = "break"


class NextStep(NamedTuple):
    """What to do after an attempt, with the code for the caller where it ends the request."""

    kind: StepKind
    code: ResultCode = ResultCode.COMPLETED


_NOTHING_RAN = (AttemptResult.UNREACHED, AttemptResult.NOT_RUN, AttemptResult.MISDIRECTED)


def decide_next(
    call: Call, end: AttemptEnd, sent: int, has_run: bool, has_begun: bool, may_retry: bool
) -> NextStep:
    """Decide what follows an attempt.

    Parameters
    ----------
    sent : int
        Targets that the request has been sent to, those that were not the one meant left out.
    has_run : bool
        Whether some attempt, this one or an earlier one, may have run.
    has_begun : bool
        Whether part of an answer has gone to the caller.
    may_retry : bool
        Whether time and the retry budget allow another attempt.
    """
    result = end.result
    if result is AttemptResult.DELIVERED:
        return NextStep(StepKind.FINISHED)
    route = call.route
    nothing_ran = result in _NOTHING_RAN
    may_repeat = nothing_ran or route.is_idempotent
    # An attempt that reached nobody, or another target than the one meant, takes no place.
    is_free = result in (AttemptResult.UNREACHED, AttemptResult.MISDIRECTED)
    if may_repeat and may_retry and (is_free or sent < route.max_targets):
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
