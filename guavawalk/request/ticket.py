"""The readable form of an idempotency ticket."""

import re
from typing import NamedTuple

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.exception import RequestError

__all__ = ["TICKET_PREFIX", "TicketFields", "read_ticket", "refusal_code"]

TICKET_PREFIX = "gw1"

# One ticket has one spelling, since a record is found by the text.
_FORM = re.compile(
    TICKET_PREFIX + r"~(.+)~([1-9a-f][0-9a-f]{0,15})~(0|[1-9][0-9]{0,17})"
    r"~([0-9a-f]{16})~([0-9a-f]{32})"
)


class TicketFields(NamedTuple):
    """The readable part of a ticket.

    Attributes
    ----------
    issued_ms : int
        On the issuing sidecar's own monotonic clock.
    """

    target: str
    incarnation: int
    issued_ms: int
    nonce: str
    mac: str


def read_ticket(text: str) -> TicketFields:
    """Read a ticket without checking that it is genuine.

    Raises
    ------
    RequestError
        `TICKET_INVALID` if it does not have a ticket's form.
    """
    found = _FORM.fullmatch(text)
    if found is None:
        raise RequestError(
            ResultCode.TICKET_INVALID,
            "the idempotency key must be a ticket; get one by POST /v1/tickets",
        )
    target, incarnation, issued_ms, nonce, mac = found.groups()
    return TicketFields(target, int(incarnation, 16), int(issued_ms), nonce, mac)


def refusal_code(code: ResultCode, key: str) -> ResultCode:
    """Return the code that an entry may tell for its own refusal of a request.

    Notes
    -----
    An earlier request with the same key may have run, and only the sidecar that issued the
    ticket knows.

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
