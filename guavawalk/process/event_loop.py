"""Runs the event loop of a process."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from guavawalk.process.heap import return_large_blocks

__all__ = ["run_tasks"]

T = TypeVar("T")


def run_tasks(main: Callable[[], Awaitable[T]]) -> T:
    """Run `main` on asyncio with uvloop and return its result."""
    return_large_blocks()
    return anyio.run(main, backend_options={"use_uvloop": True})
