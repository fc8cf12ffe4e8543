"""Parses idempotency tickets, which callers send as idempotency keys."""

import re
from typing import NamedTuple

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.exception import RequestError

__all__ = ["TICKET_PREFIX", "TicketFields", "read_ticket", "refusal_code"]

TICKET_PREFIX = "gw1"

# Each ticket has exactly one spelling, since records are looked up by the ticket's text.
_TICKET_PATTERN = re.compile(
    TICKET_PREFIX + r"~(.+)~([1-9a-f][0-9a-f]{0,15})~(0|[1-9][0-9]{0,17})"
    r"~([0-9a-f]{16})~([0-9a-f]{32})"
)


class TicketFields(NamedTuple):
    """Fields of a ticket.

    Attributes
    ----------
    target : str
        Name of the target whose sidecar issued the ticket.
    incarnation : int
        Identifies the run of the sidecar's process in which the ticket was issued.
    issued_ms : int
        Time of issue on the sidecar's monotonic clock, in milliseconds.
    nonce, mac : str
        Random number and message authentication code, in hex.
    """

    target: str
    incarnation: int
    issued_ms: int
    nonce: str
    mac: str


def read_ticket(text: str) -> TicketFields:
    """Parse a ticket without verifying its message authentication code.

    Raises
    ------
    RequestError
        `TICKET_INVALID` if the text does not have the form of a ticket.
    """
    match = _TICKET_PATTERN.fullmatch(text)
    if match is None:
        raise RequestError(
            ResultCode.TICKET_INVALID,
            "the idempotency key must be a ticket; get one by POST /v1/tickets",
        )
    target, incarnation, issued_ms, nonce, mac = match.groups()
    return TicketFields(target, int(incarnation, 16), int(issued_ms), nonce, mac)


def refusal_code(code: ResultCode, key: str) -> ResultCode:
    """Return the code with which an entry refuses a request without asking a sidecar.

    Parameters
    ----------
    key : str
        Idempotency key of the request; empty without one.

    Returns
    -------
    ResultCode
        `NOT_ASKED` in place of a code that states "not run" if the request has a key; otherwise
        `code`.

    Notes
    -----
    An entry can't state "not run" for a request with a key: an earlier request with the same key
    may have run, which only the sidecar that issued the ticket knows.

    Examples
    --------
    >>> refusal_code(ResultCode.LIMIT_REQUESTS, "").name
    'LIMIT_REQUESTS'
    >>> refusal_code(ResultCode.LIMIT_REQUESTS, "gw1~").name
    'NOT_ASKED'
    """
    if key and code_class(code) is CodeClass.NOT_RUN:
        return ResultCode.NOT_ASKED
    return code
