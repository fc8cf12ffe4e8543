"""Table of the other nodes, and the state with which versions are fetched and passed on."""

__all__: list[str] = []
