"""Headers of callers' requests and of targets' answers, in the platform's names."""

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
    "encode_retry_after",
    "encode_status",
    "encode_target_headers",
    "is_misdirected",
]

DEADLINE = b"Deadline-Ms"
EXPECTED_TARGET = b"Expect-Instance"
WORKSPACE = b"Tenant"
LAST_EVENT = b"Last-Event-Id"
RETRY_AFTER = b"Retry-After"
STAMP = b"server-stamp"
KEY_SCHEME = "bearer "
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
NOT_RUN_STATUSES = (429, UNAVAILABLE_STATUS)

# Headers that concern one connection only.
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
# Headers of which a request has one at most.
SINGLE = frozenset((b"host", b"request-id", b"deadline-ms", b"authorization", b"token-count"))
# Headers that only the system sets; a caller's own are dropped.
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
    """Decode a request's headers.

    Raises
    ------
    HttpInvalid
        If one that matters is missing, comes twice or can't be read.
    """
    singles: dict[bytes, str] = {}
    forwarded_headers: list[Header] = []
    per_connection = _named_by_connection(headers)
    for name, value in headers:
        lower = name.lower()
        if lower in SINGLE and lower in singles:
            raise HttpInvalid(400, f"{name.decode('latin-1')} comes twice")
        singles[lower] = value.decode("latin-1")
        if lower not in NOT_FORWARDED and lower not in per_connection:
            forwarded_headers.append((name, value))
    request_id = singles.get(b"request-id", "")
    if not request_id:
        raise HttpInvalid(400, "the request has no id")
    prompt_tokens, output_tokens = _token_counts(singles.get(b"token-count", ""))
    return CallFields(
        request_id=request_id,
        host=singles.get(b"host", ""),
        key=_key(singles.get(b"authorization", "")),
        caller_timeout_s=_milliseconds(singles.get(b"deadline-ms")),
        model=singles.get(b"model", ""),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        hinted_output_tokens=_hint(singles.get(b"length-hint", "")),
        prompt_parts=_prompt_parts(singles.get(b"prompt-prefix", "")),
        last_event_id=singles.get(b"last-event-id", ""),
        forwarded_headers=tuple(forwarded_headers),
    )


def _named_by_connection(headers: Iterable[Header]) -> set[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return named - {b"host", b"request-id"}


def _key(value: str) -> str:
    return value[len(KEY_SCHEME) :].strip() if value.lower().startswith(KEY_SCHEME) else ""


def _milliseconds(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        patience_ms = int(value)
    except ValueError as error:
        raise HttpInvalid(400, f"the deadline is {value!r:.40}") from error
    return max(patience_ms, 0) / 1000


def _token_counts(value: str) -> tuple[int, int]:
    # Two numbers: tokens of the prompt, and at most so many of the answer.
    if not value:
        return 0, 0
    try:
        prompt, _, output = value.partition(",")
        return max(int(prompt), 0), max(int(output or 0), 0)
    except ValueError as error:
        raise HttpInvalid(400, f"the token counts are {value!r:.40}") from error


def _hint(value: str) -> int:
    return int(value) if value.isdecimal() else 0


def _prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, value.split(",")):
        part_id, _, tokens = item.strip().partition(":")
        if not tokens.isdecimal():
            raise HttpInvalid(400, f"the prompt's parts are {value!r:.80}")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def encode_target_headers(
    fields: CallFields,
    target_id: str,
    workspace: str,
    patience_s: float,
    last_event_id: str = "",
) -> list[Header]:
    """Return the headers of a request as a target gets it.

    Parameters
    ----------
    patience_s : float
        What is left of the caller's deadline.
    last_event_id : str, optional
        Event after which a stream goes on.
    """
    headers = list(fields.forwarded_headers)
    headers.append((DEADLINE, b"%d" % max(int(patience_s * 1000), 1)))
    headers.append((EXPECTED_TARGET, target_id.encode("latin-1")))
    if workspace:
        headers.append((WORKSPACE, workspace.encode("latin-1")))
    if last_event_id:
        headers.append((LAST_EVENT, last_event_id.encode("latin-1")))
    return headers


def encode_status(code: ResultCode) -> int:
    """Return the status for an outcome of the system's own.

    Notes
    -----
    Callers take 429 and 503 as a promise that nothing ran, and most other failures as none.
    """
    status = describe_code(code).http_status
    if code_class(code) is CodeClass.NOT_RUN and status not in NOT_RUN_STATUSES:
        return UNAVAILABLE_STATUS
    return status


def encode_retry_after(wait_s: float) -> Header:
    """Return the header that tells a caller when to come back."""
    return RETRY_AFTER, b"%.2f" % wait_s


def is_misdirected(status: int) -> bool:
    """Say whether a status means that another target answered at the address, and ran nothing."""
    return status == MISDIRECTED_STATUS


def decode_answer(head: ResponseHead) -> AnswerFields:
    """Decode the headers of a target's answer."""
    forwarded_headers: list[Header] = []
    request_id = ""
    is_not_run = is_misdirected(head.status)
    is_stamped = is_encoded = False
    idle_s: float | None = None
    per_connection = _named_by_connection(head.headers)
    for name, value in head.headers:
        lower = name.lower()
        if lower == b"not-executed":
            is_not_run = True
            continue
        if lower == b"request-id":
            request_id = value.decode("latin-1")
        elif lower == STAMP:
            is_stamped = True
        elif lower == b"content-encoding":
            is_encoded = value.strip().lower() != b"identity"
        elif lower == b"keep-alive":
            idle_s = _idle_s(value)
        if lower not in HOP_BY_HOP and lower not in per_connection:
            forwarded_headers.append((name, value))
    return AnswerFields(
        status=head.status,
        request_id=request_id,
        is_not_run=is_not_run,
        is_stamped=is_stamped and not is_encoded,
        idle_s=idle_s,
        keep_alive=head.keep_alive,
        forwarded_headers=tuple(forwarded_headers),
    )


def _idle_s(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
