"""Issues idempotency tickets, and records the call made with each ticket."""

import hashlib
import hmac
import secrets
from typing import NamedTuple

from sortedcontainers import SortedDict

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.attempt import Attempt
from guavawalk.request.ticket import TICKET_PREFIX, TicketFields, read_ticket
from guavawalk.request.types import Offer

__all__ = ["TICKET_TTL_S", "Records", "create_records", "ticket_scope"]

# Lifetime of a ticket.
TICKET_TTL_S = 24 * 3600.0
# Length of the truncated MAC in a ticket, in hexadecimal digits.
MAC_CHARS = 32


class Record(NamedTuple):
    """The only call made with a ticket.

    Attributes
    ----------
    body_digest : bytes
        Digest of the request's method, path, adapter and body.
    attempt : Attempt or None
        None once its answer has been dropped.
    """

    body_digest: bytes
    attempt: Attempt | None


class Records:
    """Tickets and call records of one sidecar incarnation.

    Notes
    -----
    Only the incarnation that issued a ticket can verify it, since the MAC key is generated at start
    and never leaves the process. The record of a call that ran is removed only after its ticket
    has expired, and an expired ticket is refused. A full table refuses new calls and new tickets.
    Records are in the order in which their tickets were issued, so the expired ones come first.
    Times of issue are on the clock of this process, since no other incarnation reads them.
    """

    def __init__(self, target: str, incarnation: int, capacity: int) -> None:
        self._target = target
        self._incarnation = incarnation
        self._capacity = capacity
        self._key = secrets.token_bytes(32)
        self._records: SortedDict = SortedDict()

    def issue(self, scope: str, now_s: float) -> str:
        """Issue a ticket for one call in a scope (workspace and service or model).

        Raises
        ------
        RequestError
            `RECORDS_FULL` if a call with the ticket would be refused now.
        """
        self._make_room(now_s)
        nonce = secrets.token_hex(8)
        issued_ms = int(now_s * 1000)
        mac = self._mac(scope, issued_ms, nonce)
        fields = (TICKET_PREFIX, self._target, f"{self._incarnation:x}", str(issued_ms), nonce, mac)
        return "~".join(fields)

    def find(self, offer: Offer, now_s: float) -> Attempt | None:
        """Return the attempt made with the offer's ticket, or None if there is none.

        Raises
        ------
        RequestError
            `INCARNATION_GONE` if another target or incarnation issued the ticket, `TICKET_INVALID`,
            `TICKET_EXPIRED`, `KEY_REUSED` if the recorded request differs from this one, or
            `ANSWER_DROPPED` if its answer is no longer kept.
        """
        fields = read_ticket(offer.idempotency_key)
        if fields.target != self._target or fields.incarnation != self._incarnation:
            raise RequestError(ResultCode.INCARNATION_GONE)
        expected = self._mac(ticket_scope(offer), fields.issued_ms, fields.nonce)
        if not hmac.compare_digest(expected, fields.mac):
            raise RequestError(ResultCode.TICKET_INVALID)
        if _has_expired(fields.issued_ms, now_s):
            raise RequestError(ResultCode.TICKET_EXPIRED)
        record = self._records.get(_key(fields))
        if record is None:
            return None
        if record.body_digest != _body_digest(offer):
            raise RequestError(ResultCode.KEY_REUSED)
        if record.attempt is None:
            raise RequestError(ResultCode.ANSWER_DROPPED)
        return record.attempt

    def add(self, attempt: Attempt, now_s: float) -> None:
        """Record the attempt of a ticket.

        Raises
        ------
        RequestError
            `RECORDS_FULL` if the table is full and no record has expired.
        """
        self._make_room(now_s)
        key = _key(read_ticket(attempt.offer.idempotency_key))
        self._records[key] = Record(_body_digest(attempt.offer), attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove the record of an attempt that was not run; its ticket may be used again."""
        key = _key(read_ticket(attempt.offer.idempotency_key))
        record = self._records.get(key)
        if record is not None and record.attempt is attempt:
            del self._records[key]

    def drop_answer(self, attempt: Attempt) -> None:
        """Keep only the fact that an attempt ran, when its answer is dropped."""
        if not attempt.offer.idempotency_key:
            return
        key = _key(read_ticket(attempt.offer.idempotency_key))
        record = self._records.get(key)
        if record is not None and record.attempt is attempt:
            self._records[key] = record._replace(attempt=None)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def _make_room(self, now_s: float) -> None:
        while self._records and _has_expired(self._records.peekitem(0)[0].issued_ms, now_s):
            self._records.popitem(0)
        if len(self._records) >= self._capacity:
            raise RequestError(ResultCode.RECORDS_FULL)

    def _mac(self, scope: str, issued_ms: int, nonce: str) -> str:
        text = f"{scope}\0{issued_ms}\0{nonce}".encode()
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()[:MAC_CHARS]


class RecordKey(NamedTuple):
    """Key by which records are found and ordered."""

    issued_ms: int
    nonce: str


def _key(fields: TicketFields) -> RecordKey:
    return RecordKey(fields.issued_ms, fields.nonce)


def _has_expired(issued_ms: int, now_s: float) -> bool:
    return now_s - issued_ms / 1000 > TICKET_TTL_S


def ticket_scope(offer: Offer) -> str:
    """Return the scope to which a ticket is bound: the workspace, and the service or model."""
    return f"{offer.workspace}\0{offer.service_path}\0{offer.model}"


def _body_digest(offer: Offer) -> bytes:
    text = f"{offer.method}\0{offer.path}\0{offer.adapter}\0".encode() + offer.body
    return hashlib.blake2b(text, digest_size=16).digest()


def create_records(target: str, incarnation: int, capacity: int) -> Records:
    """Create an empty table for a sidecar incarnation, with room for `capacity` records."""
    return Records(target, incarnation, capacity)
