"""Running a story in virtual time."""

import trio
import trio.testing

__all__ = ["run_virtually"]


def run_virtually(story, *args, seed: int = 0):
    """Run an async function on a clock that jumps to the next deadline when all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio._core._run._r.seed(seed)
    return trio.run(story, *args, clock=clock)
