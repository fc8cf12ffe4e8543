"""Parses and validates a caller's HTTP request for a model or a plain service."""

import json
import secrets
from typing import NamedTuple
from urllib.parse import unquote

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.request.prompt import (
    estimate_tokens,
    fingerprint,
    prefix_hashes,
    shared_messages,
)
from guavawalk.request.rules import find_model, find_service, find_tier
from guavawalk.request.types import Work
from guavawalk.version.documents import digest_bytes
from guavawalk.version.types import Configuration, Service, Tier, Workspace

__all__ = [
    "CallerHeaders",
    "RawRequest",
    "find_workspace",
    "read_headers",
    "read_trace_id",
    "read_work",
]

# First path segment of guavawalk's own API; paths below it are never forwarded to a service.
API_PREFIX = "v1"
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
# Longest trace id accepted from a caller, in characters.
MAX_TRACE_CHARS = 64
# Most digits of a deadline in milliseconds; longer texts are rejected before they are converted.
MAX_DEADLINE_DIGITS = 12
# Headers of the caller that go on to a plain service; others are dropped.
FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "user-agent")


class RawRequest(NamedTuple):
    """A complete request as received.

    Attributes
    ----------
    path : str
        Path and query.
    headers : dict of str to str
        Values by lower-case name; of repeated headers the last.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallerHeaders(NamedTuple):
    """The request headers that guavawalk evaluates.

    Attributes
    ----------
    tier : str
        Name of the requested tier; empty for the default.
    deadline_ms : int or None
        Requested deadline, from the arrival of the request; None for the default.
    trace_id : str
        The caller's trace id, or a new one.
    idempotency_key : str
        Empty if the caller gave none.
    """

    api_key: str
    tier: str
    deadline_ms: int | None
    trace_id: str
    idempotency_key: str


def read_headers(headers: dict[str, str]) -> CallerHeaders:
    """Read the headers of a request.

    Parameters
    ----------
    headers : dict of str to str
        Values by lower-case name.

    Raises
    ------
    RequestError
        `UNAUTHENTICATED` without a bearer key, `BAD_DEADLINE` for a deadline that is not a positive
        integer of at most 12 digits, `BAD_REQUEST` for an invalid trace id.
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(ResultCode.UNAUTHENTICATED, "send Authorization: Bearer KEY")
    return CallerHeaders(
        api_key=key.strip(),
        tier=headers.get("x-guavawalk-tier", ""),
        deadline_ms=_read_deadline(headers.get("x-guavawalk-deadline-ms")),
        trace_id=read_trace_id(headers.get("x-request-id", "")),
        idempotency_key=headers.get("idempotency-key", ""),
    )


def _read_deadline(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS):
        raise RequestError(ResultCode.BAD_DEADLINE, f"found {text[:40]!r}, allowed is 1 or more")
    if int(text) < 1:
        raise RequestError(ResultCode.BAD_DEADLINE, f"found {text[:40]!r}, allowed is 1 or more")
    return int(text)


def read_trace_id(text: str) -> str:
    """Return a caller's trace id, or a new one for an empty text.

    Raises
    ------
    RequestError
        `BAD_REQUEST` if the id is longer than `MAX_TRACE_CHARS` or not printable ASCII, so that
        every accepted id can be logged.
    """
    if not text:
        return secrets.token_hex(8)
    if len(text) > MAX_TRACE_CHARS or not text.isascii() or not text.isprintable():
        detail = f"x-request-id must be printable ASCII of at most {MAX_TRACE_CHARS} characters"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    return text


def find_workspace(configuration: Configuration, api_key: str) -> Workspace:
    """Return the workspace of an API key.

    Raises
    ------
    RequestError
        `UNAUTHENTICATED` if no workspace has the key.
    """
    name = configuration.workspace_of_key.get(digest_bytes(api_key.encode()))
    if name is None:
        raise RequestError(ResultCode.UNAUTHENTICATED)
    return configuration.workspaces[name]


def read_work(
    raw: RawRequest, configuration: Configuration, now_s: float, max_deadline_ms: int
) -> Work:
    """Validate a request and return its work for a model or a plain service.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force, which the work keeps.
    now_s : float
        Arrival on the monotonic clock, in seconds; the deadline counts from it.
    max_deadline_ms : int
        Longest deadline allowed, in milliseconds.

    Raises
    ------
    RequestError
        With an `INVALID` code if the request is not valid.
    """
    headers = read_headers(raw.headers)
    workspace = find_workspace(configuration, headers.api_key)
    tier = find_tier(configuration, workspace, headers.tier)
    path = raw.path.partition("?")[0]
    _reject_dot_segments(path)
    if path in MODEL_PATHS:
        work = _read_model_work(raw, path, configuration, workspace, tier)
        default_ms = tier.deadline_ms
    else:
        service = _find_service(configuration, workspace, path)
        work = _read_service_work(raw, service, configuration, workspace, tier)
        default_ms = service.deadline_ms
    deadline_ms = headers.deadline_ms or default_ms
    if deadline_ms > max_deadline_ms:
        detail = f"found {deadline_ms}, allowed is up to {max_deadline_ms}"
        raise RequestError(ResultCode.BAD_DEADLINE, detail)
    return work._replace(
        trace_id=headers.trace_id,
        deadline_s=now_s + deadline_ms / 1000,
        idempotency_key=headers.idempotency_key,
        fingerprint=fingerprint(workspace.name, raw.body),
    )


