"""Writes answers to callers over ASGI: streamed, as one document, or as an error document."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, TypedDict

import anyio

from guavawalk.codes import CodeClass, code_class, describe_code
from guavawalk.request.types import Outcome

__all__ = ["ErrorBody", "ErrorDocument", "assemble_completion", "create_http_caller", "error_body"]

# How long one write to a caller may block, in seconds, before the caller counts as disconnected.
STALL_LIMIT_S = 30.0

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


# Error of a request that did not complete, as sent to its caller; `retry_after_ms` is None if no
# delay is known. Defined by a call of `TypedDict`, since a field can't be declared as `class`.
ErrorDocument = TypedDict(
    "ErrorDocument",
    {"number": int, "name": str, "class": str, "message": str, "retry_after_ms": int | None},
)


class ErrorBody(TypedDict):
    """Body of an error answer, and data of the error event that ends a broken event stream."""

    error: ErrorDocument


def error_body(outcome: Outcome) -> ErrorBody:
    """Return the body of the error answer for an outcome.

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
    """Join the chunks of a complete event stream into one completion document, as JSON.

    Parameters
    ----------
    events : bytes
        Server-sent events of completion chunks, ending with `[DONE]`.
    chat : bool
        Whether the chunks are of a chat completion (`delta`) or a plain one (`text`).
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
    """The caller of one ASGI request; implements `Caller`.

    For the parameters see `create_http_caller`.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        trace_id: str,
        buffers_answer: bool,
        chat: bool,
        stall_limit_s: float,
    ) -> None:
        self._receive = receive
        self._send = send
        self._trace_id = trace_id
        self._buffers_answer = buffers_answer
        self._chat = chat
        self._buffer = bytearray()
        self._status = 200
        self._has_sent_head = False
        self._is_event_stream = False
        self._stall_limit_s = stall_limit_s
        self._write_count = 0
        self._is_writing = False

    async def start(self, status: int, headers: tuple[str, ...]) -> None:
        """Send the head, unless the answer is buffered."""
        self._status = status
        self._buffers_answer = self._buffers_answer and status == 200
        if not self._buffers_answer:
            value_of = dict(zip(headers[::2], headers[1::2]))
            self._is_event_stream = value_of.get("content-type", "").startswith("text/event-stream")
            await self._send_head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send bytes of the answer, or buffer them."""
        if self._buffers_answer:
            self._buffer += data
        else:
            await self._send_body(data, True)

    async def finish(self, outcome: Outcome) -> None:
        """End the answer; if none has begun, send the buffered one or the error of the outcome.

        Raises
        ------
        ConnectionResetError
            If the request failed after the head of its answer was sent, the status is below 500 and
            the answer is no event stream. The server then closes the connection, which shows the
            caller that the answer is truncated.
        """
        completed = code_class(outcome.code) is CodeClass.COMPLETED
        if self._has_sent_head:
            await self._finish_stream(outcome, completed)
        elif completed:
            await self._send_complete(
                assemble_completion(bytes(self._buffer), self._chat), 200, outcome
            )
        else:
            body = json.dumps(error_body(outcome)).encode()
            await self._send_complete(body, describe_code(outcome.code).http_status, outcome)

    async def wait_disconnected(self) -> None:
        """Return once the caller has disconnected or blocked a write for 1 to 2 stall limits."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_disconnect, tasks.cancel_scope)
            await self._wait_stalled()
            tasks.cancel_scope.cancel()

    async def _wait_stalled(self) -> None:
        # One timer for the whole answer is cheaper than one for each write; a blocked write is
        # found after one to two stall limits.
        watched_write = -1
        while not (self._is_writing and self._write_count == watched_write):
            watched_write = self._write_count if self._is_writing else -1
            await anyio.sleep(self._stall_limit_s)

    async def _wait_disconnect(self, scope: anyio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _finish_stream(self, outcome: Outcome, completed: bool) -> None:
        if self._is_writing:
            # The last write was cancelled since the caller doesn't read; a further one would block.
            return
        tail = ""
        if self._is_event_stream:
            tail = f": guavawalk code={int(outcome.code)} target={outcome.target}\n\n"
            if not completed:
                tail = f"data: {json.dumps(error_body(outcome))}\n\n" + tail
        elif not completed and self._status < 500:
            # An answer without its last chunk shows the caller that it is truncated.
            raise ConnectionResetError(outcome.code.name)
        await self._send_body(tail.encode(), False)

    async def _send_complete(self, body: bytes, status: int, outcome: Outcome) -> None:
        headers = ["content-type", "application/json", "x-guavawalk-code", str(int(outcome.code))]
        if outcome.target:
            headers += ["x-guavawalk-target", outcome.target]
        if outcome.retry_after_ms:
            headers += ["retry-after", str(-(-outcome.retry_after_ms // 1000))]
        await self._send_head(status, (*headers, "content-length", str(len(body))))
        await self._send_body(body, False)

    async def _send_head(self, status: int, headers: tuple[str, ...]) -> None:
        self._has_sent_head = True
        pairs = [(n.lower(), v) for n, v in zip(headers[::2], headers[1::2])]
        pairs.append(("x-request-id", self._trace_id))
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def _send_body(self, data: bytes, more: bool) -> None:
        self._write_count += 1
        self._is_writing = True
        await self._send({"type": "http.response.body", "body": data, "more_body": more})
        self._is_writing = False


def create_http_caller(
    receive: Receive,
    send: Send,
    trace_id: str,
    buffers_answer: bool = False,
    chat: bool = True,
    stall_limit_s: float = STALL_LIMIT_S,
) -> HttpCaller:
    """Create the caller of one ASGI request.

    Parameters
    ----------
    receive, send : callable
        Those of the ASGI application.
    trace_id : str
        Sent as `x-request-id`.
    buffers_answer : bool
        Whether to collect the event stream of a model and send it as one completion document.
    chat : bool
        Whether that document is a chat completion.
    stall_limit_s : float
        How long the caller may block a write, in seconds, before it counts as disconnected; this
        is noticed after one to two such times.
    """
    return HttpCaller(receive, send, trace_id, buffers_answer, chat, stall_limit_s)
