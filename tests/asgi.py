"""Sends requests to an ASGI application without a socket."""

import json
from typing import Any, NamedTuple

__all__ = ["AsgiAnswer", "send_asgi_request"]


class AsgiAnswer(NamedTuple):
    """Status and JSON document of an answer."""

    status: int
    document: Any


async def send_asgi_request(
    app, method: str, path: str, key: str = "", body: bytes = b""
) -> AsgiAnswer:
    """Send one request to an application and return its answer, whose body must be JSON.

    `key` is sent as the bearer key; an empty one is not sent.
    """
    headers = [(b"authorization", b"Bearer " + key.encode())] if key else []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
        "root_path": "",
        "scheme": "http",
        "server": ("127.0.0.1", 80),
    }
    sent: list[dict] = []

    async def receive() -> dict:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict) -> None:
        sent.append(message)

    await app(scope, receive, send)
    content = b"".join(message.get("body", b"") for message in sent)
    return AsgiAnswer(sent[0]["status"], json.loads(content))
