"""Decodes and encodes HTTP headers of callers' requests and targets' answers.

The names of headers and the meanings of statuses are those of the platform.
"""

import re
from collections.abc import Iterable, Sequence

from guavawalk.codes import CodeClass, ResultCode, code_class, describe_code
from guavawalk.connection.http_encoding import Header
from guavawalk.connection.response_reader import ResponseHead
from guavawalk.exception import HttpInvalid
from guavawalk.request.call import CallFields, PromptPart
from guavawalk.request.target_answer import AnswerFields

__all__ = [
    "decode_answer",
    "decode_call",
    "decode_caller",
    "encode_retry_after",
    "encode_status",
    "encode_target_headers",
    "is_misdirected",
]

DEADLINE = b"Deadline-Ms"
EXPECTED_TARGET = b"Expect-Instance"
WORKSPACE = b"Tenant"
LAST_EVENT_ID = b"Last-Event-Id"
RETRY_AFTER = b"Retry-After"
SERVER_STAMP = b"server-stamp"
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
BEARER_PREFIX = "bearer "
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Longest time for which a target is left quiet, in seconds. A target that wants longer is to leave;
# a longer time is taken for a fault, and for this one.
MAX_QUIET_S = 300.0
_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Largest number of tokens, seconds or milliseconds that is read from a header; a larger one means
# as much to a scheduler. Its digits, with leading zeros, are read up to `MAX_DIGITS`.
MAX_NUMBER = 10**9
MAX_DIGITS = 100
# Statuses that promise a caller that its request has not run.
NOT_RUN_STATUSES = (429, UNAVAILABLE_STATUS)

