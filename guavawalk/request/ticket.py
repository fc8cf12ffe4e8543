"""The readable form of an idempotency ticket."""

from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError

__all__ = ["TICKET_PREFIX", "TicketFields", "read_ticket"]

TICKET_PREFIX = "gw1"


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
    parts = text.split("~")
    if len(parts) != 6 or parts[0] != TICKET_PREFIX:
        raise RequestError(
            ResultCode.TICKET_INVALID,
            "the idempotency key must be a ticket; get one by POST /v1/tickets",
        )
    try:
        return TicketFields(parts[1], int(parts[2], 16), int(parts[3]), parts[4], parts[5])
    except ValueError as error:
        raise RequestError(ResultCode.TICKET_INVALID) from error
