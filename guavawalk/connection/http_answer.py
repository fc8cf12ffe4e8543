"""Writing an answer as HTTP: streamed, whole, or an error with its number."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, TypedDict

import anyio

from guavawalk.codes import CodeClass, code_class, describe_code
from guavawalk.request.types import Outcome

__all__ = ["ErrorBody", "ErrorDocument", "assemble_completion", "create_http_caller", "error_body"]

STALL_LIMIT_S = 30.0

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


# What a caller is told of a request that did not complete; `class` can't be written as a field.
ErrorDocument = TypedDict(
    "ErrorDocument",
    {"number": int, "name": str, "class": str, "message": str, "retry_after_ms": int | None},
)


class ErrorBody(TypedDict):
    """An error as the body of an answer, or the data of a stream's last event."""

    error: ErrorDocument


def error_body(outcome: Outcome) -> ErrorBody:
    """Return the error document of an outcome.

    Examples
    --------
    >>> from guavawalk.codes import ResultCode
    >>> error_body(Outcome(ResultCode.SHED))["error"]["class"]
    'NOT_RUN'
    """
    info = describe_code(outcome.code)
    message = f"{info.message}: {outcome.detail}" if outcome.detail else info.message
    error = {
        "number": int(outcome.code),
        "name": outcome.code.name,
        "class": code_class(outcome.code).name,
        "message": message,
        "retry_after_ms": outcome.retry_after_ms or None,
    }
    return {"error": error}


def assemble_completion(events: bytes, chat: bool) -> bytes:
    """Join a whole event stream into one completion document.

    Parameters
    ----------
    events : bytes
        Server-sent events of completion chunks, ending with `[DONE]`.
    chat : bool
        Whether the chunks hold chat deltas.
    """
    text: list[str] = []
    head: dict[str, Any] = {}
    usage: dict[str, Any] = {}
    finish = "stop"
    for event in events.split(b"\n\n"):
        if not event.startswith(b"data: ") or event == b"data: [DONE]":
            continue
        chunk = json.loads(event[6:])
        head = head or chunk
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices", ()):
            text.append((choice.get("delta") or {}).get("content") or choice.get("text") or "")
            finish = choice.get("finish_reason") or finish
    content = "".join(text)
    body = {"message": {"role": "assistant", "content": content}} if chat else {"text": content}
    choice = {"index": 0, **body, "finish_reason": finish}
    document = {
        "id": head.get("id", ""),
        "object": "chat.completion" if chat else "text_completion",
        "created": head.get("created", 0),
        "model": head.get("model", ""),
        "choices": [choice],
        "usage": usage,
    }
    return json.dumps(document).encode()


class HttpCaller:
    """A caller over ASGI.

    Parameters
    ----------
    whole : bool
        Whether the answer is a model's that the caller wants in one piece.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        trace_id: str,
        whole: bool,
        chat: bool,
        stall_limit_s: float,
    ) -> None:
        self._receive = receive
        self._send = send
        self._trace_id = trace_id
        self._whole = whole
        self._chat = chat
        self._held = bytearray()
        self._status = 200
        self._streaming = False
        self._is_sse = False
        self._stall_limit_s = stall_limit_s
        self._writes = 0
        self._writing = False

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Send the head, unless the answer is wanted whole."""
        self._status = status
        self._whole = self._whole and status == 200
        if not self._whole:
            names = dict(zip(headers[::2], headers[1::2]))
            self._is_sse = names.get("content-type", "").startswith("text/event-stream")
            await self._head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send or hold bytes."""
        if self._whole:
            self._held += data
        else:
            await self._body(data, True)

    async def finish(self, outcome: Outcome) -> None:
        """End the answer with the outcome's code."""
        completed = code_class(outcome.code) is CodeClass.COMPLETED
        if self._streaming:
            await self._finish_stream(outcome, completed)
        elif completed:
            await self._send_whole(assemble_completion(bytes(self._held), self._chat), 200, outcome)
        else:
            body = json.dumps(error_body(outcome)).encode()
            await self._send_whole(body, describe_code(outcome.code).http_status, outcome)

    async def wait_disconnected(self) -> None:
        """Wait for the disconnect, or for a caller that no longer reads."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_disconnect, tasks.cancel_scope)
            await self._wait_stalled()
            tasks.cancel_scope.cancel()

    async def _wait_stalled(self) -> None:
        # One timer for each answer, rather than one for each of its writes.
        stalled_writes = -1
        while not (self._writing and self._writes == stalled_writes):
            stalled_writes = self._writes if self._writing else -1
            await anyio.sleep(self._stall_limit_s)

    async def _wait_disconnect(self, scope: anyio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _finish_stream(self, outcome: Outcome, completed: bool) -> None:
        if self._writing:
            # The write under way was cancelled since the caller reads nothing.
            return
        tail = ""
        if self._is_sse:
            tail = f": guavawalk code={int(outcome.code)} target={outcome.target}\n\n"
            if not completed:
                tail = f"data: {json.dumps(error_body(outcome))}\n\n" + tail
        elif not completed and self._status < 500:
            # Ending without the last chunk tells the caller that the answer is not whole.
            raise ConnectionResetError(outcome.code.name)
        await self._body(tail.encode(), False)

    async def _send_whole(self, body: bytes, status: int, outcome: Outcome) -> None:
        headers = ["content-type", "application/json", "x-guavawalk-code", str(int(outcome.code))]
        if outcome.target:
            headers += ["x-guavawalk-target", outcome.target]
        if outcome.retry_after_ms:
            headers += ["retry-after", str(-(-outcome.retry_after_ms // 1000))]
        await self._head(status, (*headers, "content-length", str(len(body))))
        await self._body(body, False)

    async def _head(self, status: int, headers: tuple[str, ...]) -> None:
        self._streaming = True
        pairs = [(n.lower(), v) for n, v in zip(headers[::2], headers[1::2])]
        pairs.append(("x-request-id", self._trace_id))
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def _body(self, data: bytes, more: bool) -> None:
        self._writes += 1
        self._writing = True
        await self._send({"type": "http.response.body", "body": data, "more_body": more})
        self._writing = False


def create_http_caller(
    receive: Receive,
    send: Send,
    trace_id: str,
    whole: bool = False,
    chat: bool = True,
    stall_limit_s: float = STALL_LIMIT_S,
) -> HttpCaller:
    """Create the caller of one ASGI request.

    Parameters
    ----------
    whole : bool
        Whether a model's answer is wanted in one piece.
    chat : bool
        Whether that answer is a chat completion.
    stall_limit_s : float
        How long the caller may leave an answer unread before it counts as gone.
    """
    return HttpCaller(receive, send, trace_id, whole, chat, stall_limit_s)
