"""Running a process's tasks on its event loop."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

__all__ = ["run_tasks"]

T = TypeVar("T")


def run_tasks(main: Callable[[], Awaitable[T]]) -> T:
    """Run `main` on asyncio over uvloop, and return what it returns."""
    return anyio.run(main, backend_options={"use_uvloop": True})
