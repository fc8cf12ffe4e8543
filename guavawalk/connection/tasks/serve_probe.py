"""The tasks that answer the balancer's readiness question and whoever fetches the metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.streams import close_stream, enable_dead_peer_detection
from guavawalk.exception import CallerGone, HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["PageAnswer", "serve_pages"]

LIMITS = CallerLimits(body_bytes=64 * 1024)
NOT_FOUND_STATUS = 404


class PageAnswer(NamedTuple):
    """A status with a text or encoded body."""

    status: int
    body: bytes = b""


async def serve_pages(pages: dict[bytes, Callable[[], PageAnswer]], stream: ByteStream) -> None:
    """Answer the requests of one connection for a few pages.

    Parameters
    ----------
    pages : dict
        Maker of each page by its path.
    """
    try:
        enable_dead_peer_detection(stream)
        reader = RequestReader(stream, LIMITS)
        while (request := await reader.next(LIMITS)) is not None:
            make = pages.get(request.target.partition(b"?")[0])
            page = PageAnswer(NOT_FOUND_STATUS) if make is None else make()
            answer = CallerAnswer(stream, request.keep_alive)
            await answer.send_complete(page.status, (), page.body)
            if not request.keep_alive:
                break
    except (CallerGone, HttpInvalid, anyio.ClosedResourceError, OSError):
        # Whoever asks sees the closed connection and asks again.
        return
    finally:
        await close_stream(stream)
