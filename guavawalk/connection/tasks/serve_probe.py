"""The task of a connection that fetches small pages: readiness, metrics, routes and targets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from guavawalk.connection.caller_answer import CallerAnswer
from guavawalk.connection.request_reader import RequestReader
from guavawalk.connection.streams import close_stream, enable_dead_peer_detection
from guavawalk.exception import CallerGone, HttpInvalid
from guavawalk.version.routes import CallerLimits

__all__ = ["PageAnswer", "serve_pages"]

PAGE_LIMITS = CallerLimits(body_bytes=64 * 1024)
NOT_FOUND_STATUS = 404


class PageAnswer(NamedTuple):
    """An HTTP status and a body; the body is empty if there is none."""

    status: int
    body: bytes = b""


async def serve_pages(pages: dict[bytes, Callable[[], PageAnswer]], stream: ByteStream) -> None:
    """Serve a fixed set of pages on one connection until it closes.

    Parameters
    ----------
    pages : dict
        Functions that create the pages, by path. Any other path is answered with status 404.
    """
    try:
        enable_dead_peer_detection(stream)
        reader = RequestReader(stream, PAGE_LIMITS)
        while (request := await reader.next(PAGE_LIMITS)) is not None:
            create_page = pages.get(request.target.partition(b"?")[0])
            page = PageAnswer(NOT_FOUND_STATUS) if create_page is None else create_page()
            answer = CallerAnswer(stream, partial(bool, request.keep_alive))
            await answer.send_complete(page.status, (), page.body)
            if not answer.keep_alive:
                break
    except (CallerGone, HttpInvalid, anyio.ClosedResourceError, OSError):
        # No error is answered: the client sees the closed connection and repeats its request.
        return
    finally:
        await close_stream(stream)
