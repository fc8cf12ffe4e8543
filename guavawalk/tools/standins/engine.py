"""Serves an engine stand-in over HTTP, with the interface of docs/ENGINE.md."""

import json
from collections.abc import AsyncIterator

import anyio
import xxhash
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from guavawalk.tools.standins.engine_model import EngineCrash, EngineModel, GeneratedToken

__all__ = ["create_engine_app"]

# Number of the latest streams that can be resumed.
KEPT_STREAMS = 500


class StreamBuffer:
    """The events of one generation, kept so that its stream can be resumed."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended = False
        self.failed = False
        self.scope = anyio.CancelScope()
        self.data_available = anyio.Event()

    def append(self, data: bytes) -> None:
        """Append bytes and wake the readers."""
        self.data += data
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the readers."""
        self.data_available.set()
        self.data_available = anyio.Event()


class EngineState:
    """Loaded models and adapters, role and orders of an engine.

    Attributes
    ----------
    fence : tuple of int
        Fencing number of the last accepted order; (0, 0) before the first.
    pending : str
        Name in the order that is being carried out; empty for none.
    checks_fencing : bool
        Whether an order with a lower fencing number than `fence` is refused.
    orders : list of tuple
        Kind, name and fencing number of each accepted order.
    """

    def __init__(self, models: tuple[str, ...], checks_fencing: bool) -> None:
        self.models = set(models)
        self.adapters: set[str] = set()
        self.role = "mixed"
        self.fence = (0, 0)
        self.pending = ""
        self.checks_fencing = checks_fencing
        self.orders: list[tuple[str, str, tuple[int, int]]] = []


def create_engine_app(
    model: EngineModel,
    tasks: TaskGroup,
    models: tuple[str, ...],
    checks_fencing: bool = True,
    load_time_s: float = 0.2,
) -> Starlette:
    """Create the HTTP application of an engine.

    Generations run in `tasks`, independently of the connections that read them. An order takes
    `load_time_s`.
    """
    streams: dict[str, StreamBuffer] = {}
    state = EngineState(models, checks_fencing)

    async def complete(request: Request) -> Response:
        if model.faults.down:
            return Response(status_code=503)
        document = json.loads(await request.body())
        if document["model"] not in state.models:
            return JSONResponse({"error": "model not loaded"}, 404)
        request_id = request.headers.get("x-request-id", "")
        buffer = StreamBuffer()
        streams[request_id] = buffer
        if len(streams) > KEPT_STREAMS:
            streams.pop(next(iter(streams)))
        is_chat = request.url.path.endswith("chat/completions")
        tasks.start_soon(_generate, model, buffer, request_id, document, is_chat)
        return StreamingResponse(_read_stream(buffer, 0), media_type="text/event-stream")

    async def resume(request: Request) -> Response:
        buffer = streams.get(request.path_params["request_id"])
        if buffer is None:
            return Response(status_code=404)
        offset = int(request.query_params.get("offset", "0"))
        return StreamingResponse(_read_stream(buffer, offset), media_type="text/event-stream")

    async def cancel(request: Request) -> Response:
        buffer = streams.get(request.path_params["request_id"])
        if buffer is not None:
            buffer.scope.cancel()
        return Response(status_code=204)

    async def load(request: Request) -> Response:
        return JSONResponse(
            {
                "running": model.running,
                "waiting": len(model.waiting),
                "free_slots": model.speed.batch_slots - model.running,
                "cached_tokens": model.cached_tokens,
            }
        )

    async def cache_events(request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        events = [event for event in model.events if event["sequence"] > after]
        oldest = model.events[0]["sequence"] if model.events else 0
        documents = [_event_document(event, models[0]) for event in events]
        return JSONResponse({"oldest": oldest, "events": documents})

    async def show_state(request: Request) -> Response:
        return JSONResponse(
            {
                "models": sorted(state.models),
                "adapters": sorted(state.adapters),
                "role": state.role,
                "fence": list(state.fence),
                "pending": state.pending,
            }
        )

    async def order(request: Request) -> Response:
        major, _, minor = request.headers.get("x-fence", "0.0").partition(".")
        fence = (int(major), int(minor))
        if state.checks_fencing and fence < state.fence:
            return JSONResponse({"error": "old fencing number"}, 409)
        document = json.loads(await request.body())
        state.fence = fence
        state.orders.append((document["kind"], document["name"], fence))
        state.pending = document["name"]
        await anyio.sleep(load_time_s)
        _apply_order(state, document["kind"], document["name"])
        state.pending = ""
        return Response(status_code=204)

    routes = [
        Route("/v1/chat/completions", complete, methods=["POST"]),
        Route("/v1/completions", complete, methods=["POST"]),
        Route("/v1/streams/{request_id}", resume, methods=["GET"]),
        Route("/v1/streams/{request_id}", cancel, methods=["DELETE"]),
        Route("/v1/load", load),
        Route("/v1/cache/events", cache_events),
        Route("/v1/state", show_state),
        Route("/v1/orders", order, methods=["POST"]),
    ]
    return Starlette(routes=routes)


def _apply_order(state: EngineState, kind: str, name: str) -> None:
    match kind:
        case "load_model":
            state.models.add(name)
        case "unload_model":
            state.models.discard(name)
        case "load_adapter":
            state.adapters.add(name)
        case "unload_adapter":
            state.adapters.discard(name)
        case "set_role":
            state.role = name


async def _read_stream(buffer: StreamBuffer, offset: int) -> AsyncIterator[bytes]:
    while True:
        data = bytes(buffer.data[offset:])
        if data:
            offset += len(data)
            yield data
        elif buffer.failed:
            raise EngineCrash("the stream failed")
        elif buffer.ended:
            return
        else:
            await buffer.data_available.wait()


async def _generate(
    model: EngineModel, buffer: StreamBuffer, request_id: str, document: dict, is_chat: bool
) -> None:
    prompt = _prompt(document, is_chat)
    head = {"id": request_id, "created": 0, "model": document["model"]}
    last = GeneratedToken("", -1, 0, 0)
    try:
        with buffer.scope:
            async for token in model.generate(request_id, prompt, document.get("max_tokens", 64)):
                last = token
                body = {"delta": {"content": token.text}} if is_chat else {"text": token.text}
                buffer.append(_event({**head, "choices": [{"index": 0, **body}]}))
            buffer.append(_usage_event(head, last) + b"data: [DONE]\n\n")
            buffer.ended = True
    except EngineCrash:
        pass
    finally:
        buffer.failed = not buffer.ended
        buffer.notify_readers()


def _usage_event(head: dict, last: GeneratedToken) -> bytes:
    usage = {
        "prompt_tokens": last.prompt_tokens,
        "completion_tokens": last.index + 1,
        "prompt_tokens_details": {"cached_tokens": last.cached_tokens},
    }
    return _event({**head, "choices": [], "usage": usage})


def _event(document: dict) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _prompt(document: dict, is_chat: bool) -> str:
    if not is_chat:
        return document["prompt"]
    return "\n".join(f"{m['role']}: {m['content']}" for m in document["messages"])


def _event_document(event: dict, model_name: str) -> dict:
    text = f"{model_name}\0{event['prefix']}".encode()
    signed = int.from_bytes(xxhash.xxh3_64_digest(text), "big", signed=True)
    return {
        "sequence": event["sequence"],
        "stored": event["stored"],
        "prefix_hash": signed,
        "tokens": event["tokens"],
    }
