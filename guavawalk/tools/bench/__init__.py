"""Benchmarks of the scheduler and its parts, run by `guavawalk bench`."""

__all__: list[str] = []