def _reject_dot_segments(path: str) -> None:
    if any(unquote(segment) in (".", "..") for segment in path.split("/")):
        raise RequestError(ResultCode.BAD_REQUEST, "the path has dot segments")


def _find_service(configuration: Configuration, workspace: Workspace, path: str) -> Service:
    name = path.lstrip("/").partition("/")[0]
    if name == API_PREFIX:
        raise RequestError(ResultCode.NOT_FOUND, f"found {path[:80]!r}")
    return find_service(configuration, workspace, name)


def _read_service_work(
    raw: RawRequest,
    service: Service,
    configuration: Configuration,
    workspace: Workspace,
    tier: Tier,
) -> Work:
    rest = raw.path.lstrip("/")[len(service.path) :] or "/"
    return Work(
        trace_id="",
        configuration=configuration,
        workspace=workspace,
        tier=tier,
        deadline_s=0.0,
        service_path=service.path,
        method=raw.method,
        path=rest if rest.startswith("/") else f"/{rest}",
        headers=_select_forwarded_headers(raw.headers),
        body=raw.body,
        idempotent=raw.method in service.idempotent_methods,
    )


def _read_model_work(
    raw: RawRequest, path: str, configuration: Configuration, workspace: Workspace, tier: Tier
) -> Work:
    if raw.method != "POST":
        raise RequestError(ResultCode.BAD_REQUEST, f"{path} takes POST only")
    document = _read_json(raw.body)
    model = find_model(configuration, workspace, document.get("model"))
    texts = _read_prompt_texts(document, path)
    text = "\n".join(texts)
    prompt_tokens = estimate_tokens(text)
    if prompt_tokens > model.context_tokens:
        detail = f"prompt of about {prompt_tokens} tokens, {model.context_tokens} allowed"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise RequestError(ResultCode.BAD_REQUEST, "stream: allowed is true or false")
    adapter = document.pop("adapter", "")
    if not isinstance(adapter, str):
        raise RequestError(ResultCode.BAD_REQUEST, "adapter: allowed is a string")
    room_tokens = model.context_tokens - prompt_tokens
    max_output_tokens = _read_max_output_tokens(document, room_tokens)
    forwarded_document = {**document, "stream": True, "stream_options": {"include_usage": True}}
    return Work(
        trace_id="",
        configuration=configuration,
        workspace=workspace,
        tier=tier,
        deadline_s=0.0,
        model=model.name,
        adapter=adapter,
        path=path,
        headers=("content-type", "application/json"),
        body=json.dumps(forwarded_document).encode(),
        stream=stream,
        prompt_tokens=prompt_tokens,
        expected_output_tokens=max_output_tokens or min(model.expected_output_tokens, room_tokens),
        max_output_tokens=max_output_tokens,
        prefix_hashes=prefix_hashes(model.name, text),
        shared_parts=shared_messages(model.name, texts),
    )


def _read_json(body: bytes) -> dict:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError(ResultCode.BAD_REQUEST, f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise RequestError(ResultCode.BAD_REQUEST, "the body must be a JSON object")
    return document


def _read_prompt_texts(document: dict, path: str) -> list[str]:
    if path == "/v1/completions":
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise RequestError(ResultCode.BAD_REQUEST, "prompt: allowed is a string")
        return [prompt]
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError(ResultCode.BAD_REQUEST, "messages: allowed is a list that isn't empty")
    return [_read_message_text(index, message) for index, message in enumerate(messages)]


def _read_message_text(index: int, message: object) -> str:
    if not isinstance(message, dict):
        raise RequestError(ResultCode.BAD_REQUEST, f"messages[{index}]: allowed is an object")
    role, content = message.get("role"), message.get("content")
    if not isinstance(role, str) or not isinstance(content, str):
        detail = f"messages[{index}]: role and content must be strings"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    return f"{role}: {content}"


def _read_max_output_tokens(document: dict, room_tokens: int) -> int:
    limit = document.get("max_tokens", document.get("max_completion_tokens"))
    if limit is None:
        return 0
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        raise RequestError(ResultCode.BAD_REQUEST, "max_tokens: allowed is 1 or more")
    if limit > room_tokens:
        detail = f"max_tokens: found {limit}, the model's context leaves {room_tokens}"
        raise RequestError(ResultCode.BAD_REQUEST, detail)
    return limit


def _select_forwarded_headers(headers: dict[str, str]) -> tuple[str, ...]:
    flat: list[str] = []
    for name in FORWARDED_HEADERS:
        if name in headers:
            flat += (name, headers[name])
    return tuple(flat)