# Headers that concern one connection only and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that may occur once at most in a request.
SINGLE = frozenset((b"host", b"request-id", b"deadline-ms", b"authorization", b"token-count"))
# Request headers that only the gateway may set; those sent by a caller are dropped.
RESERVED = frozenset(
    (
        b"authorization",
        b"deadline-ms",
        b"expect-instance",
        b"tenant",
        b"last-event-id",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
NOT_FORWARDED = HOP_BY_HOP | RESERVED


def decode_call(headers: Sequence[Header]) -> CallFields:
    """Decode the headers of a caller's request.

    A field is empty or 0 if its header is absent; the caller's time-out is None. A length hint that
    is not a number is ignored.

    Raises
    ------
    HttpInvalid
        With status 400 if the request id is missing, a header that may occur once occurs twice, or
        the deadline, the token counts or the prompt's parts can't be parsed.
    """
    values: dict[bytes, str] = {}
    forwarded: list[Header] = []
    connection_options = _connection_options(headers)
    for name, value in headers:
        lower = name.lower()
        if lower in SINGLE and lower in values:
            raise HttpInvalid(400, f"header {name.decode('latin-1')} occurs twice")
        values[lower] = value.decode("latin-1")
        if lower not in NOT_FORWARDED and lower not in connection_options:
            forwarded.append((name, value))
    request_id = values.get(b"request-id", "")
    if not request_id:
        raise HttpInvalid(400, "the request id is missing")
    prompt_tokens, output_tokens = _token_counts(values.get(b"token-count", ""))
    return CallFields(
        request_id=request_id,
        host=values.get(b"host", ""),
        key=_api_key(values.get(b"authorization", "")),
        caller_timeout_s=_timeout_s(values.get(b"deadline-ms")),
        model=values.get(b"model", ""),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        hinted_output_tokens=_length_hint(values.get(b"length-hint", "")),
        prompt_parts=_prompt_parts(values.get(b"prompt-prefix", "")),
        last_event_id=values.get(b"last-event-id", ""),
        forwarded_headers=tuple(forwarded),
    )


def decode_caller(headers: Sequence[Header]) -> tuple[str, str]:
    """Decode the host and the API key of a request, each empty if it is absent."""
    host = key = ""
    for name, value in headers:
        lower = name.lower()
        if lower == b"host":
            host = value.decode("latin-1")
        elif lower == b"authorization":
            key = _api_key(value.decode("latin-1"))
    return host, key


def _connection_options(headers: Iterable[Header]) -> set[bytes]:
    """Return the lower-case names of the headers that `Connection` marks as hop-by-hop.

    Notes
    -----
    A caller can't remove the host or the request id from its request this way.
    """
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(token.strip().lower() for token in value.split(b","))
    return options - {b"host", b"request-id"}


def _api_key(value: str) -> str:
    return value[len(BEARER_PREFIX) :].strip() if value.lower().startswith(BEARER_PREFIX) else ""


def _timeout_s(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        timeout_ms = int(value)
    except ValueError as error:
        raise HttpInvalid(400, f"deadline: found {value!r:.40}, allowed is an integer") from error
    return min(max(timeout_ms, 0), MAX_NUMBER) / 1000


def _token_counts(value: str) -> tuple[int, int]:
    """Return the tokens of the prompt and the most tokens of the answer; 0 where not stated."""
    if not value:
        return 0, 0
    try:
        prompt, _, output = value.partition(",")
        prompt_tokens, output_tokens = int(prompt), int(output or 0)
    except ValueError as error:
        raise HttpInvalid(
            400, f"token counts: found {value!r:.40}, allowed are two integers"
        ) from error
    return min(max(prompt_tokens, 0), MAX_NUMBER), min(max(output_tokens, 0), MAX_NUMBER)


def _length_hint(value: str) -> int:
    return _bounded(value) if value.isdecimal() else 0


def _bounded(digits: str) -> int:
    """Return the number of some digits, `MAX_NUMBER` if it is larger."""
    return MAX_NUMBER if len(digits) > MAX_DIGITS else min(int(digits), MAX_NUMBER)


def _prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, value.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        if not tokens.isdecimal():
            raise HttpInvalid(400, f"prompt parts: found {value!r:.80}, allowed is id:tokens")
        parts.append(PromptPart(part_id, _bounded(tokens)))
    return tuple(parts)


def encode_target_headers(
    fields: CallFields,
    target_id: str,
    workspace: str,
    remaining_s: float,
    last_event_id: str = "",
) -> list[Header]:
    """Return the headers of a request as it is sent to a target.

    Parameters
    ----------
    target_id : str
        Target that is to run the request; another one at its address rejects it.
    workspace : str
        Name of the caller's workspace; empty for an anonymous request.
    remaining_s : float
        Time left until the caller's deadline, in seconds; 1 ms is sent at least.
    last_event_id : str, optional
        Event after which the target resumes a stream; empty to start at its beginning.
    """
    headers = list(fields.forwarded_headers)
    headers.append((DEADLINE, b"%d" % max(int(remaining_s * 1000), 1)))
    headers.append((EXPECTED_TARGET, target_id.encode("latin-1")))
    if workspace:
        headers.append((WORKSPACE, workspace.encode("latin-1")))
    if last_event_id:
        headers.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    return headers


def encode_status(code: ResultCode) -> int:
    """Return the HTTP status for a result that the gateway itself decided.

    Notes
    -----
    Callers rely on 429 and 503 to mean that the request has not run; most other failures promise
    nothing. Every code of the class `NOT_RUN` is sent as one of the two.
    """
    status = describe_code(code).http_status
    if code_class(code) is CodeClass.NOT_RUN and status not in NOT_RUN_STATUSES:
        return UNAVAILABLE_STATUS
    return status


def encode_retry_after(wait_s: float) -> Header:
    """Return the header with the seconds after which a caller may retry, rounded to 0.01 s."""
    return RETRY_AFTER, b"%.2f" % wait_s


def is_misdirected(status: int) -> bool:
    """Return whether a status means that another target is at the address, and ran nothing."""
    return status == MISDIRECTED_STATUS


def decode_answer(head: ResponseHead) -> AnswerFields:
    """Decode the status and headers of a target's answer.

    Notes
    -----
    An answer with a content encoding doesn't count as stamped: an encoded body is not the one that
    the target signed. A target leaves if any of its headers says so with the value 1; other values
    and trailers say nothing. Of several times in which it wants to be quiet the longest counts.
    """
    forwarded: list[Header] = []
    request_id = ""
    is_not_run = is_misdirected(head.status)
    is_stamped = is_encoded = False
    idle_s: float | None = None
    is_leaving = is_quiet_invalid = False
    quiet_s: float | None = None
    connection_options = _connection_options(head.headers)
    for name, value in head.headers:
        lower = name.lower()
        if lower == b"not-executed":
            is_not_run = True
            continue
        if lower == b"request-id":
            request_id = value.decode("latin-1")
        elif lower == SERVER_STAMP:
            is_stamped = True
        elif lower == b"content-encoding":
            is_encoded = value.strip().lower() != b"identity"
        elif lower == b"keep-alive":
            idle_s = _idle_timeout_s(value)
        elif lower == LEAVING:
            is_leaving |= value.strip() == LEAVING_VALUE
        elif lower == b"retry-after" and head.status == UNAVAILABLE_STATUS:
            stated_s = _quiet_s(value)
            is_quiet_invalid |= stated_s is None or stated_s > MAX_QUIET_S
            if stated_s is not None:
                quiet_s = max(min(stated_s, MAX_QUIET_S), quiet_s or 0.0)
        if lower not in HOP_BY_HOP and lower not in connection_options:
            forwarded.append((name, value))
    return AnswerFields(
        status=head.status,
        request_id=request_id,
        is_not_run=is_not_run,
        is_stamped=is_stamped and not is_encoded,
        idle_s=idle_s,
        keep_alive=head.keep_alive,
        forwarded_headers=tuple(forwarded),
        is_leaving=is_leaving and not is_misdirected(head.status),
        quiet_s=quiet_s,
        is_quiet_invalid=is_quiet_invalid,
    )


def _quiet_s(value: bytes) -> float | None:
    """Return the seconds in a `Retry-After` header; None if it holds no number from 0."""
    return float(value) if _SECONDS.fullmatch(value.strip()) else None


def _idle_timeout_s(value: bytes) -> float | None:
    """Return the time-out that a `Keep-Alive` header states, in seconds; None if it states none."""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(_bounded(seconds.decode("latin-1")))
    return None
