"""Runs async functions of tests in virtual time."""

from functools import partial

from guavawalk.tools.virtual_time import run_in_virtual_time

__all__ = ["run_virtually"]


def run_virtually(function, *args, seed: int = 0):
    """Run an async function on a clock that advances to the next deadline when all tasks wait."""
    return run_in_virtual_time(partial(function, *args), seed)
