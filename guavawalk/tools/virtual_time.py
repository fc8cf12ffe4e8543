"""Runs async code on a virtual clock that jumps to the next deadline when all tasks wait."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from guavawalk.exception import GuavawalkError

__all__ = ["run_in_virtual_time"]

T = TypeVar("T")


def run_in_virtual_time(function: Callable[[], Awaitable[T]], seed: int = 0) -> T:
    """Run an async function in virtual time and return its result.

    The same seed gives the same order of tasks and the same random draws.

    Raises
    ------
    GuavawalkError
        If trio, a dependency of the tests and of the load tool, is not installed.
    """
    try:
        import trio
        import trio.testing
    except ImportError as error:
        raise GuavawalkError(
            "trio is not installed; virtual time needs it: pip install 'guavawalk[load]'"
        ) from error
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio._core._run._r.seed(seed)
    random.seed(seed)
    return trio.run(function, clock=clock)
