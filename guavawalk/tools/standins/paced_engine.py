"""An engine stand-in that sends tokens at a fixed rate, for measuring the relay."""

import json
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

__all__ = ["Pace", "create_paced_engine_app"]


class Pace(NamedTuple):
    """Times of the tokens of a stream.

    Attributes
    ----------
    tokens_per_write : int
        Events sent in one write.
    """

    first_token_s: float = 0.05
    tokens_per_s: float = 60.0
    tokens_per_write: int = 1


def create_paced_engine_app(pace: Pace) -> Starlette:
    """Create an engine that answers every prompt with tokens at a fixed rate.

    The number of tokens is `max_tokens`, rounded down to whole writes.
    """
    event = {"id": "x", "created": 0, "model": "quill"}
    token = {**event, "choices": [{"index": 0, "delta": {"content": "lantern "}}]}
    write = (b"data: " + json.dumps(token).encode() + b"\n\n") * pace.tokens_per_write

    async def complete(request: Request) -> Response:
        document = json.loads(await request.body())
        writes = document.get("max_tokens", 64) // pace.tokens_per_write
        return StreamingResponse(_tokens(pace, write, writes), media_type="text/event-stream")

    async def cancel(request: Request) -> Response:
        return Response(status_code=204)

    return Starlette(
        routes=[
            Route("/v1/chat/completions", complete, methods=["POST"]),
            Route("/v1/streams/{request_id}", cancel, methods=["DELETE"]),
        ]
    )


async def _tokens(pace: Pace, write: bytes, writes: int) -> AsyncIterator[bytes]:
    due_s = anyio.current_time() + pace.first_token_s
    for _ in range(writes):
        await anyio.sleep_until(due_s)
        yield write
        due_s += pace.tokens_per_write / pace.tokens_per_s
    yield b"data: [DONE]\n\n"
