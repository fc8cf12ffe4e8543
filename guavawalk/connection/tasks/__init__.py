"""Tasks of a process: one for each connection and each peer, written as sequential code."""

__all__: list[str] = []
