"""Numbered result codes: the outcome of a request, as reported to its caller.

The hundreds digit of a code is its class, so a caller can act on a code that it does not know.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "CODES",
    "CodeClass",
    "ResultCode",
    "ResultCodeInfo",
    "code_class",
    "describe_code",
    "read_code",
]


class CodeClass(IntEnum):
    """Whether the request ran; the value is the hundreds digit of the codes of the class.

    Attributes
    ----------
    COMPLETED
        Ran to its end.
    INVALID
        Rejected as invalid; it did not run.
    NOT_RUN
        Did not run; a retry is safe.
    UNKNOWN
        May have run.
    FAILED
        Ran, but failed, was cut off or lost its caller.
    """

    COMPLETED = 0
    INVALID = 1
    NOT_RUN = 2
    UNKNOWN = 3
    FAILED = 4


class ResultCode(IntEnum):
    """Outcome of a request; docs/CODES.md lists the codes with their meanings."""

    COMPLETED = 0

    BAD_REQUEST = 101
    UNAUTHENTICATED = 102
    NOT_ALLOWED = 103
    UNKNOWN_MODEL = 104
    UNKNOWN_SERVICE = 105
    UNKNOWN_TIER = 106
    BODY_TOO_LARGE = 107
    HEADERS_TOO_LARGE = 108
    BAD_DEADLINE = 109
    KEY_REUSED = 110
    TICKET_INVALID = 111
    PROTOCOL_MISMATCH = 112
    BAD_FRAME = 113
    REQUEST_TIMEOUT = 114
    NOT_FOUND = 115

    SHED = 201
    QUEUE_FULL = 202
    DEADLINE_UNREACHABLE = 203
    LIMIT_REQUESTS = 204
    LIMIT_TOKENS = 205
    LIMIT_LONG = 206
    TARGET_LEAVING = 207
    WITHDRAWN = 208
    NO_TARGET = 209
    TARGET_UNREACHABLE = 210
    CRASH_SUSPECT = 211
    RECORDS_FULL = 212
    DRAINING = 213
    CALLER_GONE = 214
    RETRY_BUDGET = 215
    DEADLINE_PASSED = 216
    NO_CONFIGURATION = 217
    WRONG_INCARNATION = 218
    MODEL_NOT_LOADED = 219
    PEER_BUSY = 260
    INTERNAL_ERROR = 220
    SUSPECT_WAITS = 221
    NOT_RUN_OTHER = 230

    OUTCOME_UNKNOWN = 301
    LINK_LOST = 302
    INCARNATION_GONE = 303
    TARGET_LOST = 304
    TICKET_EXPIRED = 305
    ANSWER_DROPPED = 306
    NOT_ASKED = 330

    TARGET_ERROR = 401
    TARGET_CRASHED = 402
    CUT_OFF = 403
    CANCELLED = 404
    ANSWER_TOO_LARGE = 405
    CALLER_LEFT = 430


class ResultCodeInfo(NamedTuple):
    """Row of the result code table.

    Attributes
    ----------
    http_status : int
        Status of an HTTP response that reports the code.
    message : str
        Meaning of the code, as sent to callers.
    """

    code: ResultCode
    http_status: int
    message: str


def code_class(code: int) -> CodeClass:
    """Return the class of a result code.

    Parameters
    ----------
    code : int
        Result code, listed in `CODES` or not.

    Returns
    -------
    CodeClass
        `UNKNOWN` for a number in no class: below 0, or 500 and above.

    Examples
    --------
    >>> code_class(ResultCode.SHED).name
    'NOT_RUN'
    >>> code_class(999).name
    'UNKNOWN'
    """
    hundreds = code // 100
    if hundreds in CodeClass._value2member_map_:
        return CodeClass(hundreds)
    return CodeClass.UNKNOWN


_TABLE = (
    ResultCodeInfo(ResultCode.COMPLETED, 200, "completed"),
    ResultCodeInfo(ResultCode.BAD_REQUEST, 400, "the request is malformed"),
    ResultCodeInfo(ResultCode.UNAUTHENTICATED, 401, "no known API key was given"),
    ResultCodeInfo(ResultCode.NOT_ALLOWED, 403, "the workspace may not do this"),
    ResultCodeInfo(ResultCode.UNKNOWN_MODEL, 404, "no such model"),
    ResultCodeInfo(ResultCode.UNKNOWN_SERVICE, 404, "no such service"),
    ResultCodeInfo(ResultCode.UNKNOWN_TIER, 400, "no such tier"),
    ResultCodeInfo(ResultCode.BODY_TOO_LARGE, 413, "the body is over the limit"),
    ResultCodeInfo(ResultCode.HEADERS_TOO_LARGE, 431, "the headers are over the limit"),
    ResultCodeInfo(ResultCode.BAD_DEADLINE, 400, "the deadline is not a positive number of ms"),
    ResultCodeInfo(ResultCode.KEY_REUSED, 422, "the key was used with another request"),
    ResultCodeInfo(
        ResultCode.TICKET_INVALID, 422, "the idempotency key is not a ticket issued for this"
    ),
    ResultCodeInfo(ResultCode.PROTOCOL_MISMATCH, 502, "the peer speaks another protocol version"),
    ResultCodeInfo(ResultCode.BAD_FRAME, 502, "the peer sent a frame that can't be read"),
    ResultCodeInfo(ResultCode.REQUEST_TIMEOUT, 408, "the request did not arrive whole in time"),
    ResultCodeInfo(ResultCode.NOT_FOUND, 404, "no such resource"),
    ResultCodeInfo(ResultCode.SHED, 503, "shed from the queue for work of a higher tier"),
    ResultCodeInfo(ResultCode.QUEUE_FULL, 503, "the queue is full"),
    ResultCodeInfo(ResultCode.DEADLINE_UNREACHABLE, 503, "no target can meet the deadline"),
    ResultCodeInfo(ResultCode.LIMIT_REQUESTS, 429, "the workspace is over its request rate"),
    ResultCodeInfo(ResultCode.LIMIT_TOKENS, 429, "the workspace is over its prompt token rate"),
    ResultCodeInfo(ResultCode.LIMIT_LONG, 429, "the workspace has too many long requests"),
    ResultCodeInfo(ResultCode.TARGET_LEAVING, 503, "the target is leaving"),
    ResultCodeInfo(ResultCode.WITHDRAWN, 503, "withdrawn before it was dispatched"),
    ResultCodeInfo(ResultCode.NO_TARGET, 503, "no target may serve this now"),
    ResultCodeInfo(ResultCode.TARGET_UNREACHABLE, 503, "the target can't be reached"),
    ResultCodeInfo(ResultCode.CRASH_SUSPECT, 422, "this request has crashed targets"),
    ResultCodeInfo(ResultCode.RECORDS_FULL, 503, "no room for another idempotency record"),
    ResultCodeInfo(ResultCode.DRAINING, 503, "the instance is shutting down"),
    ResultCodeInfo(ResultCode.CALLER_GONE, 499, "the caller left before dispatch"),
    ResultCodeInfo(ResultCode.RETRY_BUDGET, 503, "not run, and the retry budget is spent"),
    ResultCodeInfo(ResultCode.DEADLINE_PASSED, 504, "the deadline passed before dispatch"),
    ResultCodeInfo(ResultCode.NO_CONFIGURATION, 503, "no configuration has been received yet"),
    ResultCodeInfo(ResultCode.WRONG_INCARNATION, 503, "the process was replaced by another"),
    ResultCodeInfo(ResultCode.MODEL_NOT_LOADED, 503, "the target has not loaded this model"),
    ResultCodeInfo(ResultCode.SUSPECT_WAITS, 503, "another crash suspect is at the target"),
    ResultCodeInfo(ResultCode.INTERNAL_ERROR, 500, "an error before it was offered"),
    ResultCodeInfo(ResultCode.NOT_RUN_OTHER, 503, "not run, for a reason not known here"),
    ResultCodeInfo(ResultCode.PEER_BUSY, 503, "too many peers wait at this one"),
    ResultCodeInfo(ResultCode.OUTCOME_UNKNOWN, 502, "it can't be known whether this ran"),
    ResultCodeInfo(ResultCode.LINK_LOST, 504, "the target's sidecar can't be asked any more"),
    ResultCodeInfo(ResultCode.INCARNATION_GONE, 502, "the process that knew was replaced"),
    ResultCodeInfo(ResultCode.TARGET_LOST, 502, "the target went silent after dispatch"),
    ResultCodeInfo(ResultCode.TICKET_EXPIRED, 409, "the ticket's record may be gone"),
    ResultCodeInfo(ResultCode.ANSWER_DROPPED, 502, "ran, but the answer is no longer held"),
    ResultCodeInfo(
        ResultCode.NOT_ASKED, 503, "refused here; not asked whether the key was used before"
    ),
    ResultCodeInfo(ResultCode.TARGET_ERROR, 502, "the target answered with an error"),
    ResultCodeInfo(ResultCode.TARGET_CRASHED, 502, "the target failed while it ran this"),
    ResultCodeInfo(ResultCode.CUT_OFF, 502, "a forced shutdown cut the answer off"),
    ResultCodeInfo(ResultCode.CANCELLED, 499, "cancelled while it ran"),
    ResultCodeInfo(ResultCode.ANSWER_TOO_LARGE, 502, "the answer is over the limit"),
    ResultCodeInfo(ResultCode.CALLER_LEFT, 499, "ran, but the caller left before its answer"),
)

CODES: dict[int, ResultCodeInfo] = {int(row.code): row for row in _TABLE}


def describe_code(code: int) -> ResultCodeInfo:
    """Return the table row of a code, that of `OUTCOME_UNKNOWN` for an unlisted one."""
    return CODES.get(code, CODES[ResultCode.OUTCOME_UNKNOWN])


_GENERAL_CODE_OF_CLASS = {
    CodeClass.COMPLETED: ResultCode.COMPLETED,
    CodeClass.INVALID: ResultCode.BAD_REQUEST,
    CodeClass.NOT_RUN: ResultCode.NOT_RUN_OTHER,
    CodeClass.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
    CodeClass.FAILED: ResultCode.TARGET_ERROR,
}


def read_code(number: int) -> ResultCode:
    """Return the code with a number sent by a peer, or a general code of the number's class.

    A peer of a newer release may send numbers that are not in `CODES`.

    Examples
    --------
    >>> read_code(201).name
    'SHED'
    >>> read_code(299).name
    'NOT_RUN_OTHER'
    >>> read_code(-5).name
    'OUTCOME_UNKNOWN'
    """
    if number in CODES:
        return ResultCode(number)
    return _GENERAL_CODE_OF_CLASS[code_class(number)]
